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

void BatchGateway::onOwner(const wire::JobOwnerNotice& notice)
{
    owners_.update(notice.job, notice.owner, notice.revision);
}

/// The cached owner first, then by rendezvous hash of the route, so that all entries send the jobs of one route to the
/// same coordinator. Reads and cancellations state no route; they use the job id.
std::string BatchGateway::nextCoordinator(const wire::BatchCall& call, const std::set<std::string>& tried) const
{
    const std::string& owner = owners_.owner(call.job);
    if (!owner.empty() && !tried.contains(owner) && coordinators_.coordinator(owner))
        return owner;
    const std::vector<std::string> names = coordinators_.coordinators();
    const std::string key = call.route.empty() ? call.job : call.route;
    for (const std::string& name : rendezvousOwners(key, names, names.size())) {
        if (!tried.contains(name))
            return name;
    }
    return {};
}

void BatchGateway::followRedirect(Attempts& attempts, const std::string& coordinator, const wire::BatchAnswer& answer)
{
    wire::BatchCall& call = attempts.call;
    owners_.update(call.job, answer.owner, answer.ownerRevision);
    const bool isOwnerReachable = !attempts.tried.contains(answer.owner) && coordinators_.coordinator(answer.owner);
    if (isOwnerReachable)
        return;
    call.unreachable.push_back(answer.owner);
    owners_.forgetOwner(call.job);
    attempts.tried.erase(coordinator);
}

bool BatchGateway::isRedirectRepeated(const Attempts& attempts, const wire::BatchAnswer& answer)
{
    const auto& unreachable = attempts.call.unreachable;
    return std::find(unreachable.begin(), unreachable.end(), answer.owner) != unreachable.end();
}

bool BatchGateway::settle(Attempts& attempts, const std::string& coordinator, wire::BatchAnswer answer)
{
    const bool isRedirect = !answer.owner.empty() && answer.owner != coordinator;
    // The record in the store names the coordinator that was not certain.
    const bool isFallbackConfirmed
        = isRedirect && attempts.fallback && attempts.fallback->isUnconfirmed && answer.owner == attempts.fallbackFrom;
    if (isFallbackConfirmed) {
        attempts.outcome.answer = std::move(attempts.fallback);
        return true;
    }
    if (isRedirect) {
        followRedirect(attempts, coordinator, answer);
        return false;
    }
    const bool isWithoutStore = attempts.call.operation != wire::BatchOperation::Submit
        && answer.body == codeText(ErrorCode::StoreUnavailable) && answer.status >= 400;
    if (!answer.isUnconfirmed && !isWithoutStore) {
        attempts.outcome.answer = std::move(answer);
        return true;
    }
    const bool isBetter = !attempts.fallback || (answer.isUnconfirmed && !attempts.fallback->isUnconfirmed);
    if (isBetter) {
        attempts.fallback = std::move(answer);
        attempts.fallbackFrom = coordinator;
    }
    return false;
}

asio::awaitable<BatchOutcome> BatchGateway::perform(
    wire::BatchCall& call, Instant deadline, PeerCancellationPtr cancellation, Authorisation authorisation)
{
    Attempts attempts;
    // Structs of the wire have no move operations; a copy would hold the body of a submission twice.
    swap(attempts.call, call);
    while (now() < deadline && !(cancellation && cancellation->isCancelled())) {
        const std::optional<Error> refusal = authorisation ? authorisation() : std::nullopt;
        if (refusal && attempts.outcome.mayHaveRun)
            break;
        if (refusal)
            throw Error(*refusal);
        const std::string name = nextCoordinator(attempts.call, attempts.tried);
        const PeerConnectionPtr connection = name.empty() ? nullptr : coordinators_.coordinator(name);
        if (!connection && attempts.fallback)
            break;
        if (!connection) {
            if (attempts.outcome.reason.empty())
                attempts.outcome.reason = "no coordinator is connected";
            attempts.tried.clear();
            const bool isHopeless = coordinators_.coordinators().empty() && coordinators_.areNoneRegistered();
            if (isHopeless || now() + retryPause >= deadline)
                break;
            co_await sleepFor(retryPause);
            continue;
        }
        attempts.tried.insert(name);
        const Duration patience = attempts.fallback ? secondOpinionTimeout
                                                    : attemptTimeout + std::chrono::milliseconds(attempts.call.waitMs);
        const Instant attemptDeadline = std::min(deadline, now() + patience);
        try {
            std::string payload = wire::encode(attempts.call);
            const std::string answered
                = co_await connection->call(MessageType::BatchCall, std::move(payload), attemptDeadline, cancellation);
            auto answer = wire::decode<wire::BatchAnswer>(answered);
            const bool isRepeated = isRedirectRepeated(attempts, answer);
            if (settle(attempts, name, std::move(answer)))
                break;
            if (isRepeated)
                co_await sleepFor(retryPause);
        } catch (const Error& error) {
            attempts.outcome.reason = error.what();
            attempts.outcome.mayHaveRun = attempts.outcome.mayHaveRun || error.code() == ErrorCode::OutcomeUnknown;
            attempts.call.unreachable.push_back(name);
        }
    }
    if (!attempts.outcome.answer && attempts.fallback)
        attempts.outcome.answer = std::move(attempts.fallback);
    co_return std::move(attempts.outcome);
}

} // namespace endiveroad::io
