#pragma once

#include <endiveroad/Time.h>

/// Measured speed of one replica's event streams.
namespace endiveroad {

/// Mean time between two events of a run, over all runs of a replica. A recent mean follows the replica when it turns
/// slow; a long-term mean, which leaves out slow times, is used once the recent one is outdated.
///
/// Load pattern: a replica turns several times slower for some seconds. Its runs are moved away, so that nothing
/// measures it any more. If it counted as fast again at once, the runs that leave another slow replica would go to it.
class EventPace {
public:
    /// Time after the last event for which the recent mean is valid, and the same while it shows a slow replica.
    static constexpr Duration recentLifetime = std::chrono::seconds(3);
    static constexpr Duration slowLifetime = std::chrono::seconds(10);

    /// An event came this long after the run's former one.
    void onEvent(Duration gap, Instant now);

    /// In ms; 0 if no event was measured.
    double meanMs(Instant now) const;

private:
    double recentMs_ = 0;
    Instant recentExpiry_ = Instant::min();
    double longTermMs_ = 0;
};

} // namespace endiveroad
