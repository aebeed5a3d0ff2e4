#pragma once

#include "io/hosted/BatchOwner.h"
#include "io/hosted/DutyHolder.h"
#include "io/hosted/HostedNode.h"
#include "io/hosted/ItemDispatcher.h"
#include "io/hosted/ItemScorer.h"
#include "io/hosted/RetirementReporter.h"
#include "io/hosted/ServiceCaller.h"
#include "io/hosted/StreamOriginKeeper.h"

/// The coordinator process on a shared platform: owns batch jobs, and reads the directory from the store for all
/// processes. All durable state is in the platform's store, so a coordinator may be lost at any time.
namespace endiveroad::io {

class HostedCoordinator : public HostedNode,
                          private CoordinatorView,
                          private AgentConnections,
                          private StreamOriginPeers,
                          private RetirementPeers,
                          private DutyPeers {
public:
    /// Lifetime of the lease that holds this coordinator's registration, and interval at which it is renewed.
    static constexpr std::chrono::milliseconds leaseLifetime { 9000 };
    static constexpr Duration renewInterval = std::chrono::milliseconds(1500);

    /// A coordinator that knows of others, is connected to none of them and has had no answer of the store for this
    /// long starts no items: another coordinator may have taken its jobs over and may have ended them.
    static constexpr Duration isolationLimit = std::chrono::milliseconds(3200);

    /// A coordinator that has heard this one so lately has not taken over its jobs since: it would first have to miss
    /// its heartbeats.
    static constexpr Duration hearingLifetime = PeerConnection::silenceLimit;

    /// Timeout of the coordinator's own calls to the store; JobStore has its own for calls on jobs.
    static constexpr Duration storeTimeout = std::chrono::milliseconds(1600);

    /// Time after the start of the process for other coordinators to connect before their jobs are taken over.
    static constexpr Duration startGrace = std::chrono::milliseconds(1800);

    /// Delay between the loss of a peer and the search for orphaned jobs, whose owner is not alive.
    static constexpr Duration scanDelayAfterLoss = std::chrono::milliseconds(300);

    /// Interval of the search for orphaned jobs while no peer is lost.
    static constexpr Duration scanInterval = std::chrono::seconds(10);

    /// Time after SIGTERM for other coordinators to take the jobs over.
    static constexpr Duration handoverTime = std::chrono::milliseconds(1500);

    HostedCoordinator(std::unique_ptr<Platform>, HostedOptions);

private:
    void start() override;
    asio::awaitable<void> drain() override;
    void onDirectoryChanged(const Directory& before, const Directory& current) override;
    asio::awaitable<std::string> onNodeRequest(PeerConnectionPtr, PeerMessage) override;
    void onNodeNotice(const PeerConnectionPtr&, const PeerMessage&) override;
    void onPeerUp(const PeerConnectionPtr&) override;
    void onPeerDown(const std::string&) override;
    std::vector<Gauge> gauges() const override;

    const std::string& ownName() const override { return settings().name; }
    std::vector<std::string> originKeepers() const override { return activePeers(HostedRole::Coordinator); }
    void sendOrigins(const std::string& coordinator, const std::string& notice) override;

    bool isAlive(const std::string& coordinator) const override;
    std::vector<std::string> aliveCoordinators() const override;
    bool isHeardByAll() const override;
    void announceOwner(const OwnedJob&) override;
    PeerConnectionPtr agent(const std::string& name) const override;
    std::vector<PeerConnectionPtr> agents() const override { return connectionsOf(HostedRole::Agent); }
    std::vector<PeerConnectionPtr> coordinators() const override { return connectionsOf(HostedRole::Coordinator); }
    bool mayStartItems() const override;

    /// True in the first coordinator by name of those that are alive.
    bool isFirst() const override;
    bool mayIssuePermits() const override { return !hasAnnouncedLeaving(); }
    bool hasAnnouncedLeaving() const override { return isDraining() || retirements_.isLeaving(); }

    std::vector<std::string> stayingCoordinators() const override { return activePeers(HostedRole::Coordinator); }
    asio::awaitable<wire::SuccessionAnswer> askSuccession(std::string coordinator, Instant deadline) override;
    wire::SuccessionAnswer ownSuccession() const override;
    bool isConnected(const std::string& vm) const override { return peer(vm) != nullptr; }
    bool actsForAll() const override { return isFirst(); }
    void onLeaving() override { announceLeaving(); }
    void onReturn() override;
    size_t openJobs() const override { return owner_.openJobs(); }

    bool isDutyCandidate() const override { return isFirst(); }
    bool mayHoldDuties() const override { return !hasAnnouncedLeaving(); }
    void announceHolder(const wire::DutyHolderNotice&) override;
    void sendUsage(const std::string& coordinator, const wire::UsageNotice&) override;
    void startDuties();

    /// True if this coordinator can do the work of all: it has the configuration, has read the stored jobs, reaches the
    /// store, entries and most engines, and goes nowhere.
    bool isServing() const;
    /// True if at least half as many agents as engines are connected.
    bool reachesEngines() const;

    /// Keeps this coordinator's registration in the store until the process drains.
    asio::awaitable<void> maintainRegistration();
    /// Renews the lease, and writes the registration if it is missing.
    asio::awaitable<void> registerOnce();
    /// Searches for jobs to take over or to remove until the process drains.
    asio::awaitable<void> runTakeOvers();

    ServiceCaller serviceCaller_;
    BatchOwner owner_;
    ItemScorer scorer_;
    ItemDispatcher dispatcher_;
    StreamOriginKeeper originKeeper_;
    /// 0 if there is none.
    int64_t lease_ = 0;
    /// Lease under which this process has written its registration; 0 if it has not.
    int64_t registeredLease_ = 0;
    /// Time of the next search for orphaned jobs.
    Instant nextScanAt_;
    /// The open jobs of an earlier process of this name have been taken over.
    bool hasRestoredJobs_ = false;
    RetirementReporter retirements_;
    /// Null if there are no duties towards the platform.
    std::unique_ptr<DutyTransport> dutyTransport_;
    std::unique_ptr<DutyHolder> dutyHolder_;
};

} // namespace endiveroad::io
