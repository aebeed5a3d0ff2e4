#include <endiveroad/BatchPlacement.h>
#include <endiveroad/EventPace.h>

namespace endiveroad {

namespace {

/// Weight of the newest time between events in the recent and in the long-term moving average.
constexpr double recentMeanWeight = 0.1;
constexpr double longTermMeanWeight = 0.01;

} // namespace

void EventPace::onEvent(Duration gap, Instant now)
{
    const double gapMs = std::chrono::duration<double, std::milli>(gap).count();
    const bool isRecent = recentMs_ > 0 && recentExpiry_ > now;
    recentMs_ = isRecent ? recentMs_ + recentMeanWeight * (gapMs - recentMs_) : gapMs;
    if (longTermMs_ <= 0)
        longTermMs_ = gapMs;
    else if (gapMs < slowReplicaFactor * longTermMs_)
        longTermMs_ += longTermMeanWeight * (gapMs - longTermMs_);
    const bool isSlow = recentMs_ > slowReplicaFactor * longTermMs_;
    recentExpiry_ = now + (isSlow ? slowLifetime : recentLifetime);
}

double EventPace::meanMs(Instant now) const
{
    return recentExpiry_ > now ? recentMs_ : longTermMs_;
}

} // namespace endiveroad
