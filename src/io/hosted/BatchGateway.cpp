#include "io/hosted/BatchGateway.h"

#include "io/Clock.h"
#include "io/Tasks.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad/Rendezvous.h>

namespace endiveroad::io {

BatchGateway::BatchGateway(CoordinatorConnections& coordinators)
    : coordinators_(coordinators)
{
}

void BatchGateway::onOwner(const std::string& job, const std::string& owner)
{
    if (owners_.size() >= maxOwners)
        owners_.clear();
    owners_[job] = owner;
}

/// The cached owner first, then by rendezvous hash of the route, so that all entries send the jobs of one route to the
/// same coordinator. Reads and cancellations state no route; they use the job id.
std::string BatchGateway::nextCoordinator(const wire::BatchCall& call, const std::set<std::string>& tried) const
{
    const auto owner = owners_.find(call.job);
    if (owner != owners_.end() && !tried.contains(owner->second) && coordinators_.coordinator(owner->second))
        return owner->second;
    const std::vector<std::string> names = coordinators_.coordinators();
    const std::string key = call.route.empty() ? call.job : call.route;
    for (const std::string& name : rendezvousOwners(key, names, names.size())) {
        if (!tried.contains(name))
            return name;
    }
    return {};
}

asio::awaitable<BatchOutcome> BatchGateway::perform(
    wire::BatchCall call, Instant deadline, PeerCancellationPtr cancellation)
{
    BatchOutcome outcome;
    std::set<std::string> tried;
    while (now() < deadline && !(cancellation && cancellation->isCancelled())) {
        const std::string name = nextCoordinator(call, tried);
        const PeerConnectionPtr connection = name.empty() ? nullptr : coordinators_.coordinator(name);
        if (!connection) {
            if (outcome.reason.empty())
                outcome.reason = "no coordinator is connected";
            tried.clear();
            if (now() + retryPause >= deadline)
                break;
            co_await sleepFor(retryPause);
            continue;
        }
        tried.insert(name);
        const Instant attemptDeadline
            = std::min(deadline, now() + attemptTimeout + std::chrono::milliseconds(call.waitMs));
        try {
            std::string payload = wire::encode(call);
            const std::string answered
                = co_await connection->call(MessageType::BatchCall, std::move(payload), attemptDeadline, cancellation);
            auto answer = wire::decode<wire::BatchAnswer>(answered);
            if (answer.owner.empty() || answer.owner == name) {
                outcome.answer = std::move(answer);
                co_return outcome;
            }
            onOwner(call.job, answer.owner);
            const bool isOwnerReachable = !tried.contains(answer.owner) && coordinators_.coordinator(answer.owner);
            if (!isOwnerReachable) {
                call.unreachable.push_back(answer.owner);
                owners_.erase(call.job);
                tried.erase(name);
            }
        } catch (const Error& error) {
            outcome.reason = error.what();
            outcome.mayHaveRun = outcome.mayHaveRun || error.code() == ErrorCode::OutcomeUnknown;
            call.unreachable.push_back(name);
        }
    }
    co_return outcome;
}

} // namespace endiveroad::io
