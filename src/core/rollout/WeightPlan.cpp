#include <algorithm>
#include <cmath>
#include <endiveroad/WeightPlan.h>

namespace endiveroad {

bool WeightPlan::announce(AnnouncedPolicy policy)
{
    if (policy.policy.order <= newest_.policy.order)
        return false;
    newest_ = std::move(policy);
    for (auto& [agent, replica] : replicas_)
        replica.notBefore = Instant::min();
    return true;
}

bool WeightPlan::isBusy(const ReplicaReport& report, Instant now) const
{
    const auto found = replicas_.find(report.agent);
    return report.isSwapping || (found != replicas_.end() && found->second.busyUntil > now);
}

bool WeightPlan::isWanted(const ReplicaReport& report, Instant now) const
{
    if (!report.isServerUp || report.isDraining || report.version == newest_.policy.version)
        return false;
    const auto found = replicas_.find(report.agent);
    return found == replicas_.end() || found->second.notBefore <= now;
}

std::vector<std::string> WeightPlan::due(const std::vector<ReplicaReport>& reports, double swapShare, Instant now)
{
    std::vector<std::string> agents;
    if (newest_.policy.version == unknownVersion)
        return agents;
    const auto isBusyNow = [&](const ReplicaReport& report) { return isBusy(report, now); };
    const auto share = static_cast<int64_t>(std::floor(swapShare * static_cast<double>(reports.size())));
    int64_t allowed = std::max<int64_t>(share, 1) - std::count_if(reports.begin(), reports.end(), isBusyNow);
    for (const ReplicaReport& report : reports) {
        if (allowed <= 0)
            break;
        if (isBusyNow(report) || !isWanted(report, now))
            continue;
        --allowed;
        replicas_[report.agent].busyUntil = now + orderTimeout;
        agents.push_back(report.agent);
    }
    return agents;
}

bool WeightPlan::onEnded(const std::string& agent, bool isDone, Instant now)
{
    Replica& replica = replicas_[agent];
    replica.busyUntil = Instant::min();
    if (isDone) {
        replica.failures = 0;
        replica.notBefore = now + reportDelay;
        return false;
    }
    ++replica.failures;
    const Duration delay = firstRetryDelay * (int64_t { 1 } << std::min(replica.failures, 16U));
    const bool isAside = replica.failures >= failuresUntilSetAside;
    replica.notBefore = now + (isAside ? maxRetryDelay : std::min(delay, maxRetryDelay));
    return replica.failures == failuresUntilSetAside;
}

bool WeightPlan::isSetAside(const std::string& agent) const
{
    const auto found = replicas_.find(agent);
    return found != replicas_.end() && found->second.failures >= failuresUntilSetAside;
}

} // namespace endiveroad
