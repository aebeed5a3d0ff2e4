#include <algorithm>
#include <endiveroad/Directory.h>

namespace endiveroad {

const RouteDeclaration* RoutingTable::match(std::string_view host, std::string_view path) const
{
    const RouteDeclaration* best = nullptr;
    for (const RouteDeclaration& route : routes) {
        if (route.host != host || !path.starts_with(route.pathPrefix))
            continue;
        if (!best || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

const RouteDeclaration* RoutingTable::route(std::string_view name) const
{
    const auto found = std::find_if(
        routes.begin(), routes.end(), [name](const RouteDeclaration& route) { return route.name == name; });
    return found == routes.end() ? nullptr : &*found;
}

bool RoutingTable::hasBatchRoute(std::string_view host) const
{
    return std::any_of(routes.begin(), routes.end(),
        [host](const RouteDeclaration& route) { return route.host == host && route.kind == TrafficKind::BatchJobs; });
}

const RouteDeclaration* RoutingTable::batchRoute(std::string_view host, std::string_view path) const
{
    const RouteDeclaration* matched = match(host, path);
    return matched && matched->kind == TrafficKind::BatchJobs ? matched : nullptr;
}

std::vector<std::string> RoutingTable::models() const
{
    std::set<std::string> names;
    for (const auto& [name, service] : services)
        names.insert(service.models.begin(), service.models.end());
    return { names.begin(), names.end() };
}

std::vector<const ServerRecord*> Directory::readyServers(std::string_view service) const
{
    std::vector<const ServerRecord*> ready;
    for (const auto& [id, server] : servers) {
        if (server.service == service && !server.isDraining)
            ready.push_back(&server);
    }
    return ready;
}

bool Directory::isServerExpected(std::string_view service) const
{
    return std::any_of(servers.begin(), servers.end(), [&](const auto& entry) {
        const ServerRecord& server = entry.second;
        return server.service == service && server.isReplaced && serverAt(server.address) == &server;
    });
}

const ServerRecord* Directory::serverAt(const Address& address) const
{
    const ServerRecord* newest = nullptr;
    for (const auto& [id, server] : servers) {
        if (server.address == address && (!newest || server.startedMs > newest->startedMs))
            newest = &server;
    }
    return newest;
}

bool Directory::runsModels(const std::string& service) const
{
    if (!routing)
        return false;
    const auto declared = routing->services.find(service);
    return declared != routing->services.end() && !declared->second.models.empty();
}

void Directory::markReplacedServers()
{
    std::map<Address, int64_t> lastStarts;
    for (const auto& [id, server] : servers) {
        int64_t& lastStart = lastStarts[server.address];
        lastStart = std::max(lastStart, server.startedMs);
    }
    for (auto& [id, server] : servers) {
        if (server.startedMs >= lastStarts.at(server.address))
            continue;
        server.isDraining = true;
        server.isReplaced = true;
    }
}

std::set<Address> Directory::coordinatorAddresses(const std::vector<Address>& seeds, bool areSeedsNeeded) const
{
    std::set<Address> addresses;
    for (const auto& [name, record] : coordinators)
        addresses.insert(record.peer);
    if (areSeedsNeeded || addresses.empty())
        addresses.insert(seeds.begin(), seeds.end());
    return addresses;
}

int64_t Directory::announcedVersion(const std::string& model) const
{
    const auto found = announcedVersions.find(model);
    return found == announcedVersions.end() ? 1 : found->second;
}

const OrganisationDeclaration* RoutingTable::organisationOf(const std::string& keyDigest) const
{
    if (!organisations || keyDigest.empty())
        return nullptr;
    const OrganisationDeclaration* holder = nullptr;
    for (const auto& [name, organisation] : *organisations) {
        if (!organisation.keyDigests.contains(keyDigest))
            continue;
        // A key that two organisations hold identifies neither.
        if (holder)
            return nullptr;
        holder = &organisation;
    }
    return holder;
}

std::optional<int32_t> RoutingTable::organisationPriority(const std::string& organisation) const
{
    if (!organisations)
        return std::nullopt;
    const auto found = organisations->find(organisation);
    return found == organisations->end() ? std::nullopt : found->second.priority;
}

int32_t RoutingTable::priorityOf(const RouteDeclaration& route, const std::string& organisation) const
{
    return organisationPriority(organisation).value_or(route.priority);
}

} // namespace endiveroad
