#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/JobCoordinator.h>
#include <endiveroad/ReplicaTable.h>
#include <endiveroad/Time.h>
#include <map>
#include <string>
#include <vector>

namespace endiveroad {

/// Newest weights that a trainer announced for a pool's model.
struct AnnouncedPolicy {
    PolicyState policy { unknownVersion, -1 };
    std::string weights;

    auto operator<=>(const AnnouncedPolicy&) const = default;
};

/// Rolls the newest announced weights out to the replicas of one pool. At most swapShare (a fraction) of the replicas,
/// rounded down, but at least one, swaps at once. A swap that lasts longer than overdueTimeout is overdue and no longer
/// counts against the share, so that a hung load does not block the roll-out; including overdue ones, at most twice the
/// share swaps. A replica whose swap fails is retried with exponential backoff. After failuresUntilSetAside failures in
/// a row it is set aside: onLoadOrderEnded() reports it once, and it is retried only every maxRetryDelay.
class WeightPlan {
public:
    /// Time after which a load order without an answer counts as ended.
    static constexpr Duration loadOrderTimeout = std::chrono::seconds(30);
    static constexpr Duration firstRetryDelay = std::chrono::milliseconds(250);
    static constexpr Duration maxRetryDelay = std::chrono::seconds(30);
    /// Time after which a swap in progress is overdue and no longer counts against the share.
    static constexpr Duration overdueTimeout = std::chrono::seconds(3);
    /// Time until the replica's reports show a finished swap; it gets no new load order before.
    static constexpr Duration reportDelay = std::chrono::milliseconds(300);
    static constexpr uint32_t failuresUntilSetAside = 5;

    /// Accepts an announcement and returns true if its PolicyState::order is higher than that of the newest one. It
    /// replaces a roll-out in progress: replicas in backoff after a failure are retried at once. Otherwise changes
    /// nothing and returns false.
    bool announce(AnnouncedPolicy);

    const AnnouncedPolicy& newest() const { return newest_; }

    /// Agents to which to send an order to load the newest weights now. Each counts as busy until onLoadOrderEnded() or
    /// until loadOrderTimeout has passed.
    std::vector<std::string> agentsToSwap(const std::vector<ReplicaReport>&, double swapShare, Instant now);

    /// Records the end of a load order. Returns true if this failure sets the replica aside.
    bool onLoadOrderEnded(const std::string& agent, bool hasSucceeded, Instant now);

    bool isSetAside(const std::string& agent) const;

private:
    struct Replica {
        Instant busyUntil = Instant::min();
        Instant notBefore = Instant::min();
        /// When the swap in progress becomes overdue; `never` without a swap.
        Instant overdueAt = never;
        /// Failures in a row.
        uint32_t failures = 0;
    };

    bool isBusy(const ReplicaReport&, Instant now) const;
    /// Number of swaps that may start now. Starts the overdue timer of each busy replica.
    int64_t allowedSwaps(const std::vector<ReplicaReport>&, double swapShare, Instant now);
    bool needsSwap(const ReplicaReport&, Instant now) const;

    AnnouncedPolicy newest_;
    std::map<std::string, Replica> replicas_;
};

} // namespace endiveroad
