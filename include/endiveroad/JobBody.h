#pragma once

#include <chrono>
#include <endiveroad/Sample.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// JSON bodies of the requests about a job (docs/API.md). Parsing is strict: a missing, unknown or repeated field, a
/// wrong type or a number out of range throws an error that names the field and what is expected there.
namespace endiveroad {

/// Limits on what a trainer may ask for in one request.
inline constexpr uint64_t maxSamplesPerStep = 1U << 16;
inline constexpr uint64_t maxTokensPerSample = 1U << 24;
inline constexpr uint64_t maxSamplesPerFetch = 1U << 16;
inline constexpr uint64_t defaultSamplesPerFetch = 256;
inline constexpr uint64_t maxFetchWaitMs = 20'000;
inline constexpr uint64_t maxOpenSteps = 1U << 10;

/// Body with which a trainer fetches the finished samples that its cursor does not yet cover.
struct FetchBody {
    /// Empty for a trainer that has received nothing yet.
    std::string cursor;
    /// Weight version that the trainer currently uses; a fetch also announces it, as PolicyBody does.
    WeightVersion policyVersion = 0;
    /// Greatest number of samples in the answer.
    uint64_t max = defaultSamplesPerFetch;
    /// Long poll: longest time in ms that the entry may wait for samples before it sends an empty answer.
    uint64_t waitMs = 0;
    /// Steps that the trainer has submitted; the answer lists those that the entry does not know.
    std::vector<StepNumber> steps;
    /// Sequence number of the announcement of policyVersion, which increases even when the trainer returns to an older
    /// version. An announcement whose number is not higher than the last one's is ignored. Defaults to the version.
    std::optional<int64_t> policyOrder;

    auto operator<=>(const FetchBody&) const = default;

    /// Throws BadRequestError.
    static FetchBody parse(std::string_view json);
};

/// Body with which a trainer announces the newest weights of its job's model.
struct PolicyBody {
    WeightVersion version = 0;
    /// Location of the weights in the weight store; empty if the version alone identifies them.
    std::string weights;
    /// See FetchBody::policyOrder.
    std::optional<int64_t> order;

    auto operator<=>(const PolicyBody&) const = default;

    /// Throws BadRequestError.
    static PolicyBody parse(std::string_view json);
};

/// Parses the body with which a trainer submits a step. Throws BadRequestError.
StepRequest parseStepBody(StepNumber, std::string_view json);

} // namespace endiveroad
