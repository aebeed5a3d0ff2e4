#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Which replica runs which waiting item, which runs move away from a slow replica, and which replica loads which
/// weights when. Pure functions of what the coordinator knows.
namespace endiveroad {

/// An engine replica as its agent reports it, with the runs that this coordinator has started since.
struct ReplicaView {
    std::string agent;
    std::string failureDomain;
    bool isUp = false;
    int32_t running = 0;
    int32_t slots = 1;
    /// Weight version by model.
    std::map<std::string, int64_t> versions;
    /// Model whose weights it loads now; empty for none.
    std::string loadingModel;
    /// Mean time between events of its runs in ms; 0 while unknown.
    double eventMs = 0;

    auto operator<=>(const ReplicaView&) const = default;

    int64_t version(const std::string& model) const;
    bool hasRoom() const { return isUp && running < slots; }
};

struct WaitingItem {
    std::string job;
    size_t item = 0;
    std::string group;
    std::string model;
    int64_t oldestVersion = 0;
    Instant dueAt = never;
    double expectedTokens = 0;
    /// Agent on which the last run of the item failed or was too slow; empty for none.
    std::string avoidedAgent;

    auto operator<=>(const WaitingItem&) const = default;
};

struct Placement {
    size_t waiting = 0;
    std::string agent;

    auto operator<=>(const Placement&) const = default;
};

/// Load pattern: a trainer submits a whole step at once, more items than there are slots, and the step is as late as
/// its longest item. Jobs that are due first go first, and within a job the longest item first, each to the replica on
/// which it is expected to run fastest. Adds the placed items to the views.
std::vector<Placement> placeItems(const std::vector<WaitingItem>&, std::vector<ReplicaView>&);

/// Median of the known event times; 0 if none is known.
double medianEventMs(const std::vector<ReplicaView>&);

/// A replica is slow if its events take this many times as long as the median replica's.
inline constexpr double slowReplicaFactor = 1.7;

bool isSlow(const ReplicaView&, double medianMs);

/// Load pattern: one replica in five runs several times slower for some seconds while its runs go on. True if a run on
/// `from` is better continued elsewhere: `from` is slow, and some other replica has room and usable weights.
bool shouldMove(
    const ReplicaView& from, const std::string& model, int64_t oldestVersion, const std::vector<ReplicaView>&);

/// Load pattern: a few long items decide when a step is whole, and a third of the replicas are a third slower than the
/// rest, which stand half empty by then. True if a run on `from` would go on faster on another replica by this factor.
inline constexpr double worthwhileSpeedup = 1.2;

bool wouldSpeedUp(
    const ReplicaView& from, const std::string& model, int64_t oldestVersion, const std::vector<ReplicaView>&);

/// What the jobs of each model ask for, in tokens a second; models of which nothing is known are left out.
using ModelDemands = std::map<std::string, double>;

/// Replicas that load a version of a model. Each model has a share of all replicas by its demand, one at least; of a
/// model without a known demand the mean is assumed. A replica that comes or goes moves few others. Even and odd
/// versions have different homes: a step may use the named version and the one before, so the homes of the one before
/// serve it undisturbed while the others load, and the latter serve it as well once they have loaded.
std::vector<std::string> homeReplicas(const std::vector<std::string>& models, const ModelDemands&,
    const std::vector<std::string>& agents, const std::string& model, int64_t version);

/// What the coordinator knows of one model when it plans loads.
struct LoadDemand {
    std::string model;
    int64_t namedVersion = 1;
    Instant namedAt = Instant::min();
    /// Items of the model that wait for a replica.
    size_t waiting = 0;
    /// Oldest version that a waiting item may use; 0 if none waits.
    int64_t oldestNeeded = 0;
    /// Homes of the named version.
    std::vector<std::string> homes;

    auto operator<=>(const LoadDemand&) const = default;
};

struct LoadChoice {
    std::string agent;
    std::string model;
    int64_t version = 1;

    auto operator<=>(const LoadChoice&) const = default;
};

/// Loads that run at once over all models: a fifth of the replicas, two at least. More would slow each other down at
/// the weight store, and take too many replicas away from new items.
size_t maxLoadsAtOnce(size_t replicas);

/// Longest time for which waiting items hold back a load of a replica that they can use.
inline constexpr Duration loadPatience = std::chrono::milliseconds(1500);

/// Load pattern: several models name a version every few seconds, each at the moment at which the next step is
/// submitted, which may still use the version before. Replicas that waiting items can use are left to them for a
/// moment; all others load, first those of the model that has the fewest usable ones, so that no model falls behind.
std::vector<LoadChoice> planLoads(const std::vector<LoadDemand>&, const std::vector<ReplicaView>&, Instant now);

} // namespace endiveroad
