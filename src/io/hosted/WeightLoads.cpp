#include "io/hosted/WeightLoads.h"

#include <algorithm>

namespace endiveroad::io {

void WeightLoads::onJob(const OwnedJob& owned)
{
    const BatchJobSpec& spec = owned.job.spec();
    const double seconds = static_cast<double>(std::max<int64_t>(owned.record.resultDueMs, 1)) / 1000;
    double tokens = 0;
    for (const BatchItem& item : spec.items)
        tokens += item.expectedTokens;
    const auto [entry, isNew] = demands_.try_emplace(spec.model, tokens / seconds);
    if (!isNew)
        entry->second += newestJobWeight * (tokens / seconds - entry->second);
}

void WeightLoads::onDemandReport(const std::string& model, double tokensPerSecond)
{
    if (tokensPerSecond > 0)
        demands_[model] = tokensPerSecond;
}

double WeightLoads::demandOf(const std::string& model) const
{
    const auto entry = demands_.find(model);
    return entry == demands_.end() ? 0 : entry->second;
}

void WeightLoads::onOpenJob(const std::string& model, const std::string& service, Instant now)
{
    modelUses_[model] = { service, now + modelUseLifetime };
}

WeightLoadDemand WeightLoads::demandFor(const std::string& model, const std::string& service,
    const std::vector<ReplicaView>& replicas, const JobTable& jobs, const Directory& directory) const
{
    WeightLoadDemand demand;
    demand.model = model;
    demand.announcedVersion = directory.announcedVersion(model);
    const auto announcedAt = announcedAt_.find(model);
    if (announcedAt != announcedAt_.end())
        demand.announcedAt = announcedAt->second;
    for (const auto& [id, owned] : jobs) {
        if (owned->job.spec().model != model || owned->isLost)
            continue;
        const size_t waiting = owned->job.waiting(never).size();
        demand.waitingItems += waiting;
        if (waiting > 0)
            demand.newestRequiredVersion = std::max(demand.newestRequiredVersion, owned->job.spec().oldestVersion);
    }
    std::vector<std::string> agents;
    agents.reserve(replicas.size());
    for (const ReplicaView& replica : replicas)
        agents.push_back(replica.agent);
    const auto declared = directory.routing->services.find(service);
    if (declared != directory.routing->services.end())
        demand.homes = homeReplicas(declared->second.models, demands_, agents, model, demand.announcedVersion);
    return demand;
}

std::vector<WeightLoadChoice> WeightLoads::choose(const std::string& service, const std::vector<ReplicaView>& replicas,
    const JobTable& jobs, const Directory& directory, Instant now)
{
    std::erase_if(modelUses_, [now](const auto& entry) { return entry.second.expiry <= now; });
    std::vector<WeightLoadDemand> demands;
    for (const auto& [model, use] : modelUses_) {
        if (use.service == service)
            demands.push_back(demandFor(model, service, replicas, jobs, directory));
    }
    std::vector<WeightLoadChoice> choices;
    for (const WeightLoadChoice& choice : planWeightLoads(demands, replicas, now)) {
        Instant& nextRequestAt = nextRequestAt_[choice.agent];
        if (nextRequestAt > now)
            continue;
        nextRequestAt = now + requestInterval;
        choices.push_back(choice);
    }
    return choices;
}

} // namespace endiveroad::io
