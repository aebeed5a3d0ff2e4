#pragma once

#include "io/hosted/HostedNode.h"

#include <endiveroad_types.h>
#include <string>
#include <unordered_map>

/// Passes callers' operations on batch jobs to the coordinators that own the jobs.
namespace endiveroad::io {

/// How an entry reaches coordinators.
class CoordinatorDirectory {
public:
    virtual ~CoordinatorDirectory() = default;

    /// Names of coordinators that are connected and do not leave.
    virtual std::vector<std::string> coordinators() const = 0;
    virtual PeerConnectionPtr coordinator(const std::string& name) const = 0;
};

/// What became of an operation.
struct BatchOutcome {
    /// Nothing if no coordinator answered.
    std::optional<wire::BatchAnswer> answer;
    /// A coordinator may have carried it out without answering.
    bool isInDoubt = false;
    std::string reason;
};

class BatchGateway {
public:
    /// Time that one coordinator has for an operation, beside the wait that the operation asks for.
    static constexpr Duration attemptTimeout = std::chrono::milliseconds(1500);

    /// Pause before coordinators are asked again after all of them failed.
    static constexpr Duration retryPause = std::chrono::milliseconds(100);

    /// Owners that are remembered at most.
    static constexpr size_t maxOwners = 4096;

    explicit BatchGateway(CoordinatorDirectory&);

    /// Asks the owner, or whichever coordinator finds the owner or becomes it. Operations may be repeated: each has the
    /// same effect once or twice.
    asio::awaitable<BatchOutcome> perform(wire::BatchCall, Instant deadline, PeerCancellationPtr);

    /// A coordinator told that it owns a job.
    void onOwner(const std::string& job, const std::string& owner);

private:
    std::string nextCoordinator(const wire::BatchCall&, const std::set<std::string>& tried) const;

    CoordinatorDirectory& coordinators_;
    std::unordered_map<std::string, std::string> owners_;
};

} // namespace endiveroad::io
