#pragma once

#include "io/hosted/BatchOwner.h"
#include "io/hosted/HostedNode.h"
#include "io/hosted/ItemDispatcher.h"
#include "io/hosted/ItemScorer.h"
#include "io/hosted/ServiceCaller.h"

/// Owns batch jobs on a shared platform, and reads the directory for all processes. What has to last lies in the
/// platform's store; the coordinator itself may be lost at any time.
namespace endiveroad::io {

class HostedCoordinator : public HostedNode, private CoordinatorView, private AgentLinks {
public:
    static constexpr std::chrono::milliseconds leaseLifetime { 9000 };
    static constexpr Duration renewInterval = std::chrono::milliseconds(1500);

    /// Time without an answer of the store after which a coordinator that sees no other one starts no items: another
    /// one may have taken its jobs over, and may have ended them.
    static constexpr Duration solitudeLimit = std::chrono::milliseconds(3200);
    static constexpr Duration storeTimeout = std::chrono::milliseconds(1600);

    /// Time after the start in which other coordinators may still connect before their jobs are taken over.
    static constexpr Duration startGrace = std::chrono::milliseconds(1800);

    /// Time between the loss of a coordinator and the take-over of its jobs.
    static constexpr Duration lossGrace = std::chrono::milliseconds(300);

    /// Time between two looks for jobs without an owner while all is calm.
    static constexpr Duration calmScanInterval = std::chrono::seconds(10);

    /// Time after SIGTERM for others to take the jobs over.
    static constexpr Duration handoverTime = std::chrono::milliseconds(1500);

    HostedCoordinator(std::unique_ptr<Platform>, HostedOptions);

private:
    void start() override;
    asio::awaitable<void> drain() override;
    void onDirectoryChanged(const Directory& before, const Directory& present) override;
    asio::awaitable<std::string> onNodeRequest(PeerConnectionPtr, PeerMessage) override;
    void onNodeNotice(const PeerConnectionPtr&, const PeerMessage&) override;
    void onPeerUp(const PeerConnectionPtr&) override;
    void onPeerDown(const std::string&) override;
    std::vector<Gauge> gauges() const override;

    bool isAlive(const std::string& coordinator) const override;
    std::vector<std::string> alive() const override;
    void announceOwner(const OwnedJob&) override;
    PeerConnectionPtr agent(const std::string& name) const override;
    std::vector<PeerConnectionPtr> agents() const override { return connectionsOf(HostedRole::Agent); }
    bool mayAct() const override;

    bool isRetiring() const { return directory()->retiringVms.contains(settings().name); }
    asio::awaitable<void> keepRegistered();
    asio::awaitable<void> registerOnce();
    asio::awaitable<void> takeOver();
    asio::awaitable<void> reportRetirements();
    asio::awaitable<void> reportRetirement(std::string vm);

    ServiceCaller services_;
    BatchOwner owner_;
    ItemScorer scorer_;
    ItemDispatcher dispatcher_;
    int64_t lease_ = 0;
    /// Lease under which this process has written its registration; 0 if it has not.
    int64_t registeredLease_ = 0;
    Instant scanAt_;
    std::set<std::string> retirementsReported_;
};

} // namespace endiveroad::io
