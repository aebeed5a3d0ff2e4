#pragma once

#include "io/CrashGuard.h"
#include "io/PeerConnection.h"
#include "io/hosted/EngineController.h"
#include "io/hosted/Protocol.h"

#include <endiveroad/BatchJob.h>
#include <endiveroad/EventPace.h>
#include <endiveroad_types.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// Runs items of batch jobs on the agent's engine replica and reports their progress to the coordinators that own the
/// jobs.
namespace endiveroad::io {

class ItemRunner {
public:
    /// Interval between two progress notices of a run.
    static constexpr Duration progressInterval = std::chrono::milliseconds(100);

    /// A run that receives no bytes for this long has stalled and is cancelled; for later runs of an item that stalled
    /// see StallLimit.h. Bytes without an event count too, unlike for ItemDispatcher::silenceLimit.
    static constexpr Duration stallLimit = std::chrono::milliseconds(1300);

    /// Longest text of an item; a longer one could not be listed.
    static constexpr size_t maxTextBytes = 1U << 20;

    /// Time limit of a run.
    static constexpr Duration runLimit = std::chrono::seconds(60);

    /// Time for which an ended run is kept, so that a new owner of its job can still get its events.
    static constexpr Duration endedLifetime = std::chrono::seconds(8);

    /// Time for which the end of a job is remembered, so that a delayed order to start one of its items is refused.
    /// Also the time for which the owner of a job without runs is remembered.
    static constexpr Duration endedJobLifetime = std::chrono::seconds(60);

    ItemRunner(asio::io_context&, ServerClient&, RequestLimits&, EngineController&, CrashGuard&, Address replica,
        EngineController::OnChange);

    /// Sends progress notices and cancels stalled runs; never returns.
    asio::awaitable<void> report();

    /// Starts a run, or refuses with the reason. A run of the same item that is still active is cancelled.
    /// `server` is the one registered as ready; null if there is none. isIdentityRemoved: see ReplicaRequest.
    wire::ItemStartAnswer start(
        const PeerConnectionPtr& owner, const wire::ItemStart&, const ServerRecord* server, bool isIdentityRemoved);
    void cancel(const wire::ItemCancelNotice&);

    /// Makes the coordinator of the connection the job's owner, unless the notice is older than the known owner, and
    /// sends it all events of the job's runs.
    void setOwner(const PeerConnectionPtr& owner, const wire::JobOwnerNotice&);

    /// Cancels all runs. Their owners continue them on other replicas.
    void cancelAll();

    /// Number of active runs.
    int32_t running() const;

    /// EventPace::meanMs() of the replica.
    double eventMs() const;

private:
    struct Run;
    using RunPtr = std::shared_ptr<Run>;

    struct Owner {
        /// Revision of the owner record under which the coordinator acts.
        int64_t revision = 0;
        std::weak_ptr<PeerConnection> connection;
        /// Time at which the record is removed if the job has no run.
        Instant expiry = never;
    };

    /// The item's request without its body and its position in the text.
    ReplicaRequest callOf(const wire::ItemStart&, bool isIdentityRemoved) const;
    /// Why the item cannot be written as a request; nothing if it can. Coordinators of earlier versions order such
    /// items.
    std::optional<std::string> requestFault(const wire::ItemStart&, bool isIdentityRemoved) const;
    /// Reason for which the order is refused; empty to accept it.
    std::string refusalReason(const wire::ItemStart&, const ServerRecord*) const;
    asio::awaitable<void> execute(RunPtr);
    ServerAttempt attemptOf(const Run&) const;
    /// The run no longer counts among those that may end the replica.
    void endRisk(Run&);
    HttpRequest requestFor(const Run&) const;
    void processHead(Run&, const HttpResponse&);
    void processBody(Run&, std::string_view piece);
    void finishRun(Run&, RunState, int32_t status, const std::string& reason);
    /// Sends the owners what they do not have yet; with isAll also the state of runs that have no new events.
    void sendProgress(bool isAll);
    void removeExpired();
    /// An event has arrived.
    void measurePace(Run&);

    asio::io_context& context_;
    ServerClient& client_;
    RequestLimits& limits_;
    EngineController& engine_;
    CrashGuard& crashGuard_;
    Address replica_;
    EngineController::OnChange onChange_;
    Signal wake_;
    /// By item id.
    std::map<std::string, RunPtr> runs_;
    /// By job id.
    std::map<std::string, Owner> owners_;
    /// Time at which an ended job is forgotten, by job id.
    std::map<std::string, Instant> endedJobs_;
    EventPace pace_;
};

} // namespace endiveroad::io
