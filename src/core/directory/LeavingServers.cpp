#include <algorithm>
#include <endiveroad/LeavingServers.h>

namespace endiveroad {

bool LeavingServers::add(const ServerIncarnation& server, Instant now)
{
    if (server.id.empty() || contains(server))
        return false;
    records_[server.id] = { server.startedMs, now + recordLifetime };
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
            record->second.expiry = now + recordLifetime;
            ++record;
        }
    }
    std::erase_if(records_, [now](const auto& entry) { return entry.second.expiry <= now; });
}

std::vector<ServerIncarnation> LeavingServers::all() const
{
    std::vector<ServerIncarnation> servers;
    for (const auto& [id, record] : records_)
        servers.push_back({ id, record.startedMs });
    return servers;
}

} // namespace endiveroad
