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
    Replica& replica = replicas_[report.agent];
    const auto order = [](const ReplicaReport& r) { return std::tuple(r.incarnation, r.sequence); };
    if (order(report) <= order(replica.report))
        return;
    replica.report = report;
    replica.expiry = now + reportLifetime;
}

void ReplicaTable::onLost(const std::string& agent)
{
    const auto found = replicas_.find(agent);
    if (found == replicas_.end())
        return;
    found->second.expiry = Instant::min();
    found->second.report.incarnation = 0;
    found->second.report.sequence = 0;
    found->second.report.isServerUp = false;
}

int32_t ReplicaTable::freeSlots(const Replica& replica)
{
    // Work sent before the report may not have arrived when the agent counted, so the larger count is believed.
    const int32_t unreported = std::max(replica.outstanding - replica.report.running, 0);
    return replica.report.freeSlots - unreported;
}

bool ReplicaTable::isUsable(const Replica& replica, Instant now, const ReplicaDemand& demand)
{
    const ReplicaReport& report = replica.report;
    if (replica.expiry < now || report.isDraining || !report.isServerUp)
        return false;
    if (demand.atLeast != unknownVersion && (report.isSwapping || report.version < demand.atLeast))
        return false;
    return freeSlots(replica) > demand.keepFree;
}

std::optional<std::string> ReplicaTable::acquire(Instant now, const ReplicaDemand& demand)
{
    std::vector<Replica*> usable;
    for (auto& [agent, replica] : replicas_) {
        if (isUsable(replica, now, demand))
            usable.push_back(&replica);
    }
    if (usable.empty())
        return std::nullopt;
    std::uniform_int_distribution<size_t> pick(0, usable.size() - 1);
    Replica* first = usable[pick(random_)];
    Replica* second = usable[pick(random_)];
    const auto rank
        = [&](const Replica& r) { return std::tuple(freeSlots(r), r.report.failureDomain == demand.failureDomain); };
    Replica* chosen = rank(*second) > rank(*first) ? second : first;
    ++chosen->outstanding;
    return chosen->report.agent;
}

void ReplicaTable::release(const std::string& agent)
{
    const auto found = replicas_.find(agent);
    if (found != replicas_.end() && found->second.outstanding > 0)
        --found->second.outstanding;
}

int32_t ReplicaTable::freeSlots(Instant now) const
{
    int32_t total = 0;
    for (const auto& [agent, replica] : replicas_) {
        if (isUsable(replica, now, {}))
            total += freeSlots(replica);
    }
    return total;
}

std::vector<ReplicaReport> ReplicaTable::reports() const
{
    std::vector<ReplicaReport> result;
    for (const auto& [agent, replica] : replicas_)
        result.push_back(replica.report);
    return result;
}

} // namespace endiveroad
