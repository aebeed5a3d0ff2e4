#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Value types of rollouts: steps, sample requests and samples.
namespace endiveroad {

/// Number of a training step; each trainer counts its steps upwards.
using StepNumber = uint64_t;

/// Number of a set of weights; each trainer counts its versions upwards.
using WeightVersion = int64_t;

/// Weight version that no engine has reported.
inline constexpr WeightVersion unknownVersion = -1;

/// Consecutive tokens [firstToken, endToken) generated with one weight version.
struct Segment {
    uint32_t firstToken = 0;
    uint32_t endToken = 0;
    WeightVersion version = unknownVersion;

    auto operator<=>(const Segment&) const = default;
};

/// Trainer's request for one sample of a step.
struct SampleRequest {
    std::string prompt;
    uint32_t maxTokens = 0;

    auto operator<=>(const SampleRequest&) const = default;
};

/// A step as submitted by its trainer. Samples [g * samplesPerGroup, (g + 1) * samplesPerGroup) form group g.
struct StepRequest {
    StepNumber step = 0;
    uint32_t samplesPerGroup = 1;
    std::vector<SampleRequest> samples;

    auto operator<=>(const StepRequest&) const = default;

    /// XXH3 hash of the whole content. Shows whether two submissions of one step number are the same step.
    uint64_t digest() const;
};

/// A finished sample. Invariant: the segments cover [0, tokens) without gap or overlap; a sample without tokens has one
/// empty segment with the weight version under which generation ended.
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

    /// Oldest version among the segments; unknownVersion without segments.
    WeightVersion oldestVersion() const;

    /// True if the segments cover all tokens in order and each has a known version.
    bool isAttributed() const;
};

} // namespace endiveroad
