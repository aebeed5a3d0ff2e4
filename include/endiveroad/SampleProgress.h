#pragma once

#include <cstdint>
#include <endiveroad/Sample.h>
#include <endiveroad/VersionTracker.h>
#include <string>
#include <string_view>

namespace endiveroad {

/// Trade-off of a job between trainer idle time and staleness of samples.
struct RolloutObjective {
    /// Largest allowed difference between the trainer's version and a sample's oldest segment, in versions.
    int64_t stalenessBound = 0;
    /// 0: only staleness counts; 1: only trainer idle time counts.
    double idleWeight = 0.5;

    auto operator<=>(const RolloutObjective&) const = default;

    /// Oldest weight version that may start a new sample: older than newest by at most idleWeight times stalenessBound.
    /// At idleWeight 0 only engines with the newest weights start samples.
    WeightVersion oldestToStart(WeightVersion newest) const;

    /// Whether to restart a sample under the current version rather than continue its older tokens. True if the used
    /// share of the staleness bound, weighted by 1 - idleWeight, exceeds the share of maxTokens that a restart would
    /// discard, weighted by idleWeight.
    bool prefersRestart(WeightVersion oldest, WeightVersion current, uint32_t tokens, uint32_t maxTokens) const;
};

/// A partially generated sample. Tokens are read from one stream at a time and kept only once the engine's status
/// confirms the weight version that generated them (see VersionTracker).
class SampleProgress {
public:
    /// The given sample has job, step, index, digest and agent set, and no tokens.
    SampleProgress(Sample sample, uint32_t maxTokens);

    /// Drops all tokens if other software than the engine's wrote them, if one is older than the oldest usable version,
    /// or if the objective prefers a restart under the tracker's version. The objective restarts a sample only once: a
    /// sample that takes longer than the time between two swaps would otherwise never finish. Returns the number of
    /// dropped tokens.
    uint32_t discardForRestart(const VersionTracker&, WeightVersion oldestUsable, const RolloutObjective&);

    /// Starts a stream in the tracker's current epoch. Precondition: the tracker's version is known.
    void openStream(const VersionTracker&);

    /// Appends a chunk of the stream; statedVersion is the version that the engine states in the chunk, or
    /// unknownVersion. Returns false and drops the chunk if the epoch has ended, a swap has begun, the engine states
    /// another version, or the chunk exceeds the token limit. The caller must then close the stream.
    bool onTokens(std::string_view text, uint32_t tokens, WeightVersion statedVersion, const VersionTracker&);

    /// Records the finish reason that the engine sent at the end of the stream.
    void onEnd(std::string reason);

    /// True if the epoch in which the stream was opened still lasts.
    bool isInEpoch(const VersionTracker& tracker) const { return tracker.epoch() == streamEpoch_; }

    /// Ends the stream. Keeps its tokens only if isConfirmed, that is if a status requested after the last token was
    /// read showed that the epoch still lasted. Returns the number of tokens kept.
    uint32_t closeStream(bool isConfirmed);

    bool isFinished() const { return isFinished_; }
    const Sample& sample() const { return sample_; }
    uint32_t tokensLeft() const { return maxTokens_ - sample_.tokens; }

private:
    Sample sample_;
    uint32_t maxTokens_;
    uint64_t streamEpoch_ = 0;
    WeightVersion streamVersion_ = unknownVersion;
    /// VersionTracker::software() of the stream, and of the sample's tokens.
    std::string streamSoftware_;
    std::string software_;
    std::string streamText_;
    uint32_t streamTokens_ = 0;
    std::string finishReason_;
    bool isFinished_ = false;
    /// Whether the objective has restarted this sample.
    bool hasRestarted_ = false;
};

} // namespace endiveroad
