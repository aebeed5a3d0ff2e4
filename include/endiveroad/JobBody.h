#pragma once

#include <chrono>
#include <endiveroad/Sample.h>
#include <string>
#include <string_view>
#include <vector>

/// Bodies of the calls on a job (docs/API.md). Parsing is strict: a missing, unknown or repeated field, another type or
/// a number out of its range is refused with the place and what is allowed there.
namespace endiveroad {

/// Limits on what a trainer may ask for in one call.
inline constexpr uint64_t maxSamplesPerStep = 1U << 16;
inline constexpr uint64_t maxTokensPerSample = 1U << 24;
inline constexpr uint64_t maxSamplesPerFetch = 1U << 16;
inline constexpr uint64_t defaultSamplesPerFetch = 256;
inline constexpr uint64_t maxFetchWaitMs = 20'000;
inline constexpr uint64_t maxOpenSteps = 1U << 10;

/// Asks for finished samples that the cursor has not received.
struct FetchBody {
    /// Empty for a trainer that starts afresh.
    std::string cursor;
    WeightVersion policyVersion = 0;
    uint64_t max = defaultSamplesPerFetch;
    /// How long an answer without samples may be held back, in ms.
    uint64_t waitMs = 0;
    /// Steps that the trainer has submitted; the answer names those that the entry does not know.
    std::vector<StepNumber> steps;

    auto operator<=>(const FetchBody&) const = default;

    /// Throws BadRequestError.
    static FetchBody parse(std::string_view json);
};

/// Announces the newest weights of a job's model.
struct PolicyBody {
    WeightVersion version = 0;
    /// Where the weight store keeps them; empty if the version is enough.
    std::string weights;

    auto operator<=>(const PolicyBody&) const = default;

    /// Throws BadRequestError.
    static PolicyBody parse(std::string_view json);
};

/// Reads the body of a submitted step. Throws BadRequestError.
StepRequest parseStepBody(StepNumber, std::string_view json);

} // namespace endiveroad
