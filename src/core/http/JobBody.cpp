#include <endiveroad/JobBody.h>

#include "core/http/JsonReader.h"

#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <limits>

namespace endiveroad {

using Json = nlohmann::json;

namespace {

constexpr uint64_t maxVersion = std::numeric_limits<WeightVersion>::max();

SampleRequest parseSample(const Json& json, const std::string& path)
{
    JsonReader reader(json, path);
    SampleRequest sample;
    sample.prompt = reader.text("prompt");
    sample.maxTokens = static_cast<uint32_t>(reader.integer("maxTokens", 1, maxTokensPerSample));
    reader.rejectUnknownFields();
    return sample;
}

} // namespace

StepRequest parseStepBody(StepNumber number, std::string_view text)
{
    const Json json = parseStrictJson(text, "step");
    JsonReader reader(json, "step");
    StepRequest step;
    step.step = number;
    const Json& samples = reader.array("samples", 1, maxSamplesPerStep);
    if (reader.has("samplesPerGroup"))
        step.samplesPerGroup = static_cast<uint32_t>(reader.integer("samplesPerGroup", 1, maxSamplesPerStep));
    else
        step.samplesPerGroup = 1;
    reader.rejectUnknownFields();
    if (samples.size() % step.samplesPerGroup != 0) {
        throw BadRequestError(
            fmt::format("step.samplesPerGroup is {}; the number of samples, {}, is not a multiple of it",
                step.samplesPerGroup, samples.size()));
    }
    for (const Json& sample : samples)
        step.samples.push_back(parseSample(sample, fmt::format("step.samples[{}]", step.samples.size())));
    return step;
}

FetchBody FetchBody::parse(std::string_view text)
{
    const Json json = parseStrictJson(text, "fetch");
    JsonReader reader(json, "fetch");
    FetchBody fetch;
    fetch.policyVersion = static_cast<WeightVersion>(reader.integer("policyVersion", 0, maxVersion));
    if (reader.has("policyOrder"))
        fetch.policyOrder = static_cast<int64_t>(reader.integer("policyOrder", 0, maxVersion));
    if (reader.has("cursor"))
        fetch.cursor = reader.text("cursor");
    if (reader.has("max"))
        fetch.max = reader.integer("max", 1, maxSamplesPerFetch);
    if (reader.has("waitMs"))
        fetch.waitMs = reader.integer("waitMs", 0, maxFetchWaitMs);
    if (reader.has("steps")) {
        for (const Json& step : reader.array("steps", 0, maxOpenSteps)) {
            const std::string path = fmt::format("fetch.steps[{}]", fetch.steps.size());
            fetch.steps.push_back(readInteger(step, path, 0, std::numeric_limits<StepNumber>::max()));
        }
    }
    reader.rejectUnknownFields();
    return fetch;
}

PolicyBody PolicyBody::parse(std::string_view text)
{
    const Json json = parseStrictJson(text, "policy");
    JsonReader reader(json, "policy");
    PolicyBody policy;
    policy.version = static_cast<WeightVersion>(reader.integer("version", 0, maxVersion));
    if (reader.has("order"))
        policy.order = static_cast<int64_t>(reader.integer("order", 0, maxVersion));
    if (reader.has("weights"))
        policy.weights = reader.text("weights");
    reader.rejectUnknownFields();
    return policy;
}

} // namespace endiveroad
