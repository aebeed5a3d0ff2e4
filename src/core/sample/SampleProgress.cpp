#include <algorithm>
#include <cmath>
#include <endiveroad/SampleProgress.h>

namespace endiveroad {

namespace {

constexpr const char* lengthReason = "length";

} // namespace

WeightVersion RolloutObjective::oldestToStart(WeightVersion newest) const
{
    const auto allowance = static_cast<int64_t>(std::floor(idleWeight * static_cast<double>(stalenessBound)));
    return std::max<WeightVersion>(newest - std::clamp<int64_t>(allowance, 0, stalenessBound), 0);
}

bool RolloutObjective::prefersRestart(
    WeightVersion oldest, WeightVersion current, uint32_t tokens, uint32_t maxTokens) const
{
    if (oldest >= current || maxTokens == 0)
        return false;
    const double usedBound
        = static_cast<double>(current - oldest) / static_cast<double>(std::max<int64_t>(stalenessBound, 1));
    const double lostShare = static_cast<double>(tokens) / static_cast<double>(maxTokens);
    return (1 - idleWeight) * usedBound > idleWeight * lostShare;
}

SampleProgress::SampleProgress(Sample sample, uint32_t maxTokens)
    : sample_(std::move(sample))
    , maxTokens_(maxTokens)
{
}

uint32_t SampleProgress::discardForRestart(
    const VersionTracker& tracker, WeightVersion oldestUsable, const RolloutObjective& objective)
{
    if (sample_.segments.empty())
        return 0;
    const WeightVersion oldest = sample_.oldestVersion();
    const bool isOtherSoftware = software_ != tracker.software();
    const bool isPreferred = !isOtherSoftware && !hasRestarted_
        && objective.prefersRestart(oldest, tracker.version(), sample_.tokens, maxTokens_);
    if (oldest >= oldestUsable && !isPreferred && !isOtherSoftware)
        return 0;
    hasRestarted_ = hasRestarted_ || isPreferred;
    const uint32_t dropped = sample_.tokens;
    sample_.segments.clear();
    sample_.text.clear();
    sample_.tokens = 0;
    return dropped;
}

void SampleProgress::openStream(const VersionTracker& tracker)
{
    streamEpoch_ = tracker.epoch();
    streamVersion_ = tracker.version();
    streamSoftware_ = tracker.software();
    streamText_.clear();
    streamTokens_ = 0;
    finishReason_.clear();
}

bool SampleProgress::onTokens(
    std::string_view text, uint32_t tokens, WeightVersion statedVersion, const VersionTracker& tracker)
{
    if (!isInEpoch(tracker) || tracker.isSwapping())
        return false;
    if (statedVersion != unknownVersion && statedVersion != streamVersion_)
        return false;
    if (tokens > tokensLeft() - streamTokens_)
        return false;
    streamText_ += text;
    streamTokens_ += tokens;
    return true;
}

void SampleProgress::onEnd(std::string reason)
{
    finishReason_ = std::move(reason);
}

uint32_t SampleProgress::closeStream(bool isConfirmed)
{
    if (!isConfirmed)
        return 0;
    if (streamTokens_ > 0) {
        const uint32_t end = sample_.tokens + streamTokens_;
        if (!sample_.segments.empty() && sample_.segments.back().version == streamVersion_)
            sample_.segments.back().endToken = end;
        else
            sample_.segments.push_back({ sample_.tokens, end, streamVersion_ });
        software_ = streamSoftware_;
        sample_.text += streamText_;
        sample_.tokens = end;
    }
    if (finishReason_.empty() && sample_.tokens == maxTokens_)
        finishReason_ = lengthReason;
    if (finishReason_.empty())
        return streamTokens_;
    if (sample_.segments.empty())
        sample_.segments.push_back({ 0, 0, streamVersion_ });
    sample_.finishReason = finishReason_;
    isFinished_ = true;
    return streamTokens_;
}

} // namespace endiveroad
