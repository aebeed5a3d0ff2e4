#pragma once

#include "io/hosted/HostedNode.h"

#include <endiveroad_types.h>
#include <string>
#include <unordered_map>

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

    /// Maximum number of cached owners; when it is reached, the next update clears the cache.
    static constexpr size_t maxOwners = 4096;

    explicit BatchGateway(CoordinatorConnections&);

    /// Sends the operation to the job's owner if that is known, else to a coordinator that looks the owner up or takes
    /// the job over. Retries until a coordinator answers, the deadline passes or the caller cancels. Operations are
    /// idempotent, so a retry is safe after an attempt whose outcome is unknown.
    asio::awaitable<BatchOutcome> perform(wire::BatchCall, Instant deadline, PeerCancellationPtr);

    /// True if a coordinator has announced that it owns the job.
    bool knowsJob(const std::string& job) const { return owners_.contains(job); }

    /// Caches the owner of a job that a coordinator has announced.
    void onOwner(const std::string& job, const std::string& owner);

private:
    std::string nextCoordinator(const wire::BatchCall&, const std::set<std::string>& tried) const;

    CoordinatorConnections& coordinators_;
    /// Last known owner by job.
    std::unordered_map<std::string, std::string> owners_;
};

} // namespace endiveroad::io
