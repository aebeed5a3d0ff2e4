#include "io/hosted/ServerChooser.h"

#include "io/Clock.h"

#include <algorithm>

namespace endiveroad::io {

ServerChooser::ServerChooser(RequestLimits& limits, DirectorySource directory, uint64_t seed)
    : limits_(limits)
    , directory_(std::move(directory))
    , loads_(seed)
    , random_(static_cast<uint32_t>(seed) | 1U)
{
}

void ServerChooser::onDirectory(const Directory& directory)
{
    std::set<std::string> ids;
    for (const auto& [id, server] : directory.servers)
        ids.insert(id);
    loads_.retain(ids);
    std::erase_if(explorations_, [&ids](const auto& entry) { return !ids.contains(entry.first); });
}

const std::string& ServerChooser::chooseService(const RouteDeclaration& route)
{
    int64_t total = 0;
    for (const WeightedService& weighted : route.services)
        total += std::max(weighted.weight, 0);
    if (total <= 0)
        return route.services.front().service;
    int64_t point = std::uniform_int_distribution<int64_t>(0, total - 1)(random_);
    for (const WeightedService& weighted : route.services) {
        point -= std::max(weighted.weight, 0);
        if (point < 0)
            return weighted.service;
    }
    return route.services.back().service;
}

std::optional<ChosenServer> ServerChooser::choose(
    const RouteDeclaration& route, const ServerDemand& demand, const std::set<std::string>& excluded)
{
    if (route.services.empty())
        return std::nullopt;
    const auto directory = directory_();
    std::vector<ServerCandidate> candidates;
    std::vector<ServerRecord> limited;
    for (const ServerRecord* server : directory->readyServers(serviceFor(route, demand))) {
        if (demand.software && server->software() != *demand.software)
            continue;
        const ServerIncarnation receiver = ServerIncarnation::of(*server);
        const bool isLimited = limits_.isLimited(receiver);
        if (isLimited && !excluded.contains(server->id))
            limited.push_back(*server);
        // A server in need gets no second copies of requests.
        if (!isLimited || (!demand.isHedge && limits_.mayTake(receiver)))
            candidates.push_back({ server->id, server->slots });
    }
    const auto chosen = loads_.choose(candidates, excluded, now(), demand.isYielding);
    if (!demand.isHedge)
        demandPermits(route, demand, limited, !chosen);
    if (!chosen)
        return std::nullopt;
    const ServerRecord& server = directory->servers.at(*chosen);
    auto permit = limits_.tryTake(ServerIncarnation::of(server), demand.path);
    if (!permit)
        return std::nullopt;
    return ChosenServer { server, *std::move(permit), directory->runsModels(server.service) };
}

const std::string& ServerChooser::serviceFor(const RouteDeclaration& route, const ServerDemand& demand)
{
    if (!demand.software)
        return chooseService(route);
    const auto found = std::find_if(route.services.begin(), route.services.end(),
        [&](const WeightedService& weighted) { return weighted.service == demand.software->service; });
    // The candidates of another service do not have the software.
    return found == route.services.end() ? route.services.front().service : found->service;
}

std::optional<ChosenServer> ServerChooser::chooseOnly(
    const RouteDeclaration& route, const ServerDemand& demand, const std::string& server)
{
    std::set<std::string> others;
    for (const ServerCandidate& candidate : candidatesOf(route))
        others.insert(candidate.id);
    others.erase(server);
    return choose(route, demand, others);
}

void ServerChooser::demandPermits(
    const RouteDeclaration& route, const ServerDemand& demand, const std::vector<ServerRecord>& limited, bool isWaiting)
{
    if (limited.empty())
        return;
    const Duration latency = rateOf(route, demand.software).latency;
    for (const ServerRecord& server : limited) {
        const ServerIncarnation receiver = ServerIncarnation::of(server);
        if (limits_.permits(receiver) > 0)
            continue;
        if (isWaiting) {
            // Any request that waits can use the permits.
            limits_.demand(receiver, route.priority, demand.waiting, demand.lastDeadline - latency);
            continue;
        }
        Instant& exploreAt = explorations_[server.id];
        if (now() < exploreAt)
            continue;
        exploreAt = now() + explorationInterval;
        limits_.demand(receiver, explorationPriority, 1, now() + explorationWait);
    }
}

std::vector<ServerCandidate> ServerChooser::candidatesOf(
    const RouteDeclaration& route, const std::optional<SoftwareVersion>& software) const
{
    const auto directory = directory_();
    std::vector<ServerCandidate> candidates;
    for (const WeightedService& weighted : route.services) {
        for (const ServerRecord* server : directory->readyServers(weighted.service)) {
            if (software && server->software() != *software)
                continue;
            const ServerIncarnation receiver = ServerIncarnation::of(*server);
            ServerCandidate candidate { server->id, server->slots };
            if (limits_.isLimited(receiver))
                candidate.permits = limits_.outlook(receiver);
            candidates.push_back(std::move(candidate));
        }
    }
    return candidates;
}

bool ServerChooser::isServerExpected(const RouteDeclaration& route) const
{
    const auto directory = directory_();
    return std::any_of(route.services.begin(), route.services.end(),
        [&directory](const WeightedService& weighted) { return directory->isServerExpected(weighted.service); });
}

} // namespace endiveroad::io
