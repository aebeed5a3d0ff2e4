#pragma once

#include "io/CrashGuard.h"
#include "io/HttpClient.h"
#include "io/PeerAcceptor.h"
#include "io/PeerMesh.h"
#include "io/ProcessMetrics.h"
#include "io/SettingsKeeper.h"
#include "io/StoreClient.h"
#include "io/Survey.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <endiveroad/Settings.h>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// Base of the entry and agent processes: settings, connections to peers, status and graceful shutdown.
namespace endiveroad::io {

struct NodeOptions {
    std::string name;
    std::string role;
    std::optional<Address> store;
    std::vector<Address> peers;
    /// Address to listen on for peers, if it differs from the declared address to which they connect.
    std::optional<Address> peerListen;
    /// File with the shared keys; without it any peer is accepted.
    std::optional<std::string> keyFile;
};

class Node : public PeerHandler, private CrashListener {
public:
    explicit Node(NodeOptions);

    /// Runs until the process has been told to stop and has drained. Throws AddressInUseError, and FileUnreadableError
    /// or KeyFileInvalidError for the key file.
    void run();

    asio::awaitable<std::string> onRequest(PeerConnectionPtr, PeerMessage) final;
    void onNotice(const PeerConnectionPtr&, const PeerMessage&) final;
    void onClosed(const PeerConnectionPtr&) final;
    std::shared_ptr<const AccessKeys> accessKeys() const final { return keys_; }

protected:
    /// Called when new settings have come into force; before is null for the first ones.
    virtual void onSettings(std::shared_ptr<const Settings> before, std::shared_ptr<const Settings> inForce) = 0;

    /// Called with an instant of this process's clock at which the revision was already in force in at least one
    /// process.
    virtual void onInForceSince(int64_t, Instant) { }

    virtual asio::awaitable<std::string> onNodeRequest(PeerConnectionPtr, PeerMessage) = 0;
    virtual void onNodeNotice(const PeerConnectionPtr&, const PeerMessage&) { }
    virtual void onPeerHello(const PeerConnectionPtr&, const std::string& role) = 0;
    virtual void onPeerClosed(const PeerConnectionPtr&) { }

    /// Address to which peers connect, from the settings; nothing if the settings do not declare this process.
    virtual std::optional<Address> peerAddress(const Settings&) const = 0;

    /// Names and addresses of the peers to connect to, from the settings.
    virtual std::map<std::string, Address> peerTargets(const Settings&) const = 0;

    /// Whether this process should read settings from the key-value service itself.
    virtual bool wantsStore() const = 0;

    /// Stops taking new work and returns when none is left or the drain timeout has passed.
    virtual asio::awaitable<void> drain() = 0;

    /// Status of this process for operators: a JSON object with name, role, state and revision.
    virtual std::string statusJson() const = 0;

    /// Gauges of this kind of process, in addition to those that all processes have.
    virtual std::vector<Gauge> nodeGauges() const = 0;

    /// Metrics of this process in the Prometheus text format.
    std::string metricsText() const;

    /// Other processes to which a query of the given scope is sent.
    virtual std::vector<SurveyTarget> surveyTargets(SurveyScope) const = 0;

    /// The process to which this one forwards queries with a wider scope than Self; null if it queries the other
    /// processes itself.
    virtual PeerConnectionPtr surveyRelay() const { return nullptr; }

    asio::io_context& context() { return context_; }
    HttpClient& http() { return http_; }
    CrashGuard& crashGuard() { return crashGuard_; }
    PeerMesh& mesh() { return mesh_; }
    const std::set<PeerConnectionPtr>& acceptedPeers() const { return acceptor_.connections(); }
    std::shared_ptr<const Settings> settings() const { return settings_.current(); }
    const SettingsKeeper& keeper() const { return settings_; }
    const std::string& name() const { return options_.name; }
    int64_t incarnation() const { return incarnation_; }
    bool isDraining() const { return isDraining_; }

    /// Number of connected peers that have sent a Hello.
    size_t peerCount() const { return peers_.size(); }

    /// The backend server of this process answers for the first time, or again after it did not.
    void onServerStarted(const Address&);

    /// Starts to drain this process, which then ends. Further calls have no effect.
    void stop();

private:
    asio::awaitable<std::string> answerSurvey(PeerMessage);
    std::string answerForSelf(const SurveyQuery&) const;
    void loadKeys();
    /// Reads the key file again at an interval, so that changes take effect without a restart.
    asio::awaitable<void> watchKeyFile();
    void closeRevokedPeers();
    asio::awaitable<void> stopGracefully();
    void publishCrashes(const std::string& notice, const PeerConnection* origin) final;
    void sendHello(const PeerConnectionPtr&);
    void onHello(const PeerConnectionPtr&, const PeerMessage&);
    void sendToPeer(const std::string& peer, MessageType, const std::string& payload);
    void onPeerRole(const PeerConnectionPtr&, const std::string& role);
    void applySettings(std::shared_ptr<const Settings> before, std::shared_ptr<const Settings> inForce);

    NodeOptions options_;
    int64_t incarnation_;
    asio::io_context context_ { 1 };
    asio::signal_set signals_;
    HttpClient http_;
    /// The last known start of the backend server.
    std::shared_ptr<const Directory> servers_ = std::make_shared<Directory>();
    CrashGuard crashGuard_;
    std::unique_ptr<StoreClient> store_;
    SettingsKeeper settings_;
    PeerAcceptor acceptor_;
    PeerMesh mesh_;
    std::shared_ptr<const AccessKeys> keys_;
    /// The newest connection to each peer that has sent a Hello.
    std::map<std::string, PeerConnectionPtr> peers_;
    bool isDraining_ = false;
    std::exception_ptr failure_;
};

} // namespace endiveroad::io
