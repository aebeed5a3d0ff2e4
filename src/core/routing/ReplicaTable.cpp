#include <endiveroad/ReplicaTable.h>

#include <algorithm>
#include <tuple>

namespace endiveroad {

ReplicaTable::ReplicaTable(uint64_t seed)
    : random_(static_cast<std::minstd_rand::result_type>(seed))
{
}

void ReplicaTable::onReport(const ReplicaReport& report, Instant now)
{
    const auto [position, isNew] = positions_.try_emplace(report.agent, replicas_.size());
    if (isNew)
        replicas_.emplace_back();
    Replica& replica = replicas_[position->second];
    const auto order = [](const ReplicaReport& r) { return std::tuple(r.incarnation, r.sequence); };
    if (order(report) <= order(replica.report))
        return;
    replica.report = report;
    replica.expiry = now + reportLifetime;
}

void ReplicaTable::onLost(const std::string& agent)
{
    const auto found = positions_.find(agent);
    if (found == positions_.end())
        return;
    Replica& replica = replicas_[found->second];
    replica.expiry = Instant::min();
    replica.report.incarnation = 0;
    replica.report.sequence = 0;
    replica.report.isServerUp = false;
}

int32_t ReplicaTable::freeSlots(const Replica& replica)
{
    // Requests sent before the report may have reached the agent only after it counted. Those that exceed its count
    // are therefore taken off its free slots.
    const int32_t unreported = std::max(replica.outstanding - replica.report.running, 0);
    return replica.report.freeSlots - unreported;
}

bool ReplicaTable::isUsable(const Replica& replica, Instant now, const ReplicaDemand& demand)
{
    const ReplicaReport& report = replica.report;
    if (replica.expiry < now || report.isDraining || !report.isServerUp)
        return false;
    if (demand.minVersion != unknownVersion && (report.isSwapping || report.version < demand.minVersion))
        return false;
    return freeSlots(replica) > demand.keepFree;
}

size_t ReplicaTable::randomIndex(size_t size)
{
    return std::uniform_int_distribution<size_t>(0, size - 1)(random_);
}

ReplicaTable::Replica* ReplicaTable::probe(Instant now, const ReplicaDemand& demand)
{
    for (int i = 0; i < maxProbes && !replicas_.empty(); ++i) {
        Replica& replica = replicas_[randomIndex(replicas_.size())];
        if (isUsable(replica, now, demand))
            return &replica;
    }
    return nullptr;
}

ReplicaTable::Replica* ReplicaTable::search(Instant now, const ReplicaDemand& demand)
{
    std::vector<Replica*> usable;
    for (Replica& replica : replicas_) {
        if (isUsable(replica, now, demand))
            usable.push_back(&replica);
    }
    return usable.empty() ? nullptr : usable[randomIndex(usable.size())];
}

std::optional<std::string> ReplicaTable::acquire(Instant now, const ReplicaDemand& demand)
{
    Replica* first = probe(now, demand);
    if (!first)
        first = search(now, demand);
    if (!first)
        return std::nullopt;
    Replica* second = probe(now, demand);
    const auto rank
        = [&](const Replica& r) { return std::tuple(freeSlots(r), r.report.failureDomain == demand.failureDomain); };
    Replica* chosen = second && rank(*second) > rank(*first) ? second : first;
    ++chosen->outstanding;
    return chosen->report.agent;
}

void ReplicaTable::release(const std::string& agent)
{
    const auto found = positions_.find(agent);
    if (found != positions_.end() && replicas_[found->second].outstanding > 0)
        --replicas_[found->second].outstanding;
}

int32_t ReplicaTable::freeSlots(Instant now) const
{
    int32_t total = 0;
    for (const Replica& replica : replicas_) {
        if (isUsable(replica, now, {}))
            total += freeSlots(replica);
    }
    return total;
}

std::vector<ReplicaReport> ReplicaTable::reports() const
{
    std::vector<ReplicaReport> result;
    for (const auto& [agent, position] : positions_)
        result.push_back(replicas_[position].report);
    return result;
}

} // namespace endiveroad
