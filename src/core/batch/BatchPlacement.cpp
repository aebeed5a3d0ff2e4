#include <algorithm>
#include <endiveroad/BatchPlacement.h>
#include <endiveroad/Rendezvous.h>
#include <limits>
#include <numeric>
#include <set>
#include <tuple>

namespace endiveroad {

namespace {

/// Relative increase of the time between events per run on the same replica, approximately.
constexpr double slowdownPerRun = 0.03;

bool isUsable(const ReplicaView& replica, const std::string& model, int64_t oldestVersion)
{
    return replica.hasFreeSlot() && replica.loadingModel != model && replica.version(model) >= oldestVersion;
}

/// Expected time between events of a further run, in ms. An unknown speed counts as the median.
double expectedEventMs(const ReplicaView& replica, double medianMs)
{
    const double eventMs = replica.eventMs > 0 ? replica.eventMs : medianMs;
    return (eventMs > 0 ? eventMs : 1) * (1 + slowdownPerRun * replica.running);
}

/// True if a run of one replica may continue on the other.
bool isSameSoftware(const ReplicaView& a, const ReplicaView& b)
{
    return a.software.isKnown() && a.software == b.software;
}

/// True if the item may run on the replica: any, or those whose software goes on with its text.
bool isAllowed(const WaitingItem& item, const ReplicaView& replica, bool mayBeginAnew)
{
    return mayBeginAnew || !item.software || replica.software == *item.software;
}

/// Usable replica with the shortest expected time between events; one of item.avoidedAgents only if no other is usable.
/// Among equally fast replicas, items of a group prefer the same one. Null if no replica is usable and allowed.
ReplicaView* bestReplica(
    const WaitingItem& item, std::vector<ReplicaView>& replicas, double medianMs, bool mayBeginAnew)
{
    ReplicaView* best = nullptr;
    std::tuple<bool, double, uint64_t> bestRank;
    for (ReplicaView& replica : replicas) {
        if (!isUsable(replica, item.model, item.oldestVersion) || !isAllowed(item, replica, mayBeginAnew))
            continue;
        const std::tuple rank(item.avoidedAgents.contains(replica.agent), expectedEventMs(replica, medianMs),
            rendezvousWeight(item.job + "/" + item.group, replica.agent));
        if (best && bestRank <= rank)
            continue;
        best = &replica;
        bestRank = rank;
    }
    return best;
}

/// True if a replica that may go on with the item's text is up, though it may be full.
bool isWorthWaiting(const WaitingItem& item, const std::vector<ReplicaView>& replicas)
{
    return std::any_of(replicas.begin(), replicas.end(), [&item](const ReplicaView& replica) {
        return replica.isUp && item.software && replica.software == *item.software
            && replica.version(item.model) >= item.oldestVersion;
    });
}

const ReplicaView* findReplica(const std::vector<ReplicaView>& replicas, const std::string& agent)
{
    const auto found = std::find_if(
        replicas.begin(), replicas.end(), [&](const ReplicaView& replica) { return replica.agent == agent; });
    return found == replicas.end() ? nullptr : &*found;
}

/// Home replicas of a model that are up. For each home that is down or slow, adds one replica that is up, not slow and
/// not a home, if there is one: the one with the newest weights of the model, and among these the one with the fewest
/// runs.
std::vector<const ReplicaView*> servingReplicas(
    const WeightLoadDemand& demand, const std::vector<ReplicaView>& replicas)
{
    const double median = medianEventMs(replicas);
    std::vector<const ReplicaView*> serving;
    for (const std::string& home : demand.homes) {
        const ReplicaView* replica = findReplica(replicas, home);
        if (replica && replica->isUp)
            serving.push_back(replica);
    }
    std::vector<const ReplicaView*> others;
    for (const ReplicaView& replica : replicas) {
        const bool isHome = std::find(demand.homes.begin(), demand.homes.end(), replica.agent) != demand.homes.end();
        if (replica.isUp && !isHome && !isSlow(replica, median))
            others.push_back(&replica);
    }
    std::sort(others.begin(), others.end(), [&](const ReplicaView* a, const ReplicaView* b) {
        return std::tuple(-a->version(demand.model), a->running, a->agent)
            < std::tuple(-b->version(demand.model), b->running, b->agent);
    });
    const auto fastHomes = static_cast<size_t>(std::count_if(
        serving.begin(), serving.end(), [&](const ReplicaView* replica) { return !isSlow(*replica, median); }));
    const size_t missing = demand.homes.size() - std::min(demand.homes.size(), fastHomes);
    for (size_t i = 0; i < std::min(missing, others.size()); ++i)
        serving.push_back(others[i]);
    return serving;
}

/// Number of home replicas of each model: in proportion to its demand, at least one if there are enough replicas. The
/// numbers add up to all replicas.
std::vector<size_t> shareSizes(const std::vector<std::string>& models, const ModelDemands& demands, size_t replicas)
{
    double knownTotal = 0;
    for (const auto& [model, demand] : demands)
        knownTotal += demand;
    const double mean = demands.empty() ? 1 : knownTotal / static_cast<double>(demands.size());
    std::vector<double> modelDemands;
    for (const std::string& model : models) {
        const auto found = demands.find(model);
        modelDemands.push_back(
            std::max(found == demands.end() ? mean : found->second, std::numeric_limits<double>::min()));
    }
    const double total = std::accumulate(modelDemands.begin(), modelDemands.end(), 0.0);
    std::vector<size_t> sizes(models.size(), replicas >= models.size() ? 1 : 0);
    size_t left = replicas - std::accumulate(sizes.begin(), sizes.end(), size_t(0));
    // Each remaining replica goes to the model that is furthest below its proportional share.
    for (; left > 0; --left) {
        size_t mostUnderserved = 0;
        double largestGap = std::numeric_limits<double>::lowest();
        for (size_t i = 0; i < models.size(); ++i) {
            const double gap = modelDemands[i] / total * static_cast<double>(replicas) - static_cast<double>(sizes[i]);
            if (gap > largestGap) {
                mostUnderserved = i;
                largestGap = gap;
            }
        }
        ++sizes[mostUnderserved];
    }
    return sizes;
}

/// Replicas of one model that are to load its announced version; those with the oldest weights come first.
class WeightLoadQueue {
public:
    WeightLoadQueue(const WeightLoadDemand& demand, const std::vector<ReplicaView>& replicas, Instant now)
        : demand_(demand)
        , servingCount_(servingReplicas(demand, replicas).size())
    {
        const bool isDelayed = demand.waitingItems > 0 && now < demand.announcedAt + maxLoadDelay;
        const int64_t requiredVersion
            = demand.waitingItems > 0 ? demand.newestRequiredVersion : demand.announcedVersion;
        for (const ReplicaView* replica : servingReplicas(demand, replicas)) {
            const int64_t version = replica->version(demand.model);
            const bool isUsable = version >= requiredVersion;
            usableCount_ += isUsable || replica->loadingModel == demand.model ? 1 : 0;
            if (version < demand.announcedVersion && !(isUsable && isDelayed))
                candidates_.push_back(replica);
        }
        std::stable_sort(candidates_.begin(), candidates_.end(), [&](const ReplicaView* a, const ReplicaView* b) {
            return a->version(demand.model) < b->version(demand.model);
        });
    }

    const WeightLoadDemand& demand() const { return demand_; }

    /// Sort key; the smallest goes first. Prefers models with a candidate, then models with waiting items, then a
    /// small share of usable replicas.
    std::tuple<bool, bool, double> rank(const std::set<std::string>& busy) const
    {
        const double share
            = servingCount_ == 0 ? 1.0 : static_cast<double>(usableCount_) / static_cast<double>(servingCount_);
        return { next(busy) == nullptr, demand_.waitingItems == 0, share };
    }

    /// First candidate whose agent is not loading; null if there is none.
    const ReplicaView* next(const std::set<std::string>& busy) const
    {
        const auto found = std::find_if(candidates_.begin(), candidates_.end(),
            [&](const ReplicaView* replica) { return !busy.contains(replica->agent); });
        return found == candidates_.end() ? nullptr : *found;
    }

    /// Removes a chosen candidate and counts it as usable from now on.
    void markChosen(const ReplicaView& replica)
    {
        std::erase(candidates_, &replica);
        ++usableCount_;
    }

private:
    WeightLoadDemand demand_;
    size_t servingCount_;
    size_t usableCount_ = 0;
    std::vector<const ReplicaView*> candidates_;
};

} // namespace

int64_t ReplicaView::version(const std::string& model) const
{
    const auto found = versions.find(model);
    return found == versions.end() ? 0 : found->second;
}

std::vector<size_t> dueTimeOrder(const std::vector<WaitingItem>& waiting)
{
    std::vector<size_t> order(waiting.size());
    for (size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
        return std::tuple(waiting[a].dueAt, -waiting[a].expectedTokens)
            < std::tuple(waiting[b].dueAt, -waiting[b].expectedTokens);
    });
    return order;
}

std::vector<Placement> placeItems(const std::vector<WaitingItem>& waiting, std::vector<ReplicaView>& replicas)
{
    return placeInOrder(waiting, dueTimeOrder(waiting), replicas);
}

std::vector<Placement> placeInOrder(
    const std::vector<WaitingItem>& waiting, const std::vector<size_t>& order, std::vector<ReplicaView>& replicas)
{
    std::vector<Placement> placements;
    const double medianMs = medianEventMs(replicas);
    for (size_t index : order) {
        const WaitingItem& item = waiting[index];
        ReplicaView* replica = bestReplica(item, replicas, medianMs, false);
        if (!replica && item.software && (item.mayBeginAnew || !isWorthWaiting(item, replicas)))
            replica = bestReplica(item, replicas, medianMs, true);
        if (!replica)
            continue;
        ++replica->running;
        placements.push_back({ index, replica->agent });
    }
    return placements;
}

double medianEventMs(const std::vector<ReplicaView>& replicas)
{
    std::vector<double> known;
    for (const ReplicaView& replica : replicas) {
        if (replica.isUp && replica.eventMs > 0)
            known.push_back(replica.eventMs);
    }
    if (known.empty())
        return 0;
    std::sort(known.begin(), known.end());
    return known[(known.size() - 1) / 2];
}

bool isSlow(const ReplicaView& replica, double medianMs)
{
    return medianMs > 0 && replica.eventMs > slowReplicaFactor * medianMs;
}

bool shouldMove(
    const ReplicaView& from, const std::string& model, int64_t oldestVersion, const std::vector<ReplicaView>& replicas)
{
    const double median = medianEventMs(replicas);
    if (!isSlow(from, median))
        return false;
    return std::any_of(replicas.begin(), replicas.end(), [&](const ReplicaView& other) {
        return other.agent != from.agent && isSameSoftware(from, other) && isUsable(other, model, oldestVersion)
            && !isSlow(other, median);
    });
}

bool wouldSpeedUp(
    const ReplicaView& from, const std::string& model, int64_t oldestVersion, const std::vector<ReplicaView>& replicas)
{
    const double median = medianEventMs(replicas);
    // The measured eventMs already includes the load of each replica. The effect of one more run is smaller than the
    // cost of a move, so it is ignored.
    return std::any_of(replicas.begin(), replicas.end(), [&](const ReplicaView& other) {
        const double otherMs = other.eventMs > 0 ? other.eventMs : median;
        return other.agent != from.agent && isSameSoftware(from, other) && isUsable(other, model, oldestVersion)
            && otherMs * minMoveSpeedup <= from.eventMs;
    });
}

std::vector<std::string> homeReplicas(const std::vector<std::string>& models, const ModelDemands& demands,
    const std::vector<std::string>& agents, const std::string& model, int64_t version)
{
    const auto found = std::find(models.begin(), models.end(), model);
    if (found == models.end() || agents.empty())
        return {};
    // Replicas form a ring in the order of their hashes, and each model has an arc of it. Odd versions use the arc that
    // is shifted by half the ring; the two overlap only if a model has more than half of all replicas.
    std::vector<std::string> ring = agents;
    std::sort(ring.begin(), ring.end(), [](const std::string& a, const std::string& b) {
        return std::pair(rendezvousWeight("homes", a), a) < std::pair(rendezvousWeight("homes", b), b);
    });
    const std::vector<size_t> sizes = shareSizes(models, demands, ring.size());
    const auto position = static_cast<size_t>(found - models.begin());
    const size_t begin = std::accumulate(sizes.begin(), sizes.begin() + (found - models.begin()), size_t(0))
        + (version % 2 == 0 ? 0 : ring.size() / 2);
    std::vector<std::string> homes;
    for (size_t i = 0; i < sizes[position]; ++i)
        homes.push_back(ring[(begin + i) % ring.size()]);
    return homes;
}

size_t maxConcurrentLoads(size_t replicas)
{
    constexpr size_t least = 2;
    constexpr size_t shareDivisor = 5;
    return std::max(least, (replicas + shareDivisor / 2) / shareDivisor);
}

std::vector<WeightLoadChoice> planWeightLoads(
    const std::vector<WeightLoadDemand>& demands, const std::vector<ReplicaView>& replicas, Instant now)
{
    std::vector<WeightLoadQueue> queues;
    queues.reserve(demands.size());
    for (const WeightLoadDemand& demand : demands)
        queues.emplace_back(demand, replicas, now);
    std::set<std::string> busy;
    for (const ReplicaView& replica : replicas) {
        if (!replica.loadingModel.empty())
            busy.insert(replica.agent);
    }
    const size_t limit = maxConcurrentLoads(replicas.size());
    std::vector<WeightLoadChoice> choices;
    while (busy.size() < limit) {
        const auto queue = std::min_element(queues.begin(), queues.end(),
            [&](const WeightLoadQueue& a, const WeightLoadQueue& b) { return a.rank(busy) < b.rank(busy); });
        const ReplicaView* replica = queue == queues.end() ? nullptr : queue->next(busy);
        if (!replica)
            break;
        choices.push_back({ replica->agent, queue->demand().model, queue->demand().announcedVersion });
        queue->markChosen(*replica);
        busy.insert(replica->agent);
    }
    return choices;
}

} // namespace endiveroad
