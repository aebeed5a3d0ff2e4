#pragma once

#include "io/Node.h"
#include "io/agent/CallRunner.h"
#include "io/agent/RolloutWorker.h"

#include <endiveroad/Admission.h>

/// The agent process: the authority for the one backend server beside it.
namespace endiveroad::io {

class AgentNode final : public Node {
public:
    /// How often the agent looks whether its last report still holds; a changed one goes out at once.
    static constexpr Duration reportCheckInterval = std::chrono::milliseconds(100);
    /// Age at which an unchanged report is sent again; a third of its lifetime at the entries.
    static constexpr Duration maxReportAge = std::chrono::seconds(1);
    static constexpr Duration probeInterval = std::chrono::milliseconds(250);
    static constexpr Duration probeTimeout = std::chrono::milliseconds(1000);
    /// An agent asks the key-value service only if no entry has been connected for this long.
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
    WeightVersion version() const;
    asio::awaitable<void> reportLoop();
    asio::awaitable<void> probeServer();
    /// State of the backend server without a sequence number.
    wire::AgentReport report() const;
    void sendReports();

    /// True while work runs or an answer is not yet sent.
    bool isBusy() const;
    void onServerState(bool isUp);
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
    mutable Instant lastConnectedAt_;
    /// Keys made before this instant are unknown here, so the agent does not offer itself earlier.
    Instant reportsNotBefore_ = never;
};

} // namespace endiveroad::io
