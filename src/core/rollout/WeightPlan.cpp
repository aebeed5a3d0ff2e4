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

bool WeightPlan::needsSwap(const ReplicaReport& report, Instant now) const
{
    if (!report.isServerUp || report.isDraining || report.version == newest_.policy.version)
        return false;
    const auto found = replicas_.find(report.agent);
    return found == replicas_.end() || found->second.notBefore <= now;
}

int64_t WeightPlan::allowedSwaps(const std::vector<ReplicaReport>& reports, double swapShare, Instant now)
{
    const auto share = static_cast<int64_t>(std::floor(swapShare * static_cast<double>(reports.size())));
    const int64_t limit = std::max<int64_t>(share, 1);
    int64_t swapping = 0;
    int64_t overdue = 0;
    for (const ReplicaReport& report : reports) {
        Replica& replica = replicas_[report.agent];
        if (!isBusy(report, now)) {
            replica.overdueAt = never;
            continue;
        }
        // Another entry may have sent the load order, so the timer starts when the swap is first seen.
        if (replica.overdueAt == never)
            replica.overdueAt = now + overdueTimeout;
        ++(replica.overdueAt <= now ? overdue : swapping);
    }
    return std::min(limit - swapping, 2 * limit - swapping - overdue);
}

std::vector<std::string> WeightPlan::agentsToSwap(
    const std::vector<ReplicaReport>& reports, double swapShare, Instant now)
{
    std::vector<std::string> agents;
    if (newest_.policy.version == unknownVersion)
        return agents;
    int64_t allowed = allowedSwaps(reports, swapShare, now);
    for (const ReplicaReport& report : reports) {
        if (allowed <= 0)
            break;
        if (isBusy(report, now) || !needsSwap(report, now))
            continue;
        --allowed;
        Replica& replica = replicas_[report.agent];
        replica.busyUntil = now + loadOrderTimeout;
        replica.overdueAt = now + overdueTimeout;
        agents.push_back(report.agent);
    }
    return agents;
}

bool WeightPlan::onLoadOrderEnded(const std::string& agent, bool hasSucceeded, Instant now)
{
    Replica& replica = replicas_[agent];
    replica.busyUntil = Instant::min();
    if (hasSucceeded) {
        replica.failures = 0;
        replica.notBefore = now + reportDelay;
        return false;
    }
    ++replica.failures;
    const Duration delay = firstRetryDelay * (int64_t { 1 } << std::min(replica.failures, 16U));
    const bool hasTooManyFailures = replica.failures >= failuresUntilSetAside;
    replica.notBefore = now + (hasTooManyFailures ? maxRetryDelay : std::min(delay, maxRetryDelay));
    return replica.failures == failuresUntilSetAside;
}

bool WeightPlan::isSetAside(const std::string& agent) const
{
    const auto found = replicas_.find(agent);
    return found != replicas_.end() && found->second.failures >= failuresUntilSetAside;
}

} // namespace endiveroad
