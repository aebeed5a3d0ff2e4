#pragma once

#include "io/Node.h"
#include "io/agent/CallRunner.h"
#include "io/agent/RolloutWorker.h"

#include <endiveroad/Admission.h>

namespace endiveroad::io {

/// The agent process. It decides alone which requests run on its backend server, and reports the server's state to the
/// entries.
class AgentNode final : public Node {
public:
    /// How often the agent compares its state with its last report; it sends a report at once if they differ.
    static constexpr Duration reportCheckInterval = std::chrono::milliseconds(100);
    /// Age at which an unchanged report is sent again; a third of ReplicaTable::reportLifetime.
    static constexpr Duration maxReportAge = std::chrono::seconds(1);
    static constexpr Duration probeInterval = std::chrono::milliseconds(250);
    static constexpr Duration probeTimeout = std::chrono::milliseconds(1000);
    /// An agent reads the key-value service itself only if it has had no peer for this long.
    static constexpr Duration storeAccessDelay = std::chrono::milliseconds(1500);

    explicit AgentNode(NodeOptions);

protected:
    void onSettings(std::shared_ptr<const Settings> before, std::shared_ptr<const Settings> inForce) override;
    void onInForceSince(int64_t revision, Instant since) override;
    asio::awaitable<std::string> onNodeRequest(PeerConnectionPtr, PeerMessage) override;
    void onNodeNotice(const PeerConnectionPtr&, const PeerMessage&) override;
    void onPeerHello(const PeerConnectionPtr&, const std::string& role) override;
    std::optional<Address> peerAddress(const Settings&) const override;
    std::map<std::string, Address> peerTargets(const Settings&) const override;
    bool wantsStore() const override;
    asio::awaitable<void> drain() override;
    std::string statusJson() const override;
    std::vector<Gauge> nodeGauges() const override;
    std::vector<SurveyTarget> surveyTargets(SurveyScope) const override;
    PeerConnectionPtr surveyRelay() const override;

private:
    void start(const PoolDeclaration&, const ReplicaDeclaration&);
    /// Throws BadRequestError if the backend server is not a model engine.
    RolloutWorker& rolloutWorker();
    /// Weight version of the engine; unknownVersion if the backend server is not an engine.
    WeightVersion version() const;
    asio::awaitable<void> reportLoop();
    /// Queries the health of a backend server that is not an engine, forever.
    asio::awaitable<void> probeServer();
    /// Current state of the agent and its backend server, without a sequence number.
    wire::AgentReport report() const;
    void sendReports();

    /// True while a request runs or an answer is not yet sent.
    bool isBusy() const;
    void onServerState(bool isUp);
    /// Limit of the sample cache: that of the pool's job whose name sorts last, or the default without a job.
    uint64_t heldBytesLimit(const Settings&) const;

    std::string pool_;
    std::string region_;
    std::string failureDomain_;
    Address server_;
    Duration drainTimeout_ = CallPolicy().drainTimeout;
    Admission admission_ { 0, 0 };
    std::unique_ptr<CallRunner> calls_;
    /// Null unless the backend server is a model engine.
    std::unique_ptr<RolloutWorker> rolloutWorker_;
    int64_t reportSequence_ = 0;
    wire::AgentReport lastReport_;
    Instant reportDue_ = Instant::min();
    /// When the agent last had a peer.
    mutable Instant lastConnectedAt_;
    /// The agent sends no report until then. At a start the outcome table refuses keys created up to
    /// OutcomeTable::clockMargin ahead of the clock, because an earlier incarnation may have run them; all such keys
    /// are created before this instant.
    Instant reportsNotBefore_ = never;
};

} // namespace endiveroad::io
