#pragma once

#include "io/Clock.h"
#include "io/CrashGuard.h"
#include "io/PeerConnection.h"
#include "io/hosted/ItemScorer.h"
#include "io/hosted/OwnedJob.h"
#include "io/hosted/WeightLoads.h"

#include <endiveroad/BatchPlacement.h>
#include <endiveroad/Directory.h>
#include <endiveroad/FailedRuns.h>
#include <endiveroad/GeneratedTextCache.h>
#include <endiveroad/ItemOrder.h>
#include <endiveroad/TextLengths.h>
#include <endiveroad_types.h>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

/// Starts items of owned jobs on agents, tracks their runs, moves runs to faster replicas, and requests weight
/// loads from agents.
namespace endiveroad::io {

/// The coordinator's connections to agents and to other coordinators.
class AgentConnections {
public:
    virtual ~AgentConnections() = default;

    /// Null if the agent is not connected or is leaving.
    virtual PeerConnectionPtr agent(const std::string& name) const = 0;
    /// All connected agents.
    virtual std::vector<PeerConnectionPtr> agents() const = 0;
    /// All other connected coordinators.
    virtual std::vector<PeerConnectionPtr> coordinators() const = 0;

    /// False while this coordinator may be isolated from the others: they may have taken its jobs over without its
    /// notice.
    virtual bool mayStartItems() const = 0;
};

class ItemDispatcher : public JobWorker {
public:
    /// Time for an agent to answer the request to start an item.
    static constexpr Duration startTimeout = std::chrono::milliseconds(800);

    /// A run that delivers no new event for this long is withdrawn, whatever state its agent is in; for later runs of
    /// an item that stalled see StallLimit.h. Unlike ItemRunner::stallLimit, it counts events that reach the
    /// coordinator, not bytes that reach the agent.
    static constexpr Duration silenceLimit = std::chrono::milliseconds(3000);

    /// Minimum age of a run that is moved to another replica.
    static constexpr Duration minRunBeforeMove = std::chrono::milliseconds(400);

    /// For this long before a job is due, its runs also move from replicas that are not slow if another one is faster
    /// (wouldSpeedUp()). As with all moves, only runs of jobs without waiting items move.
    static constexpr Duration finalMoveLeadTime = std::chrono::milliseconds(4700);

    /// An item that has been moved this often no longer moves just because its job is nearly due.
    static constexpr int32_t maxFinalMoves = 2;

    using DirectorySource = std::function<std::shared_ptr<const Directory>()>;

    /// Called when an agent's answer shows that a job may have another owner or may have ended.
    using OnOwnershipUncertain = std::function<void(const OwnedJobPtr&)>;

    ItemDispatcher(asio::io_context&, const JobTable&, AgentConnections&, ItemScorer&, CrashGuard&, DirectorySource,
        OnOwnershipUncertain);

    /// Decides on starts, moves and weight loads whenever something has changed and at regular intervals, forever.
    asio::awaitable<void> run();

    /// Requests a round of decisions, because something has changed that may let an item start.
    void wake() { wake_.notifyAll(); }

    /// An agent reported the state of its replica.
    void onReport(const std::string& agent, const wire::ReplicaReport&);
    /// An agent reported progress of runs. Reports on withdrawn runs are ignored; any other run that is not its item's
    /// current one, such as a run of an earlier owner, is adopted or cancelled.
    void onProgress(const PeerConnectionPtr& agent, const wire::ItemProgressNotice&);
    /// Tells an agent that has connected which open jobs this coordinator owns, and cancels its runs of ended ones.
    void onAgentUp(const PeerConnectionPtr&);
    /// Makes the items that ran on a lost agent wait again.
    void onAgentDown(const std::string& agent);
    /// A trainer announced a new weight version of the model.
    void onVersionAnnounced(const std::string& model);

    void onJob(const OwnedJobPtr&) override;
    void cancelRuns(const OwnedJob&) override;
    void cacheTexts(const OwnedJob& owned) override { textCache_.keep(owned.job, now()); }

    /// Carries out the action that an item's change requires.
    void performAction(const OwnedJobPtr&, size_t item, ItemAction);

    /// Tells a peer that this coordinator owns a job, and the token demand of the job's model.
    void sendOwnerNotice(const OwnedJob&, const PeerConnectionPtr&) const;

    /// Another coordinator reported failed runs.
    void onFailures(const wire::ItemFailureNotice&);

    /// All known failed runs for a coordinator that has connected; nothing if there are none.
    std::optional<std::string> encodeFailures() const;

    /// Another coordinator reported the token demand of a model.
    void onDemandReport(const std::string& model, double tokensPerSecond);

    /// Number of items of open jobs, by model and stage.
    std::map<std::string, std::map<ItemStage, size_t>> itemCounts() const;

    /// Number of services whose items were ordered as under overload in the last round.
    size_t overloadedServices() const { return overloaded_.size(); }

    /// Number of replicas whose agents have reported.
    size_t replicaCount() const { return reports_.size(); }

private:
    /// Latest report of an agent and number of its unanswered start requests.
    struct Report {
        wire::ReplicaReport last;
        /// Requests to start an item that the agent has not answered yet.
        int32_t starting = 0;
    };

    /// Remembers that a run of an item failed for good, and tells the other coordinators.
    void recordFailure(const FailedRun&);
    /// Applies what is known of the item's failed runs in this and other jobs.
    void applyFailures(const OwnedJobPtr&, size_t item);

    /// One round of decisions.
    void runRound();
    /// Terminates all items of a job if serviceOf() finds no service for it in the current configuration.
    void terminateUnroutable(OwnedJob&);
    /// Service with the greatest weight on the route that matches OwnedJob::routedPath(); empty if there is none. All
    /// items of the job run on its replicas.
    std::string serviceOf(const OwnedJob&) const;
    /// Software of the agent's replica, as it is registered.
    SoftwareVersion softwareOf(const std::string& agent) const;
    /// State of all replicas, by service.
    std::map<std::string, std::vector<ReplicaView>> replicaViews() const;
    /// The open jobs of a service as the order of items sees them, with lengths in events. Nothing while the lengths of
    /// a job's texts cannot be estimated.
    std::optional<std::vector<StepView>> stepViews(const std::string& service) const;
    /// Order in which the waiting items of a service are placed.
    std::vector<size_t> orderOf(
        const std::string& service, const std::vector<WaitingItem>&, const std::vector<ReplicaView>&);
    /// Starts waiting items on replicas with free slots.
    void startWaitingItems(const std::string& service, std::vector<ReplicaView>&);
    /// Withdraws runs from slow replicas, so that their items continue on faster ones. Only runs of jobs without
    /// waiting items move, since those items need the free slots.
    void moveRuns(const std::string& service, std::vector<ReplicaView>&);
    bool isMoveDue(const OwnedJob&, size_t item, const ReplicaView& from, const std::vector<ReplicaView>&) const;
    /// Withdraws runs that have exceeded silenceLimit.
    void withdrawSilentRuns(OwnedJob&);
    /// Agents that get the item only if no other can run it now: those of OwnedJob, or all but the one that a trial of
    /// the item is announced for.
    std::set<std::string> agentsToAvoid(const OwnedJob&, size_t item) const;
    /// Requests weight loads from agents.
    void requestWeightLoads(const std::map<std::string, std::vector<ReplicaView>>&);
    /// Adopts a run that an agent started for an earlier owner, if BatchJob::onAdopted() allows it, and cancels the run
    /// of this owner that it replaces.
    ItemAction adopt(OwnedJob&, size_t item, const std::string& agent, const RunProgress&);
    /// Cancels the item's run; the item can continue at once on another replica.
    void withdraw(OwnedJob&, size_t item, const std::string& reason);
    void startItem(const OwnedJobPtr&, size_t item, const ReplicaView&);
    /// A run that is sent to an agent's replica now.
    ServerAttempt attemptAt(const OwnedJob&, size_t item, const std::string& agent) const;
    /// Sends the request to start a run. If the agent refuses or does not answer, the item waits again.
    asio::awaitable<void> sendStart(OwnedJobPtr, size_t item, std::string agent, wire::ItemStart);
    /// An agent answered that the item cannot be written as a request, so no other agent could run it either.
    static void terminateUnsendable(OwnedJob&, size_t item, const std::string& reason);
    /// Message that cancels the runs of an item. With an empty item it says that the job has ended and cancels all of
    /// its runs.
    static std::string encodeCancel(const OwnedJob&, const std::string& item);

    asio::io_context& context_;
    const JobTable& jobs_;
    AgentConnections& connections_;
    ItemScorer& scorer_;
    CrashGuard& crashGuard_;
    DirectorySource directory_;
    OnOwnershipUncertain onOwnershipUncertain_;
    Signal wake_;
    /// When the trial of an item's content is due that this process has announced; `never` if it has announced none.
    Instant trialAt_ = never;
    /// By agent.
    std::map<std::string, Report> reports_;
    WeightLoads loads_;
    /// Texts of ended jobs' unlisted items.
    GeneratedTextCache textCache_;
    FailedRuns failedRuns_;
    TextLengths textLengths_;
    /// Services that are overloaded.
    std::set<std::string> overloaded_;
};

} // namespace endiveroad::io
