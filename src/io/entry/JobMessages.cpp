#include "io/entry/JobMessages.h"

#include <cmath>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>

namespace endiveroad::io {

using Json = nlohmann::json;

namespace {

constexpr uint32_t maxSamplesPerStep = 1U << 16;
constexpr size_t defaultFetchSamples = 256;
constexpr int64_t maxFetchWaitMs = 20'000;

Json toJson(const Sample& sample)
{
    Json segments = Json::array();
    for (const Segment& segment : sample.segments) {
        segments.push_back(
            { { "firstToken", segment.firstToken }, { "endToken", segment.endToken }, { "version", segment.version } });
    }
    Json json { { "step", sample.step }, { "index", sample.index }, { "text", sample.text },
        { "tokens", sample.tokens }, { "segments", segments }, { "finishReason", sample.finishReason },
        { "agent", sample.agent } };
    if (sample.score)
        json["score"] = *sample.score;
    return json;
}

Json toJson(const StepProgress& progress)
{
    return { { "step", progress.step }, { "wanted", progress.wanted }, { "finished", progress.finished },
        { "received", progress.received } };
}

std::string dumped(const Json& json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

PolicyState readPolicy(const Json& json, const char* versionKey, const char* orderKey)
{
    PolicyState policy;
    policy.version = json.at(versionKey).get<WeightVersion>();
    policy.order = json.value(orderKey, policy.version);
    if (policy.version < 0 || policy.order < 0)
        throw BadRequestError("a version or order is not negative");
    return policy;
}

std::string itemId(const ScoringItem& item)
{
    return fmt::format("{}/{}", item.step, item.index);
}

} // namespace

StepRequest parseStep(StepNumber number, const std::string& body)
{
    try {
        const Json json = Json::parse(body);
        StepRequest step;
        step.step = number;
        step.samplesPerGroup = json.value("samplesPerGroup", 1U);
        for (const Json& sample : json.at("samples"))
            step.samples.push_back({ sample.at("prompt").get<std::string>(), sample.at("maxTokens").get<uint32_t>() });
        if (step.samples.empty() || step.samples.size() > maxSamplesPerStep)
            throw BadRequestError(fmt::format("a step has 1 to {} samples", maxSamplesPerStep));
        if (step.samplesPerGroup == 0 || step.samples.size() % step.samplesPerGroup != 0)
            throw BadRequestError("samplesPerGroup does not divide the number of samples");
        return step;
    } catch (const Json::exception& error) {
        throw BadRequestError(fmt::format("step: {}", error.what()));
    }
}

FetchRequest parseFetch(const std::string& body)
{
    try {
        const Json json = Json::parse(body);
        FetchRequest fetch;
        fetch.cursor = json.value("cursor", "");
        fetch.policy = readPolicy(json, "policyVersion", "policyOrder");
        fetch.max = json.value("max", defaultFetchSamples);
        fetch.wait = std::chrono::milliseconds(std::clamp<int64_t>(json.value("waitMs", 0), 0, maxFetchWaitMs));
        fetch.steps = json.value("steps", fetch.steps);
        return fetch;
    } catch (const Json::exception& error) {
        throw BadRequestError(fmt::format("fetch: {}", error.what()));
    }
}

PolicyRequest parsePolicy(const std::string& body)
{
    try {
        const Json json = Json::parse(body);
        return { readPolicy(json, "version", "order"), json.value("weights", "") };
    } catch (const Json::exception& error) {
        throw BadRequestError(fmt::format("policy: {}", error.what()));
    }
}

std::string submitAnswer(StepNumber number, size_t samples, bool isNew)
{
    return Json { { "step", number }, { "samples", samples }, { "isNew", isNew } }.dump();
}

std::string fetchAnswer(
    const FetchRequest& request, const FetchResult& result, const std::vector<StepNumber>& unknownSteps)
{
    Json answer;
    answer["answers"] = request.cursor;
    answer["policyVersion"] = request.policy.version;
    answer["policyOrder"] = request.policy.order;
    answer["cursor"] = result.next.encode();
    answer["samples"] = Json::array();
    answer["steps"] = Json::array();
    answer["unknownSteps"] = unknownSteps;
    for (const Sample& sample : result.samples)
        answer["samples"].push_back(toJson(sample));
    for (const StepProgress& step : result.steps)
        answer["steps"].push_back(toJson(step));
    return dumped(answer);
}

std::string stateAnswer(const JobDeclaration& job, const PolicyState& policy, const std::vector<StepProgress>& progress)
{
    Json answer { { "job", job.name }, { "pool", job.pool }, { "policyVersion", policy.version },
        { "policyOrder", policy.order }, { "steps", Json::array() } };
    for (const StepProgress& step : progress)
        answer["steps"].push_back(toJson(step));
    return dumped(answer);
}

std::string scoringBody(const std::vector<ScoringItem>& items)
{
    Json batch = Json::array();
    for (const ScoringItem& item : items)
        batch.push_back({ { "id", itemId(item) }, { "prompt", item.prompt }, { "text", item.text } });
    return dumped(Json { { "items", batch } });
}

std::map<size_t, double> parseScores(const std::string& body, const std::vector<ScoringItem>& items)
{
    std::map<std::string, double> byId;
    std::set<std::string> doubled;
    try {
        const Json answer = Json::parse(body);
        for (const Json& score : answer.at("scores")) {
            const auto id = score.at("id").get<std::string>();
            if (!byId.emplace(id, score.at("score").get<double>()).second)
                doubled.insert(id);
        }
    } catch (const Json::exception& error) {
        throw AnswerBrokenError(fmt::format("the scorer's answer cannot be read: {}", error.what()));
    }
    std::map<size_t, double> scores;
    for (size_t i = 0; i < items.size(); ++i) {
        const auto found = byId.find(itemId(items[i]));
        if (found != byId.end() && !doubled.contains(found->first) && std::isfinite(found->second))
            scores.emplace(i, found->second);
    }
    return scores;
}

} // namespace endiveroad::io
