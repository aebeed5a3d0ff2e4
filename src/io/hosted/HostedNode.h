#pragma once

#include "io/HttpClient.h"
#include "io/HttpServer.h"
#include "io/PeerAcceptor.h"
#include "io/PeerConnection.h"
#include "io/PeerMesh.h"
#include "io/hosted/DirectoryKeeper.h"
#include "io/hosted/Protocol.h"
#include "io/hosted/StoreTransports.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <endiveroad/HostedSettings.h>
#include <endiveroad/Metrics.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// Common part of the processes that run on a shared platform.
namespace endiveroad::io {

namespace asio = boost::asio;

enum class HostedRole { Entry, Agent, Coordinator };

/// What the command line says beside the platform's settings.
struct HostedOptions {
    /// Port on which this process serves its metrics; nothing for none.
    std::optional<uint16_t> metricsPort;
};

/// Connects to all coordinators, keeps the directory, serves metrics and handles signals. One I/O thread.
class HostedNode : public PeerHandler, protected DirectoryListener, private HttpHandler {
public:
    HostedNode(std::unique_ptr<Platform>, HostedRole, HostedOptions);
    ~HostedNode() override;

    /// Runs until SIGTERM and the end of what is then under way. Throws AddressInUseError.
    void run();

    asio::awaitable<std::string> onRequest(PeerConnectionPtr, PeerMessage) final;
    void onNotice(const PeerConnectionPtr&, const PeerMessage&) final;
    void onClosed(const PeerConnectionPtr&) final;

protected:
    /// Starts what the role does, before the first event is handled.
    virtual void start() = 0;

    /// Finishes what is under way after SIGTERM; the process ends with it.
    virtual asio::awaitable<void> drain() = 0;

    virtual void onDirectoryChanged(const Directory& before, const Directory& present) = 0;
    virtual asio::awaitable<std::string> onNodeRequest(PeerConnectionPtr, PeerMessage);
    virtual void onNodeNotice(const PeerConnectionPtr&, const PeerMessage&) { }
    virtual void onPeerUp(const PeerConnectionPtr&) { }
    virtual void onPeerDown(const std::string&) { }
    virtual std::vector<Gauge> gauges() const { return {}; }

    /// An open connection to a peer; null if there is none.
    PeerConnectionPtr peer(const std::string& name) const;
    bool isLeaving(const std::string& peer) const { return leaving_.contains(peer); }

    /// Names of connected peers of a role that do not leave.
    std::vector<std::string> peersOf(HostedRole) const;
    std::vector<PeerConnectionPtr> connectionsOf(HostedRole) const;

    /// Tells all peers that this process is about to end.
    void announceLeaving();

    std::shared_ptr<const Directory> directory() const { return keeper_->current(); }
    asio::io_context& context() { return context_; }
    HttpClient& http() { return http_; }
    const Platform& platform() const { return *platform_; }
    MetadataStore& store() { return *store_; }
    Instant lastStoreAnswerAt() const { return relayedStore_.lastAnswerAt(); }
    const HostedSettings& settings() const { return settings_; }
    const DirectoryKeeper& keeper() const { return *keeper_; }
    bool isDraining() const { return isDraining_; }
    Instant startedAt() const { return startedAt_; }

private:
    struct Peer {
        HostedRole role = HostedRole::Entry;
        std::vector<PeerConnectionPtr> connections;
    };

    void onDirectory(std::shared_ptr<const Directory> before, std::shared_ptr<const Directory> present) final;
    void publish(const std::string& update) final;
    asio::awaitable<void> onHttp(HttpExchange&) final;

    void connectToCoordinators();
    void sendHello(const PeerConnectionPtr&);
    void onHello(const PeerConnectionPtr&, const std::string& payload);
    void waitForSignal();
    asio::awaitable<void> followSettings();
    void reloadSettings();
    asio::awaitable<void> stopGracefully();
    std::vector<PeerConnectionPtr> relays() const;

    std::unique_ptr<Platform> platform_;
    HostedRole role_;
    HostedOptions options_;
    /// As the file said last; settings_ holds what of it is in force.
    HostedSettings readSettings_;
    HostedSettings settings_;
    asio::io_context context_;
    Instant startedAt_;
    int64_t incarnation_;
    asio::signal_set signals_;
    HttpClient http_;
    DirectStoreTransport directStore_;
    RelayedStoreTransport relayedStore_;
    std::unique_ptr<MetadataStore> store_;
    std::unique_ptr<DirectoryKeeper> keeper_;
    PeerAcceptor acceptor_;
    PeerMesh mesh_;
    /// By name.
    std::map<std::string, Peer> peers_;
    std::set<std::string> leaving_;
    std::unique_ptr<HttpServer> metricsServer_;
    bool isDraining_ = false;
};

} // namespace endiveroad::io
