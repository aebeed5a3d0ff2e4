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

/// Weights that a trainer announced for a pool's model.
struct AnnouncedPolicy {
    PolicyState policy { unknownVersion, -1 };
    std::string weights;

    auto operator<=>(const AnnouncedPolicy&) const = default;
};

/// Rolling order of the newest announced weights over the replicas of one pool. At most a share of them swaps at once.
/// A swap that lasts longer than placeTimeout leaves its place to another replica, so that a hung load does not hold
/// the roll-out, but never more than twice the share swaps. A replica that fails is tried again after growing delays,
/// and after several failures in a row it is set aside: reported, and tried again only now and then.
class WeightPlan {
public:
    static constexpr Duration orderTimeout = std::chrono::seconds(30);
    static constexpr Duration firstRetryDelay = std::chrono::milliseconds(250);
    static constexpr Duration maxRetryDelay = std::chrono::seconds(30);
    /// Time after which a swap under way no longer counts against the share.
    static constexpr Duration placeTimeout = std::chrono::seconds(3);
    /// Time that a report may take to show a finished swap.
    static constexpr Duration reportDelay = std::chrono::milliseconds(300);
    static constexpr uint32_t failuresUntilSetAside = 5;

    /// Takes an announcement of a higher order than the known one. Returns whether it was. It overtakes a roll-out in
    /// progress: replicas that wait out a failure are tried again at once.
    bool announce(AnnouncedPolicy);

    const AnnouncedPolicy& newest() const { return newest_; }

    /// Agents to be given the newest weights now. Each is busy until onEnded() or the order's timeout.
    std::vector<std::string> due(const std::vector<ReplicaReport>&, double swapShare, Instant now);

    /// An order has come to its end. Returns true if the replica is set aside by it.
    bool onEnded(const std::string& agent, bool isDone, Instant now);

    bool isSetAside(const std::string& agent) const;

private:
    struct Replica {
        Instant busyUntil = Instant::min();
        Instant notBefore = Instant::min();
        /// When a swap under way gives up its place; never while there is none.
        Instant placeUntil = never;
        uint32_t failures = 0;
    };

    bool isBusy(const ReplicaReport&, Instant now) const;
    int64_t freePlaces(const std::vector<ReplicaReport>&, double swapShare, Instant now);
    bool isWanted(const ReplicaReport&, Instant now) const;

    AnnouncedPolicy newest_;
    std::map<std::string, Replica> replicas_;
};

} // namespace endiveroad
