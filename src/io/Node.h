#pragma once

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

/// What entry and agent processes have in common: settings, peers, orderly end.
namespace endiveroad::io {

struct NodeOptions {
    std::string name;
    std::string role;
    std::optional<Address> store;
    std::vector<Address> peers;
    /// Address to bind for peers if they reach this process through another one; else the declared address.
    std::optional<Address> peerListen;
    /// File of the shared keys; without it everyone is accepted.
    std::optional<std::string> keyFile;
};

class Node : public PeerHandler {
public:
    explicit Node(NodeOptions);

    /// Runs until the process was told to stop and has finished its work. Throws AddressInUseError, and for the key
    /// file FileUnreadableError or KeyFileInvalidError.
    void run();

    asio::awaitable<std::string> onRequest(PeerConnectionPtr, PeerMessage) final;
    void onNotice(const PeerConnectionPtr&, const PeerMessage&) final;
    void onClosed(const PeerConnectionPtr&) final;
    std::shared_ptr<const AccessKeys> accessKeys() const final { return keys_; }

protected:
    /// New settings are in force; before is null for the first.
    virtual void onSettings(std::shared_ptr<const Settings> before, std::shared_ptr<const Settings> inForce) = 0;

    /// A peer has had the revision in force since the given instant of this process's clock.
    virtual void onInForceSince(int64_t, Instant) { }

    virtual asio::awaitable<std::string> onNodeRequest(PeerConnectionPtr, PeerMessage) = 0;
    virtual void onNodeNotice(const PeerConnectionPtr&, const PeerMessage&) { }
    virtual void onPeerHello(const PeerConnectionPtr&, const std::string& role) = 0;
    virtual void onPeerClosed(const PeerConnectionPtr&) { }

    /// Address for peers to connect to, from the settings; nothing if this process is not declared.
    virtual std::optional<Address> peerAddress(const Settings&) const = 0;

    /// Peers to connect to under the settings.
    virtual std::map<std::string, Address> peerTargets(const Settings&) const = 0;

    /// Whether this process should follow the key-value service itself.
    virtual bool wantsStore() const = 0;

    /// Takes no new work, then returns when none is left or the drain timeout has passed.
    virtual asio::awaitable<void> drain() = 0;

    /// State of this process for operators as JSON text, with name, role, state and revision.
    virtual std::string statusJson() const = 0;

    /// Values for the metrics beyond those that all processes have.
    virtual std::vector<Gauge> nodeGauges() const = 0;

    /// Metrics of this process in the Prometheus text format.
    std::string metricsText() const;

    /// Other processes to ask for a question of the given scope.
    virtual std::vector<SurveyTarget> surveyTargets(SurveyScope) const = 0;

    /// A process that knows better whom to ask, or null.
    virtual PeerConnectionPtr surveyRelay() const { return nullptr; }

    asio::io_context& context() { return context_; }
    HttpClient& http() { return http_; }
    PeerMesh& mesh() { return mesh_; }
    const std::set<PeerConnectionPtr>& acceptedPeers() const { return acceptor_.connections(); }
    std::shared_ptr<const Settings> settings() const { return settings_.current(); }
    const SettingsKeeper& keeper() const { return settings_; }
    const std::string& name() const { return options_.name; }
    int64_t incarnation() const { return incarnation_; }
    bool isDraining() const { return isDraining_; }

    /// Number of peers that said hello.
    size_t peerCount() const { return peers_.size(); }

    /// Starts drain and end of the process; further calls do nothing.
    void stop();

private:
    asio::awaitable<std::string> answerSurvey(PeerMessage);
    std::string answerForSelf(const SurveyQuestion&) const;
    void loadKeys();
    /// Reads the key file again whenever it changes.
    asio::awaitable<void> followKeys();
    void closeUnproven();
    asio::awaitable<void> stopGracefully();
    void sendHello(const PeerConnectionPtr&);
    void onHello(const PeerConnectionPtr&, const PeerMessage&);
    void sendToPeer(const std::string& peer, MessageType, const std::string& payload);
    void onPeerRole(const PeerConnectionPtr&, const std::string& role);
    void settingsChanged(std::shared_ptr<const Settings> before, std::shared_ptr<const Settings> inForce);

    NodeOptions options_;
    int64_t incarnation_;
    asio::io_context context_ { 1 };
    asio::signal_set signals_;
    HttpClient http_;
    std::unique_ptr<StoreClient> store_;
    SettingsKeeper settings_;
    PeerAcceptor acceptor_;
    PeerMesh mesh_;
    std::shared_ptr<const AccessKeys> keys_;
    /// The newest connection to each peer that said hello.
    std::map<std::string, PeerConnectionPtr> peers_;
    bool isDraining_ = false;
    std::exception_ptr failure_;
};

} // namespace endiveroad::io
