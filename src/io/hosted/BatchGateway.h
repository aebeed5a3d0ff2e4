#pragma once

#include "io/hosted/Authorisation.h"
#include "io/hosted/HostedNode.h"

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
    /// Null if the coordinator is not connected. One that is leaving is returned: it may still own jobs.
    virtual PeerConnectionPtr coordinator(const std::string& name) const = 0;
    /// True if no coordinator is registered in the store.
    virtual bool areNoneRegistered() const = 0;
};

/// Result of an operation.
struct BatchOutcome {
    /// Nothing if no coordinator answered.
    std::optional<wire::BatchAnswer> answer;
    /// True if a coordinator that did not answer may have carried the operation out.
    bool mayHaveRun = false;
    /// Why the last attempt failed; empty if none did.
    std::string reason;
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
    /// unknown. The answer of a coordinator that can't tell whether it still owns the job, or that does not reach the
    /// store, is returned only if no other one knows better. Throws the error of the authorisation if that ends before
    /// an attempt and no earlier one may have taken effect. The operation is moved out of `call`.
    asio::awaitable<BatchOutcome> perform(wire::BatchCall& call, Instant deadline, PeerCancellationPtr, Authorisation);

    /// True if a coordinator has announced that it owns the job.
    bool knowsJob(const std::string& job) const { return owners_.contains(job); }

    /// A coordinator has announced that it owns a job.
    void onOwner(const wire::JobOwnerNotice&);

private:
    /// An operation while it is tried at one coordinator after the other.
    struct Attempts {
        wire::BatchCall call;
        std::set<std::string> tried;
        BatchOutcome outcome;
        /// Answer that is returned if no other coordinator knows better, and the one who gave it.
        std::optional<wire::BatchAnswer> fallback;
        std::string fallbackFrom;
    };

    std::string nextCoordinator(const wire::BatchCall&, const std::set<std::string>& tried) const;
    /// Handles an answer. Returns true if it settles the operation.
    bool settle(Attempts&, const std::string& coordinator, wire::BatchAnswer);
    void followRedirect(Attempts&, const std::string& coordinator, const wire::BatchAnswer&);
    /// True if the answer names an owner that this process could not reach, although the coordinator knew that.
    static bool isRedirectRepeated(const Attempts&, const wire::BatchAnswer&);

    CoordinatorConnections& coordinators_;
    JobOwners owners_;
};

} // namespace endiveroad::io
