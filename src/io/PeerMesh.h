#pragma once

#include "io/PeerConnection.h"

#include <functional>
#include <map>

/// Keeps a connection to each of a set of named peers, opening it again after a loss.
namespace endiveroad::io {

class PeerMesh {
public:
    /// Pause before a peer that is away is called again: the first, and the longest after doubling.
    static constexpr Duration firstReconnectDelay = std::chrono::milliseconds(50);
    static constexpr Duration reconnectDelay = std::chrono::milliseconds(200);

    /// Pause after a refusal, which a change of keys has to mend first.
    static constexpr Duration refusedDelay = std::chrono::seconds(2);

    /// onOpened is called for each new connection.
    PeerMesh(
        asio::io_context&, PeerHandler&, std::function<void(const std::string&, const PeerConnectionPtr&)> onOpened);

    /// Replaces the set of peers: new ones are connected, others closed.
    void setTargets(const std::map<std::string, Address>&);

    /// The open connection to a peer, or null.
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
