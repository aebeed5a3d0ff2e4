#pragma once

#include <cstdint>
#include <endiveroad/Sample.h>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// An entry's view of the backend servers of one pool, and the choice among them.
namespace endiveroad {

/// What an agent last reported of its backend server.
struct ReplicaReport {
    std::string agent;
    std::string failureDomain;
    int64_t incarnation = 0;
    int64_t sequence = 0;
    int32_t freeSlots = 0;
    int32_t running = 0;
    WeightVersion version = unknownVersion;
    bool isDraining = false;
    bool isSwapping = false;
    bool isServerUp = false;

    auto operator<=>(const ReplicaReport&) const = default;
};

/// What a request asks of a replica.
struct ReplicaDemand {
    /// Agents whose weight version is unknown or older are passed over; unknownVersion asks for none.
    WeightVersion atLeast = unknownVersion;
    /// Slots that must stay free for others.
    int32_t keepFree = 0;
    /// Preferred among replicas that are equally free.
    std::string failureDomain;

    auto operator<=>(const ReplicaDemand&) const = default;
};

/// Routes by two random choices over free capacity: the agent's last report less what this entry has sent since. An
/// agent without a fresh report, or one that is leaving, gets nothing.
class ReplicaTable {
public:
    /// Random probes for a usable replica before all are searched.
    static constexpr int maxProbes = 8;
    /// Age at which a report no longer counts.
    static constexpr Duration reportLifetime = std::chrono::seconds(3);

    explicit ReplicaTable(uint64_t seed = 1);

    /// Takes a report; one that is older than the last (by incarnation, then sequence) is ignored.
    void onReport(const ReplicaReport&, Instant now);

    /// Forgets an agent whose connection is lost; until its next report it counts as down.
    void onLost(const std::string& agent);

    /// Picks an agent with free capacity and takes one slot of it; the caller gives it back with release().
    std::optional<std::string> acquire(Instant now, const ReplicaDemand& demand = {});

    /// Gives back a slot taken by acquire().
    void release(const std::string& agent);

    /// Sum of the free capacity over usable agents.
    int32_t freeSlots(Instant now) const;

    std::vector<ReplicaReport> reports() const;

private:
    struct Replica {
        ReplicaReport report;
        Instant expiry;
        int32_t outstanding = 0;
    };

    static int32_t freeSlots(const Replica&);
    static bool isUsable(const Replica&, Instant now, const ReplicaDemand&);

    size_t randomIndex(size_t size);

    /// A usable replica by random probes, or null if maxProbes found none.
    Replica* probe(Instant now, const ReplicaDemand&);

    /// A random one of all usable replicas, or null if there is none.
    Replica* search(Instant now, const ReplicaDemand&);

    std::vector<Replica> replicas_;
    std::map<std::string, size_t> positions_;
    std::minstd_rand random_;
};

} // namespace endiveroad
