#pragma once

#include "io/Node.h"
#include "io/agent/CallRunner.h"
#include "io/agent/Generator.h"

#include <endiveroad/Admission.h>
#include <endiveroad/SampleHold.h>
#include <endiveroad/VersionTracker.h>

/// The agent process: the authority for the one backend server beside it.
namespace endiveroad::io {

class AgentNode final : public Node {
public:
    static constexpr Duration reportInterval = std::chrono::milliseconds(100);
    static constexpr Duration probeInterval = std::chrono::milliseconds(250);
    static constexpr Duration probeTimeout = std::chrono::milliseconds(1000);
    /// An agent asks the key-value service only if no entry has been connected for this long.
    static constexpr Duration entryPatience = std::chrono::milliseconds(1500);

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
    asio::awaitable<std::string> generate(wire::GenerateRequest, Instant deadline);
    asio::awaitable<void> reportLoop();
    asio::awaitable<void> probeServer();
    void sendReports();
    void onServerState(bool isUp);
    uint64_t heldBytesLimit(const Settings&) const;

    std::string pool_;
    std::string region_;
    std::string failureDomain_;
    Address server_;
    Duration drainTimeout_ = CallPolicy().drainTimeout;
    Admission admission_ { 0, 0 };
    VersionTracker tracker_;
    SampleHold hold_ { RolloutPolicy().heldBytesPerAgent };
    std::unique_ptr<CallRunner> calls_;
    std::unique_ptr<EngineClient> engine_;
    std::unique_ptr<Generator> generator_;
    int64_t reportSequence_ = 0;
    mutable Instant lastPeerSeen_;
};

} // namespace endiveroad::io
