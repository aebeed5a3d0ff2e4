#include "io/entry/JobMessages.h"

#include <cmath>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>

namespace endiveroad::io {

using Json = nlohmann::json;

namespace {

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

std::string dumpJson(const Json& json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string itemId(const ScoringItem& item)
{
    return fmt::format("{}/{}", item.step, item.index);
}

} // namespace

std::string submitAnswer(StepNumber number, size_t samples, bool isNew)
{
    return Json { { "step", number }, { "samples", samples }, { "isNew", isNew } }.dump();
}

std::string fetchAnswer(
    const FetchBody& request, const FetchResult& result, const std::vector<StepNumber>& unknownSteps)
{
    Json answer;
    answer["answers"] = request.cursor;
    answer["policyVersion"] = request.policyVersion;
    answer["policyOrder"] = request.policyOrder.value_or(request.policyVersion);
    answer["cursor"] = result.next.encode();
    answer["samples"] = Json::array();
    answer["steps"] = Json::array();
    answer["unknownSteps"] = unknownSteps;
    for (const Sample& sample : result.samples)
        answer["samples"].push_back(toJson(sample));
    for (const StepProgress& step : result.steps)
        answer["steps"].push_back(toJson(step));
    return dumpJson(answer);
}

std::string stateAnswer(const JobDeclaration& job, const PolicyState& policy, const std::vector<StepProgress>& progress)
{
    Json answer { { "job", job.name }, { "pool", job.pool }, { "policyVersion", policy.version },
        { "policyOrder", policy.order }, { "steps", Json::array() } };
    for (const StepProgress& step : progress)
        answer["steps"].push_back(toJson(step));
    return dumpJson(answer);
}

std::string scoringBody(const std::vector<ScoringItem>& items)
{
    Json batch = Json::array();
    for (const ScoringItem& item : items)
        batch.push_back({ { "id", itemId(item) }, { "prompt", item.prompt }, { "text", item.text } });
    return dumpJson(Json { { "items", batch } });
}

std::map<size_t, double> parseScores(const std::string& body, const std::vector<ScoringItem>& items)
{
    std::map<std::string, double> scoresById;
    std::set<std::string> repeatedIds;
    try {
        const Json answer = Json::parse(body);
        for (const Json& score : answer.at("scores")) {
            const auto id = score.at("id").get<std::string>();
            if (!scoresById.emplace(id, score.at("score").get<double>()).second)
                repeatedIds.insert(id);
        }
    } catch (const Json::exception& error) {
        throw AnswerBrokenError(fmt::format("the scorer's answer cannot be read: {}", error.what()));
    }
    std::map<size_t, double> scores;
    for (size_t i = 0; i < items.size(); ++i) {
        const auto found = scoresById.find(itemId(items[i]));
        if (found != scoresById.end() && !repeatedIds.contains(found->first) && std::isfinite(found->second))
            scores.emplace(i, found->second);
    }
    return scores;
}

} // namespace endiveroad::io
