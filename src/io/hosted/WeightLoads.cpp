#include "io/hosted/WeightLoads.h"

#include <algorithm>

namespace endiveroad::io {

void WeightLoads::onOpenJob(const std::string& model, const std::string& service, Instant now)
{
    interests_[model] = { service, now + modelInterest };
}

LoadDemand WeightLoads::demandFor(const std::string& model, const std::string& service,
    const std::vector<ReplicaView>& replicas, const JobTable& jobs, const Directory& directory) const
{
    LoadDemand demand;
    demand.model = model;
    demand.namedVersion = directory.namedVersion(model);
    const auto named = namedAt_.find(model);
    if (named != namedAt_.end())
        demand.namedAt = named->second;
    for (const auto& [id, owned] : jobs) {
        if (owned->job.spec().model != model || owned->isLost)
            continue;
        const size_t waiting = owned->job.waiting(never).size();
        demand.waiting += waiting;
        if (waiting > 0)
            demand.oldestNeeded = std::max(demand.oldestNeeded, owned->job.spec().oldestVersion);
    }
    std::vector<std::string> agents;
    agents.reserve(replicas.size());
    for (const ReplicaView& replica : replicas)
        agents.push_back(replica.agent);
    const auto declared = directory.routing->services.find(service);
    if (declared != directory.routing->services.end())
        demand.homes = homeReplicas(declared->second.models, agents, model, demand.namedVersion);
    return demand;
}

std::vector<LoadChoice> WeightLoads::choose(const std::string& service, const std::vector<ReplicaView>& replicas,
    const JobTable& jobs, const Directory& directory, Instant now)
{
    std::erase_if(interests_, [now](const auto& entry) { return entry.second.expiry <= now; });
    std::vector<LoadDemand> demands;
    for (const auto& [model, interest] : interests_) {
        if (interest.service == service)
            demands.push_back(demandFor(model, service, replicas, jobs, directory));
    }
    std::vector<LoadChoice> choices;
    for (const LoadChoice& choice : planLoads(demands, replicas, now)) {
        Instant& askAgainAt = askAgainAt_[choice.agent];
        if (askAgainAt > now)
            continue;
        askAgainAt = now + askPause;
        choices.push_back(choice);
    }
    return choices;
}

} // namespace endiveroad::io
