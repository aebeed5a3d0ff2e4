#pragma once

#include "io/PeerMesh.h"

#include <endiveroad/ReplicaTable.h>
#include <endiveroad/Settings.h>
#include <map>
#include <memory>

namespace endiveroad::io {

/// An entry's view of the agents: their connections, and per pool the state of the replicas as the agents reported it.
class AgentDirectory {
public:
    explicit AgentDirectory(const PeerMesh&);

    /// Puts settings in force and drops the tables of pools that they no longer declare. table() may create one of
    /// them again, empty.
    void onSettings(std::shared_ptr<const Settings>);

    /// Stores an agent's report. Ignores it if no pool of this name is declared.
    void onReport(const std::string& pool, const ReplicaReport&);

    /// Marks an agent as down after its connection was lost.
    void onLost(const std::string& agent);

    /// Settings in force. Precondition: onSettings() has been called.
    const Settings& settings() const { return *settings_; }

    /// Routing table of a pool; created empty if there is none yet.
    ReplicaTable& table(const std::string& pool);

    /// Open connection to an agent, or null.
    PeerConnectionPtr connection(const std::string& agent) const { return mesh_.connection(agent); }

    /// Open connections to agents of a pool.
    std::vector<PeerConnectionPtr> connections(const std::string& pool) const;

    const std::map<std::string, ReplicaTable>& tables() const { return tables_; }

private:
    const PeerMesh& mesh_;
    std::shared_ptr<const Settings> settings_;
    std::map<std::string, ReplicaTable> tables_;
};

} // namespace endiveroad::io
