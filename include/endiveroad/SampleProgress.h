#pragma once

#include <cstdint>
#include <endiveroad/Sample.h>
#include <endiveroad/VersionTracker.h>
#include <string>
#include <string_view>

namespace endiveroad {

/// How a job weighs trainer idle time against staleness.
struct RolloutObjective {
    /// Largest allowed difference between the trainer's version and a sample's oldest segment, in versions.
    int64_t stalenessBound = 0;
    /// 0: only staleness counts; 1: only trainer idle time counts.
    double idleWeight = 0.5;

    auto operator<=>(const RolloutObjective&) const = default;

    /// Oldest version that new work may begin under. The part of the bound that may be used up at the start is
    /// idleWeight; at 0 only engines with the newest weights get work.
    WeightVersion oldestToStart(WeightVersion newest) const;

    /// Whether a sample whose tokens so far are due to older versions is better begun anew under the given one: its
    /// share of the bound already used, weighed by 1 - idleWeight, against the share of its tokens that would be lost,
    /// weighed by idleWeight.
    bool prefersRestart(WeightVersion oldest, WeightVersion current, uint32_t tokens, uint32_t maxTokens) const;
};

/// A sample in the making: tokens read from streams, kept only when the engine proves their weight version. One stream
/// is open at a time.
class SampleProgress {
public:
    /// The sample names job, step, index, digest and agent, and has no tokens yet.
    SampleProgress(Sample sample, uint32_t maxTokens);

    /// Drops the tokens so far if they are older than the oldest usable version, or if the objective prefers to restart
    /// under the tracker's version. The objective is followed once per sample: one that takes longer than the time
    /// between two swaps would otherwise never end. Returns the number of dropped tokens.
    uint32_t discardUnwanted(const VersionTracker&, WeightVersion oldestUsable, const RolloutObjective&);

    /// Begins a stream under the tracker's present epoch. Precondition: the tracker's version is known.
    void openStream(const VersionTracker&);

    /// Takes a piece of the stream; statedVersion is what the engine says of it, or unknownVersion. Returns false, and
    /// takes nothing, if the piece cannot be attributed: the epoch has ended, a swap is announced, or the engine names
    /// another version. The stream is to be closed then.
    bool onTokens(std::string_view text, uint32_t tokens, WeightVersion statedVersion, const VersionTracker&);

    /// The stream's declared end came with this reason.
    void onEnd(std::string reason);

    /// True if the epoch of the open stream still lasts.
    bool isInEpoch(const VersionTracker& tracker) const { return tracker.epoch() == epoch_; }

    /// Ends the stream. Its tokens are kept if isProven: the epoch lasted at a statement that was asked for after the
    /// last token was read. Returns the number of tokens gained.
    uint32_t closeStream(bool isProven);

    bool isFinished() const { return isFinished_; }
    const Sample& sample() const { return sample_; }
    uint32_t tokensLeft() const { return maxTokens_ - sample_.tokens; }

private:
    Sample sample_;
    uint32_t maxTokens_;
    uint64_t epoch_ = 0;
    WeightVersion version_ = unknownVersion;
    std::string text_;
    uint32_t tokens_ = 0;
    std::string finishReason_;
    bool isFinished_ = false;
    bool hasRestarted_ = false;
};

} // namespace endiveroad
