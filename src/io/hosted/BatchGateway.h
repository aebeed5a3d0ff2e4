#pragma once

#include "io/hosted/Authorisation.h"
#include "io/hosted/HostedNode.h"

#include <endiveroad/AttemptEffects.h>
#include <endiveroad/JobOwners.h>
#include <endiveroad_types.h>
#include <optional>
#include <set>
#include <string>

/// Forwards callers' operations on batch jobs from an entry to the coordinators that own the jobs.
namespace endiveroad::io {

/// The entry's connections to coordinators.
class CoordinatorConnections {
public:
    virtual ~CoordinatorConnections() = default;

    /// Names of the coordinators that are connected and are not leaving.
    virtual std::vector<std::string> coordinators() const = 0;
    /// True also for a coordinator that is leaving: it may still own jobs.
    virtual bool isConnected(const std::string& coordinator) const = 0;
    /// True if no coordinator is registered in the store.
    virtual bool areNoneRegistered() const = 0;
    /// Sends an encoded BatchCall and returns the encoded BatchAnswer. Throws as PeerConnection::call() does, and
    /// PeerUnavailableError if the coordinator is not connected.
    virtual asio::awaitable<std::string> callCoordinator(
        std::string coordinator, std::string payload, Instant deadline, PeerCancellationPtr)
        = 0;
};

class BatchGateway {
public:
    /// Time for one coordinator to answer, in addition to the wait that the operation asks for.
    static constexpr Duration attemptTimeout = std::chrono::milliseconds(1500);

    /// Delay before the next round of attempts once every coordinator has failed.
    static constexpr Duration retryPause = std::chrono::milliseconds(100);

    /// Time for each of the others to answer once one coordinator has answered without certainty.
    static constexpr Duration secondOpinionTimeout = std::chrono::milliseconds(400);

    explicit BatchGateway(CoordinatorConnections&);

    /// Sends the operation to the job's owner if that is known, else to a coordinator that looks the owner up or takes
    /// the job over. Retries until a coordinator answers, the deadline passes, the caller cancels or no coordinator is
    /// connected or registered. Operations are idempotent, so a retry is safe after an attempt whose outcome is
    /// unknown; after one, an operation that changes something is retried until it succeeds, since the refusal of
    /// another attempt would not be true of the request. The answer of a coordinator that can't tell whether it still
    /// owns the job, or that does not reach the store, is returned only if no other one knows better.
    /// Throws OutcomeUnknownError if an attempt may have taken effect and none succeeded, NotRunError if no coordinator
    /// answered, and the error of the authorisation if that ends before an attempt and no earlier one may have taken
    /// effect. The operation is moved out of `call`.
    asio::awaitable<wire::BatchAnswer> perform(
        wire::BatchCall& call, Instant deadline, PeerCancellationPtr, Authorisation);

    /// True if a coordinator has announced that it owns the job.
    bool knowsJob(const std::string& job) const { return owners_.contains(job); }

    /// A coordinator has announced that it owns a job.
    void onOwner(const wire::JobOwnerNotice&);

private:
    /// An operation while it is tried at one coordinator after the other.
    struct Attempts {
        wire::BatchCall call;
        std::set<std::string> tried;
        AttemptEffects effects;
        /// The answer that settles the operation.
        std::optional<wire::BatchAnswer> answer;
        /// Answer that is returned if no other coordinator knows better, and the one who gave it.
        std::optional<wire::BatchAnswer> fallback;
        std::string fallbackFrom;
        /// No further attempt can settle the operation.
        bool isOver = false;

        void onFailure(const std::string& coordinator, const Error&);
        /// Whether the operation changes the job. A submission without a route only looks for the job.
        bool hasEffect() const;
        /// Whether the answer leaves open what became of the operation, alone or beside the earlier attempts.
        bool isInDoubt(const wire::BatchAnswer&) const;
    };

    std::string nextCoordinator(const wire::BatchCall&, const std::set<std::string>& tried) const;
    /// Waits for coordinators after all have been tried. Returns false if it is no use.
    asio::awaitable<bool> awaitCoordinators(Attempts&, Instant deadline);
    /// Sends the operation to a coordinator and handles its answer.
    asio::awaitable<void> attempt(Attempts&, std::string coordinator, Instant deadline, PeerCancellationPtr);
    /// Handles an answer, which may settle the operation.
    void settle(Attempts&, const std::string& coordinator, wire::BatchAnswer);
    /// Takes the answer as that of the operation, unless it leaves open what became of it.
    static void conclude(Attempts&, const std::string& coordinator, wire::BatchAnswer);
    void followRedirect(Attempts&, const std::string& coordinator, const wire::BatchAnswer&);
    /// True if the answer names an owner that this process could not reach, although the coordinator knew that.
    static bool isRedirectRepeated(const Attempts&, const wire::BatchAnswer&);

    CoordinatorConnections& coordinators_;
    JobOwners owners_;
};

} // namespace endiveroad::io
