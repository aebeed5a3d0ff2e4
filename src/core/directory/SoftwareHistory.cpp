#include <endiveroad/SoftwareHistory.h>
#include <set>

namespace endiveroad {

void SoftwareHistory::onDirectory(const Directory& directory, Instant now)
{
    std::map<std::string, std::set<SoftwareVersion>> versions;
    for (const auto& [id, server] : directory.servers)
        versions[server.service].insert(server.software());
    for (const auto& [service, present] : versions) {
        const SoftwareVersion& first = *present.begin();
        if (present.size() > 1 || !first.isKnown()) {
            uniform_.erase(service);
            continue;
        }
        const auto [position, isNew] = uniform_.try_emplace(service, Uniform { first, now });
        if (!isNew && position->second.software != first)
            position->second = { first, now };
    }
}

std::optional<SoftwareVersion> SoftwareHistory::onlyVersion(const std::string& service, Instant since) const
{
    const auto found = uniform_.find(service);
    if (found == uniform_.end() || found->second.since > since)
        return std::nullopt;
    return found->second.software;
}

} // namespace endiveroad
