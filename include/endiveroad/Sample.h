#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Value types of rollout work.
namespace endiveroad {

/// Number of a step; a trainer numbers its steps upwards.
using StepNumber = uint64_t;

/// Number of a set of weights; a trainer numbers its versions upwards.
using WeightVersion = int64_t;

/// Stands for a weight version that nobody has stated.
inline constexpr WeightVersion unknownVersion = -1;

/// Consecutive tokens [firstToken, endToken) made under one weight version.
struct Segment {
    uint32_t firstToken = 0;
    uint32_t endToken = 0;
    WeightVersion version = unknownVersion;

    auto operator<=>(const Segment&) const = default;
};

/// What a trainer wants for one sample of a step.
struct SampleRequest {
    std::string prompt;
    uint32_t maxTokens = 0;

    auto operator<=>(const SampleRequest&) const = default;
};

/// A step as its trainer submitted it. Samples [g * samplesPerGroup, (g + 1) * samplesPerGroup) form group g.
struct StepRequest {
    StepNumber step = 0;
    uint32_t samplesPerGroup = 1;
    std::vector<SampleRequest> samples;

    auto operator<=>(const StepRequest&) const = default;

    /// XXH3 over the whole content; tells two submissions of one step number apart.
    uint64_t digest() const;
};

/// A finished sample. Invariant: the segments cover [0, tokens) without gap or overlap; a sample without tokens has one
/// empty segment, which names the version that ended it at once.
struct Sample {
    std::string job;
    StepNumber step = 0;
    uint32_t index = 0;
    uint64_t stepDigest = 0;
    std::string text;
    uint32_t tokens = 0;
    std::vector<Segment> segments;
    std::string agent;
    std::string finishReason;
    std::optional<double> score;

    auto operator<=>(const Sample&) const = default;

    /// Oldest version among the segments; unknownVersion if there is none.
    WeightVersion oldestVersion() const;

    /// True if the segments cover all tokens in order and each names a version.
    bool isAttributed() const;
};

} // namespace endiveroad
