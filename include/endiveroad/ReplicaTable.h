#pragma once

#include <cstdint>
#include <endiveroad/Sample.h>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Load balancing of an entry, a process that accepts callers' requests, over the replicas of one pool. A replica is a
/// backend server that runs a model, together with its agent, the process that forwards requests to it. The replicas of
/// a pool serve the same model.
namespace endiveroad {

/// State of a replica as reported by its agent.
struct ReplicaReport {
    std::string agent;
    std::string failureDomain;
    /// Increases each time the agent's process starts.
    int64_t incarnation = 0;
    /// Increases with each report of an incarnation.
    int64_t sequence = 0;
    int32_t freeSlots = 0;
    int32_t running = 0;
    WeightVersion version = unknownVersion;
    bool isDraining = false;
    bool isSwapping = false;
    bool isServerUp = false;

    auto operator<=>(const ReplicaReport&) const = default;
};

/// What a request requires of a replica.
struct ReplicaDemand {
    /// Lowest weight version that may serve the request; a replica with an unknown version, or one that is loading
    /// weights, does not qualify. unknownVersion allows all.
    WeightVersion minVersion = unknownVersion;
    /// Slots that must stay free for other requests.
    int32_t keepFree = 0;
    /// Preferred among replicas that are equally free.
    std::string failureDomain;

    auto operator<=>(const ReplicaDemand&) const = default;
};

/// Routes requests by the power of two random choices: of two random usable agents, the one with more free slots gets
/// the request. Free slots are those of the agent's last report, less this entry's outstanding requests in excess of
/// the number that the report counts as running. An agent that is draining, or whose last report has expired, gets no
/// requests.
class ReplicaTable {
public:
    /// Number of random probes for a usable replica before all replicas are searched.
    static constexpr int maxProbes = 8;
    /// Age from which a report is ignored.
    static constexpr Duration reportLifetime = std::chrono::seconds(3);

    explicit ReplicaTable(uint64_t seed = 1);

    /// Stores a report if it is newer than the last one by incarnation, then by sequence.
    void onReport(const ReplicaReport&, Instant now);

    /// Marks an agent whose connection was lost as down until its next report.
    void onLost(const std::string& agent);

    /// Chooses an agent with a free slot and takes the slot; the caller returns it with release(). Nothing if no agent
    /// meets the demand.
    std::optional<std::string> acquire(Instant now, const ReplicaDemand& demand = {});

    /// Returns a slot taken by acquire().
    void release(const std::string& agent);

    /// Free slots of all usable agents.
    int32_t freeSlots(Instant now) const;

    std::vector<ReplicaReport> reports() const;

private:
    struct Replica {
        ReplicaReport report;
        Instant expiry;
        /// Slots that this entry has taken and not returned.
        int32_t outstanding = 0;
    };

    static int32_t freeSlots(const Replica&);
    static bool isUsable(const Replica&, Instant now, const ReplicaDemand&);

    size_t randomIndex(size_t size);

    /// Random usable replica, found by at most maxProbes probes; null if they found none.
    Replica* probe(Instant now, const ReplicaDemand&);

    /// Random one of all usable replicas; null if there is none.
    Replica* search(Instant now, const ReplicaDemand&);

    std::vector<Replica> replicas_;
    std::map<std::string, size_t> positions_;
    std::minstd_rand random_;
};

} // namespace endiveroad
