#include "io/hosted/BatchGateway.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad/Rendezvous.h>

namespace endiveroad::io {

namespace {

constexpr int lowestErrorStatus = 400;
constexpr int statusUnavailable = 503;

bool isError(const wire::BatchAnswer& answer)
{
    return answer.status >= lowestErrorStatus;
}

} // namespace

void BatchGateway::Attempts::onFailure(const std::string& coordinator, const Error& error)
{
    effects.onFailure(error);
    if (!hasEffect())
        return;
    log(Event::CallAttemptFailed,
        { { "request", call.job }, { "server", coordinator }, { "sent", isRefusal(error.code()) ? "no" : "yes" },
            { "reason", error.what() } });
}

bool BatchGateway::Attempts::hasEffect() const
{
    const bool isCreation = call.operation == wire::BatchOperation::Submit && !call.route.empty();
    return isCreation || call.operation == wire::BatchOperation::Cancel;
}

bool BatchGateway::Attempts::isInDoubt(const wire::BatchAnswer& answer) const
{
    const bool isUnknown = codeFromText(answer.body) == ErrorCode::OutcomeUnknown;
    return hasEffect() && isError(answer) && (isUnknown || effects.mayHaveTakenEffect());
}

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
    if (!owner.empty() && !tried.contains(owner) && coordinators_.isConnected(owner))
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
    const bool isOwnerReachable = !attempts.tried.contains(answer.owner) && coordinators_.isConnected(answer.owner);
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

void BatchGateway::conclude(Attempts& attempts, const std::string& coordinator, wire::BatchAnswer answer)
{
    if (!attempts.isInDoubt(answer)) {
        attempts.answer = std::move(answer);
        return;
    }
    attempts.onFailure(coordinator, OutcomeUnknownError("the coordinator answered " + answer.body));
    // Time changes neither a malformed job nor the end of a job, which its owner writes in the background.
    const bool isSubmission = attempts.call.operation == wire::BatchOperation::Submit;
    const bool isPassing = answer.status == statusUnavailable || codeFromText(answer.body) == ErrorCode::OutcomeUnknown;
    attempts.isOver = !isSubmission || !isPassing;
}

void BatchGateway::settle(Attempts& attempts, const std::string& coordinator, wire::BatchAnswer answer)
{
    const bool isRedirect = !answer.owner.empty() && answer.owner != coordinator;
    // The record in the store names the coordinator that was not certain.
    const bool isFallbackConfirmed
        = isRedirect && attempts.fallback && attempts.fallback->isUnconfirmed && answer.owner == attempts.fallbackFrom;
    if (isFallbackConfirmed) {
        attempts.isOver = true;
        return;
    }
    if (isRedirect) {
        followRedirect(attempts, coordinator, answer);
        return;
    }
    const bool isWithoutStore = attempts.call.operation != wire::BatchOperation::Submit
        && answer.body == codeText(ErrorCode::StoreUnavailable) && isError(answer);
    if (!answer.isUnconfirmed && !isWithoutStore) {
        conclude(attempts, coordinator, std::move(answer));
        return;
    }
    const bool isBetter = !attempts.fallback || (answer.isUnconfirmed && !attempts.fallback->isUnconfirmed);
    if (isBetter) {
        attempts.fallback = std::move(answer);
        attempts.fallbackFrom = coordinator;
    }
}

asio::awaitable<void> BatchGateway::attempt(
    Attempts& attempts, std::string coordinator, Instant deadline, PeerCancellationPtr cancellation)
{
    attempts.tried.insert(coordinator);
    const Duration patience
        = attempts.fallback ? secondOpinionTimeout : attemptTimeout + std::chrono::milliseconds(attempts.call.waitMs);
    const Instant attemptDeadline = std::min(deadline, now() + patience);
    bool isRepeated = false;
    try {
        std::string payload = wire::encode(attempts.call);
        const std::string answered
            = co_await coordinators_.callCoordinator(coordinator, std::move(payload), attemptDeadline, cancellation);
        auto answer = wire::decode<wire::BatchAnswer>(answered);
        isRepeated = isRedirectRepeated(attempts, answer);
        settle(attempts, coordinator, std::move(answer));
    } catch (const Error& error) {
        attempts.onFailure(coordinator, error);
        attempts.call.unreachable.push_back(coordinator);
    }
    if (isRepeated && !attempts.answer && !attempts.isOver)
        co_await sleepFor(retryPause);
}

asio::awaitable<bool> BatchGateway::awaitCoordinators(Attempts& attempts, Instant deadline)
{
    if (attempts.fallback)
        co_return false;
    attempts.effects.onNothingTried("no coordinator is connected");
    attempts.tried.clear();
    const bool isHopeless = coordinators_.coordinators().empty() && coordinators_.areNoneRegistered();
    if (isHopeless || now() + retryPause >= deadline)
        co_return false;
    co_await sleepFor(retryPause);
    co_return true;
}

asio::awaitable<wire::BatchAnswer> BatchGateway::perform(
    wire::BatchCall& call, Instant deadline, PeerCancellationPtr cancellation, Authorisation authorisation)
{
    Attempts attempts;
    // Structs of the wire have no move operations; a copy would hold the body of a submission twice.
    swap(attempts.call, call);
    while (!attempts.answer && !attempts.isOver && now() < deadline && !(cancellation && cancellation->isCancelled())) {
        const std::optional<Error> refusal = authorisation ? authorisation() : std::nullopt;
        if (refusal && attempts.effects.mayHaveTakenEffect())
            break;
        if (refusal)
            throw Error(*refusal);
        const std::string name = nextCoordinator(attempts.call, attempts.tried);
        if (!name.empty() && coordinators_.isConnected(name)) {
            co_await attempt(attempts, name, deadline, cancellation);
            continue;
        }
        const bool mayGoOn = co_await awaitCoordinators(attempts, deadline);
        if (!mayGoOn)
            break;
    }
    if (!attempts.answer && attempts.fallback)
        conclude(attempts, attempts.fallbackFrom, std::move(*attempts.fallback));
    if (!attempts.answer)
        attempts.effects.fail<NotRunError>();
    co_return std::move(*attempts.answer);
}

} // namespace endiveroad::io
