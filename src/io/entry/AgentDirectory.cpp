#include "io/entry/AgentDirectory.h"

#include "io/Clock.h"

namespace endiveroad::io {

AgentDirectory::AgentDirectory(const PeerMesh& mesh)
    : mesh_(mesh)
{
}

void AgentDirectory::onSettings(std::shared_ptr<const Settings> settings)
{
    settings_ = std::move(settings);
    std::erase_if(tables_, [this](const auto& entry) { return !settings_->pools.contains(entry.first); });
}

ReplicaTable& AgentDirectory::table(const std::string& pool)
{
    return tables_.try_emplace(pool, static_cast<uint64_t>(wallMs())).first->second;
}

void AgentDirectory::onReport(const std::string& pool, const ReplicaReport& report)
{
    if (!settings_ || !settings_->pools.contains(pool))
        return;
    table(pool).onReport(report, now());
}

void AgentDirectory::onLost(const std::string& agent)
{
    for (auto& [pool, table] : tables_)
        table.onLost(agent);
}

std::vector<PeerConnectionPtr> AgentDirectory::connections(const std::string& pool) const
{
    std::vector<PeerConnectionPtr> result;
    const auto found = settings_->pools.find(pool);
    if (found == settings_->pools.end())
        return result;
    for (const auto& [name, replica] : found->second.replicas) {
        if (auto peer = connection(name))
            result.push_back(std::move(peer));
    }
    return result;
}

} // namespace endiveroad::io
