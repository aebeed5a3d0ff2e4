#pragma once

#include "io/CrashGuard.h"
#include "io/HttpClient.h"
#include "io/HttpServer.h"
#include "io/PeerAcceptor.h"
#include "io/PeerConnection.h"
#include "io/PeerMesh.h"
#include "io/hosted/CrashStore.h"
#include "io/hosted/DirectorySync.h"
#include "io/hosted/LeavingNews.h"
#include "io/hosted/Protocol.h"
#include "io/hosted/RequestLimits.h"
#include "io/hosted/ServerClient.h"
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

/// Base class of the processes that run on a shared platform.
namespace endiveroad::io {

namespace asio = boost::asio;

enum class HostedRole { Entry, Agent, Coordinator };

/// Options of the command line, which are not part of the platform's settings.
struct HostedOptions {
    /// Port on which this process serves metrics; nothing to serve none.
    std::optional<uint16_t> metricsPort;
};

/// Connects to all coordinators, keeps the directory up to date, serves metrics and handles signals. All code runs on
/// one thread.
class HostedNode : public PeerHandler,
                   protected DirectoryListener,
                   protected CrashListener,
                   private HttpHandler,
                   private PermitPeers {
public:
    HostedNode(std::unique_ptr<Platform>, HostedRole, HostedOptions);
    ~HostedNode() override;

    /// Runs until SIGTERM or SIGINT, then drains and returns. Throws AddressInUseError.
    void run();

    asio::awaitable<std::string> onRequest(PeerConnectionPtr, PeerMessage) final;
    void onNotice(const PeerConnectionPtr&, const PeerMessage&) final;
    void onClosed(const PeerConnectionPtr&) final;

protected:
    /// Starts the tasks of the role. Called before the event loop runs.
    virtual void start() = 0;

    /// Finishes work in progress after SIGTERM. The process exits when it returns.
    virtual asio::awaitable<void> drain() = 0;

    virtual void onDirectoryChanged(const Directory& before, const Directory& current) = 0;
    virtual asio::awaitable<std::string> onNodeRequest(PeerConnectionPtr, PeerMessage);
    virtual void onNodeNotice(const PeerConnectionPtr&, const PeerMessage&) { }
    /// Called after each Hello of a peer.
    virtual void onPeerUp(const PeerConnectionPtr&) { }
    /// Called when a peer announces that it leaves, and when its last connection has closed.
    virtual void onPeerDown(const std::string&) { }
    virtual std::vector<Gauge> gauges() const { return {}; }
    /// True in the one coordinator that acts for all.
    virtual bool isFirst() const { return false; }

    /// True once the process has announced that it is leaving, unless it stays after all.
    virtual bool hasAnnouncedLeaving() const { return isDraining_; }

    /// True in a coordinator that issues permits for limited servers.
    virtual bool mayIssuePermits() const { return false; }

    /// Seed for random choices, another in each process and at each start.
    uint64_t randomSeed() const;

    /// An open connection to a peer; null if there is none.
    PeerConnectionPtr peer(const std::string& name) const;
    /// Time of the last heartbeat of this process that a peer is known to have received, after it had handled this
    /// process's Hello; Instant::min() if there is none.
    Instant heardByPeerAt(const std::string& name) const;
    bool isLeaving(const std::string& peer) const { return leavingPeers_.contains(peer); }

    /// Names of the connected peers of a role, without those that are leaving.
    std::vector<std::string> activePeers(HostedRole) const;

    /// A connection to each connected peer of a role, those that are leaving included.
    std::vector<PeerConnectionPtr> connectionsOf(HostedRole) const;

    /// Tells all peers that this process is leaving, or that it stays after all.
    void announceLeaving();
    void announceReturn();

    std::shared_ptr<const Directory> directory() const { return directorySync_->current(); }
    asio::io_context& context() { return context_; }
    HttpClient& http() { return http_; }
    /// Wall-clock time of the start of this process in ms.
    int64_t incarnation() const { return incarnation_; }
    CrashGuard& crashGuard() { return crashGuard_; }
    ServerClient& servers() { return servers_; }
    RequestLimits& requestLimits() { return requestLimits_; }
    const RequestLimits& requestLimits() const { return requestLimits_; }
    const Platform& platform() const { return *platform_; }
    MetadataStore& store() { return *store_; }
    Instant lastStoreAnswerAt() const { return relayedStore_.lastAnswerAt(); }
    const HostedSettings& settings() const { return settings_; }
    const DirectorySync& directorySync() const { return *directorySync_; }
    bool isDraining() const { return isDraining_; }
    Instant startedAt() const { return startedAt_; }

private:
    struct Peer {
        HostedRole role = HostedRole::Entry;
        std::vector<PeerConnectionPtr> connections;
    };

    void onDirectory(std::shared_ptr<const Directory> before, std::shared_ptr<const Directory> current) final;
    void publish(const std::string& update) final;
    void publishCrashes(const std::string& notice, const PeerConnection* origin) final;
    void onCrashRecord(const CrashRecord& record) final { crashStore_.onRecord(record.content); }
    /// Learns of leaving servers from a peer. The coordinator that acts for all sends what entries and agents report on
    /// to the others.
    void onLeavingNotice(const PeerConnectionPtr&, const std::string& payload);
    std::string permitIssuer(const std::string& server) const final;
    double issuerShare() const final;
    asio::awaitable<std::string> askIssuer(std::string issuer, std::string request, Instant deadline) final;
    void reportToIssuer(const std::string& issuer, const std::string& notice) final;
    const std::string& processName() const final { return settings_.name; }
    void publishLimits(const std::string& notice) final { notifyPeers(MessageType::LimitsInForce, notice); }
    CrashStore::Part crashStorePart() const;
    asio::awaitable<void> onHttp(HttpExchange&) final;

    /// Sends a notice to all connected peers but the one of the connection `origin`, which may be null.
    void notifyPeers(MessageType, const std::string& payload, const PeerConnection* origin = nullptr);

    /// Sends an empty notice on every connection, as one of several to the same peer may be dead.
    void notifyOnAllConnections(MessageType);

    void connectToCoordinators();
    void sendHello(const PeerConnectionPtr&);
    void onHello(const PeerConnectionPtr&, const std::string& payload);
    void waitForSignal();
    asio::awaitable<void> pollSettings();
    void reloadSettings();
    asio::awaitable<void> stopGracefully();
    /// Peers through which calls to the store may be relayed: the coordinators.
    std::vector<PeerConnectionPtr> relays() const;

    std::unique_ptr<Platform> platform_;
    HostedRole role_;
    HostedOptions options_;
    /// Settings as last read from the file; settings_ has those in force, since some take effect at the start only.
    HostedSettings lastReadSettings_;
    HostedSettings settings_;
    asio::io_context context_;
    Instant startedAt_;
    /// Wall-clock time of the start in ms. Logged, and sent in Hello, to tell restarts of a process apart.
    int64_t incarnation_;
    asio::signal_set signals_;
    HttpClient http_;
    DirectStoreTransport directStore_;
    RelayedStoreTransport relayedStore_;
    std::unique_ptr<MetadataStore> store_;
    std::unique_ptr<DirectorySync> directorySync_;
    LeavingNews leavingNews_;
    RequestLimits requestLimits_;
    ServerClient servers_;
    CrashGuard crashGuard_;
    CrashStore crashStore_;
    PeerAcceptor acceptor_;
    PeerMesh mesh_;
    /// By name.
    std::map<std::string, Peer> peers_;
    /// Names of the peers that announced that they leave.
    std::set<std::string> leavingPeers_;
    std::unique_ptr<HttpServer> metricsServer_;
    bool isDraining_ = false;
};

} // namespace endiveroad::io
