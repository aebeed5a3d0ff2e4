#pragma once

#include "io/PeerConnection.h"

#include <functional>
#include <map>

/// Keeps a connection to each of a set of named peers and reconnects after a loss.
namespace endiveroad::io {

class PeerMesh {
public:
    /// Delay before the next attempt to connect to an unreachable peer: the first one, and the bound up to which it
    /// doubles.
    static constexpr Duration firstReconnectDelay = std::chrono::milliseconds(50);
    static constexpr Duration maxReconnectDelay = std::chrono::milliseconds(200);

    /// Delay after an access refusal; attempts keep failing until the keys are changed.
    static constexpr Duration accessRefusedDelay = std::chrono::seconds(2);

    /// onOpened is called with the peer's name for each new connection.
    PeerMesh(
        asio::io_context&, PeerHandler&, std::function<void(const std::string&, const PeerConnectionPtr&)> onOpened);

    /// Replaces the set of peers. Connects to new peers and to those with another address, and closes the connections
    /// to peers that are gone or have moved.
    void setTargets(const std::map<std::string, Address>&);

    /// The open connection to a peer; null if there is none.
    PeerConnectionPtr connection(const std::string& name) const;

    std::vector<PeerConnectionPtr> connections() const;

    void close();

private:
    struct Target {
        Address address;
        PeerConnectionPtr connection;
        uint64_t generation = 0;
    };

    asio::awaitable<void> maintain(std::string name, uint64_t generation);
    bool isCurrent(const std::string& name, uint64_t generation) const;

    asio::io_context& context_;
    PeerHandler& handler_;
    std::function<void(const std::string&, const PeerConnectionPtr&)> onOpened_;
    std::map<std::string, Target> targets_;
    uint64_t nextGeneration_ = 1;
};

} // namespace endiveroad::io
