#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/SoftwareVersion.h>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Scheduling decisions of a coordinator: which replica runs which waiting item, which runs move to a faster replica,
/// and which replica loads which weights when. All of them are pure functions of their arguments.
namespace endiveroad {

/// State of a replica as its agent last reported it, with the runs that this coordinator has started since then.
struct ReplicaView {
    std::string agent;
    std::string failureDomain;
    bool isUp = false;
    int32_t running = 0;
    /// Number of runs that it can execute at once.
    int32_t slots = 1;
    /// Loaded weight version by model.
    std::map<std::string, int64_t> versions;
    /// Model whose weights it is loading; empty if none.
    std::string loadingModel;
    /// Mean time between two events of a run in ms; 0 if unknown.
    double eventMs = 0;
    /// What the replica runs, as it is registered.
    SoftwareVersion software;
    /// Number of those in `running` that this coordinator started.
    int32_t ownRuns = 0;

    auto operator<=>(const ReplicaView&) const = default;

    /// Loaded weight version of the model; 0 if none is loaded.
    int64_t version(const std::string& model) const;
    bool hasFreeSlot() const { return isUp && running < slots; }
};

/// An item that may start now.
struct WaitingItem {
    std::string job;
    /// Index of the item in its job.
    size_t itemIndex = 0;
    std::string group;
    std::string model;
    int64_t oldestVersion = 0;
    Instant dueAt = never;
    double expectedTokens = 0;
    /// Agents on which the item's last run failed or was too slow, or any of its runs stalled. They get the item only
    /// if no other replica can run it now.
    std::set<std::string> avoidedAgents;
    /// The software that began the item's text; nothing if it has none that could go on. Only a replica with this
    /// software goes on with it; on any other one the item begins anew.
    std::optional<SoftwareVersion> software = std::nullopt;
    /// The text is worth no further wait for such a replica.
    bool mayBeginAnew = false;

    auto operator<=>(const WaitingItem&) const = default;
};

/// Decision to run a waiting item on an agent's replica.
struct Placement {
    /// Index into the waiting items passed to placeItems().
    size_t waitingIndex = 0;
    std::string agent;

    auto operator<=>(const Placement&) const = default;
};

/// Assigns waiting items to replicas with free slots. The job that is due first goes first, and within a job the item
/// with the most expected tokens; each goes to the replica on which it is expected to run fastest. Increments `running`
/// of the chosen replicas. An item with a text that only some software may go on with goes to a replica that runs it,
/// or waits while one is up, unless it may begin anew. Load pattern: a trainer submits all items of a step at once,
/// more than there are slots, and the step is complete only when its longest item is.
std::vector<Placement> placeItems(const std::vector<WaitingItem>&, std::vector<ReplicaView>&);

/// As placeItems(), with the waiting items in the given order of their indices. Items whose index is not in the order
/// are not placed.
std::vector<Placement> placeInOrder(
    const std::vector<WaitingItem>&, const std::vector<size_t>& order, std::vector<ReplicaView>&);

/// Order in which placeItems() places the waiting items.
std::vector<size_t> dueTimeOrder(const std::vector<WaitingItem>&);

/// Median of the known eventMs of replicas that are up; 0 if none is known.
double medianEventMs(const std::vector<ReplicaView>&);

/// A replica is slow if its eventMs is more than this many times the median.
inline constexpr double slowReplicaFactor = 1.7;

bool isSlow(const ReplicaView&, double medianMs);

/// True if a run on `from` should continue on another replica: `from` is slow, and a replica with the same software
/// that is not slow has a free slot and weights of at least oldestVersion, and is not loading weights of this model.
/// Load pattern: one replica in five runs several times slower for some seconds without failing its runs.
bool shouldMove(
    const ReplicaView& from, const std::string& model, int64_t oldestVersion, const std::vector<ReplicaView>&);

/// Smallest speedup that justifies moving one of the last runs of a job.
inline constexpr double minMoveSpeedup = 1.2;

/// True if another replica with the same software, a free slot and weights of at least oldestVersion, which is not
/// loading weights of this model, is faster than `from` by at least minMoveSpeedup. An unknown speed of the other
/// replica counts as the median. Load pattern: a few long items determine when a step is complete, and a third of the
/// replicas are a third slower than the rest, which are half empty by then.
bool wouldSpeedUp(
    const ReplicaView& from, const std::string& model, int64_t oldestVersion, const std::vector<ReplicaView>&);

/// Tokens per second that the jobs of each model need; a model is absent while its demand is unknown.
using ModelDemands = std::map<std::string, double>;

/// Home replicas of a version of a model: the agents whose replicas are to load it. Each model gets a share of all
/// replicas in proportion to its demand, and at least one if there are enough replicas; an unknown demand counts as the
/// mean of the known ones. When a replica is added or removed, few others change their model.
///
/// Even and odd versions have different homes; those of a model with more than half of all replicas overlap. A replica
/// can therefore be a home of the even versions of one model and of the odd versions of another. When version n has
/// been announced, a step may use n - 1 or n. The homes of n - 1 serve the step while the homes of n load n; then both
/// serve it.
std::vector<std::string> homeReplicas(const std::vector<std::string>& models, const ModelDemands&,
    const std::vector<std::string>& agents, const std::string& model, int64_t version);

/// Input of planWeightLoads() for one model.
struct WeightLoadDemand {
    std::string model;
    /// Newest version that a trainer announced.
    int64_t announcedVersion = 1;
    /// When the coordinator learned of it.
    Instant announcedAt = Instant::min();
    /// Number of items of the model that wait for a replica.
    size_t waitingItems = 0;
    /// Largest oldestVersion of the waiting items, so that all of them can use it; 0 if none waits.
    int64_t newestRequiredVersion = 0;
    /// Home replicas of the announced version.
    std::vector<std::string> homes;

    auto operator<=>(const WeightLoadDemand&) const = default;
};

/// A weight load that the coordinator asks an agent for.
struct WeightLoadChoice {
    std::string agent;
    std::string model;
    int64_t version = 1;

    auto operator<=>(const WeightLoadChoice&) const = default;
};

/// Number of weight loads that may run at once over all models: a fifth of the replicas, rounded to the nearest number,
/// but at least two. More loads would slow each other down at the weight store and leave too few replicas for new
/// items.
size_t maxConcurrentLoads(size_t replicas);

/// How long after the announcement of a version its load is delayed on replicas whose weights waiting items can use.
inline constexpr Duration maxLoadDelay = std::chrono::milliseconds(1500);

/// Chooses the next weight loads, so that at most maxConcurrentLoads() run at once. While items of a model wait,
/// replicas that these can use load only maxLoadDelay after the version was announced. Loads go first to models with
/// waiting items, then to the model with the smallest share of usable replicas, so that no model falls behind. Load
/// pattern: trainers of several models announce a version every few seconds, each when it submits the next step, which
/// may still use the version before.
std::vector<WeightLoadChoice> planWeightLoads(
    const std::vector<WeightLoadDemand>&, const std::vector<ReplicaView>&, Instant now);

} // namespace endiveroad
