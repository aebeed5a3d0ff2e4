#pragma once

#include "io/PeerMesh.h"

#include <endiveroad/ReplicaTable.h>
#include <endiveroad/Settings.h>
#include <map>
#include <memory>

/// An entry's view of all agents: connections by name, and a routing table per pool.
namespace endiveroad::io {

class AgentDirectory {
public:
    explicit AgentDirectory(const PeerMesh&);

    void onSettings(std::shared_ptr<const Settings>);
    void onReport(const std::string& pool, const ReplicaReport&);
    void onLost(const std::string& agent);

    /// Settings in force; never null once a request can arrive.
    const Settings& settings() const { return *settings_; }

    ReplicaTable& table(const std::string& pool);

    /// Open connection to an agent, or null.
    PeerConnectionPtr connection(const std::string& agent) const { return mesh_.connection(agent); }

    /// Open connections to all agents of a pool.
    std::vector<PeerConnectionPtr> connections(const std::string& pool) const;

    const std::map<std::string, ReplicaTable>& tables() const { return tables_; }

private:
    const PeerMesh& mesh_;
    std::shared_ptr<const Settings> settings_;
    std::map<std::string, ReplicaTable> tables_;
};

} // namespace endiveroad::io
