#pragma once

#include "io/PeerConnection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>

/// Accepts connections of peer processes.
namespace endiveroad::io {

class PeerAcceptor {
public:
    /// Pause after a failed accept, for example when no file descriptors are left.
    static constexpr Duration failurePause = std::chrono::milliseconds(20);

    /// onAccepted is called for each new connection after it was started.
    PeerAcceptor(asio::io_context&, PeerHandler&, std::function<void(const PeerConnectionPtr&)> onAccepted = nullptr);

    /// Throws AddressInUseError.
    void listen(const Address&);
    bool isListening() const { return acceptor_ != nullptr; }

    /// Accepted connections that have not been removed by forget().
    const std::set<PeerConnectionPtr>& connections() const { return connections_; }
    bool contains(const PeerConnectionPtr& connection) const { return connections_.contains(connection); }

    /// Removes a closed connection.
    void forget(const PeerConnectionPtr& connection) { connections_.erase(connection); }

private:
    asio::awaitable<void> acceptLoop();

    asio::io_context& context_;
    PeerHandler& handler_;
    std::function<void(const PeerConnectionPtr&)> onAccepted_;
    std::unique_ptr<asio::ip::tcp::acceptor> acceptor_;
    std::set<PeerConnectionPtr> connections_;
};

} // namespace endiveroad::io
