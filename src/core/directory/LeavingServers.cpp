#include <algorithm>
#include <endiveroad/LeavingServers.h>
#include <tuple>

namespace endiveroad {

bool LeavingServers::add(const DepartedServer& departed, Instant now)
{
    const ServerIncarnation& server = departed.server;
    if (server.id.empty())
        return false;
    const auto known = records_.find(server.id);
    if (known != records_.end()) {
        const std::tuple before(known->second.startedMs, known->second.departure);
        if (before >= std::tuple(server.startedMs, departed.departure))
            return false;
    }
    records_[server.id] = { server.startedMs, departed.departure, now + recordLifetime };
    if (records_.size() > maxRecords) {
        const auto first = std::min_element(records_.begin(), records_.end(),
            [](const auto& a, const auto& b) { return a.second.expiry < b.second.expiry; });
        records_.erase(first);
    }
    return true;
}

bool LeavingServers::contains(const ServerIncarnation& server) const
{
    const auto found = records_.find(server.id);
    return found != records_.end() && server.startedMs <= found->second.startedMs;
}

void LeavingServers::apply(Directory& directory, Instant now)
{
    for (auto record = records_.begin(); record != records_.end();) {
        const auto server = directory.servers.find(record->first);
        if (server == directory.servers.end()) {
            ++record;
        } else if (server->second.startedMs > record->second.startedMs) {
            record = records_.erase(record);
        } else {
            server->second.isDraining = true;
            server->second.isReplaced = record->second.departure == Departure::Replaced;
            record->second.expiry = now + recordLifetime;
            ++record;
        }
    }
    std::erase_if(records_, [now](const auto& entry) { return entry.second.expiry <= now; });
}

std::vector<DepartedServer> LeavingServers::all() const
{
    std::vector<DepartedServer> servers;
    for (const auto& [id, record] : records_)
        servers.push_back({ { id, record.startedMs }, record.departure });
    return servers;
}

} // namespace endiveroad
