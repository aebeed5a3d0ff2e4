#include "io/hosted/ItemScorer.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"
#include "io/Tasks.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad/ScoringObjective.h>

namespace endiveroad::io {

ItemScorer::ItemScorer(
    asio::io_context& context, ServiceCaller& services, ServiceCaller::DirectorySource directory, OnFinished onFinished)
    : context_(context)
    , serviceCaller_(services)
    , directory_(std::move(directory))
    , onFinished_(std::move(onFinished))
{
}

void ItemScorer::score(const OwnedJobPtr& owned, size_t item)
{
    spawn(context_.get_executor(), [this, owned, item] { return run(owned, item); });
}

asio::awaitable<void> ItemScorer::run(OwnedJobPtr owned, size_t item)
{
    ItemAction action = ItemAction::Score;
    while (action == ItemAction::Score && !owned->isLost && !owned->job.isEnded()) {
        Instant retryAt = now();
        action = co_await callOnce(owned, item, retryAt);
        if (action == ItemAction::Score)
            co_await sleepFor(retryAt - now());
    }
    if (action == ItemAction::Finished)
        onFinished_(owned);
}

asio::awaitable<ItemAction> ItemScorer::callOnce(OwnedJobPtr owned, size_t item, Instant& retryAt)
{
    retryAt = now() + retryPause;
    const BatchItem& spec = owned->job.spec().items[item];
    const ScoringCall& scoring = *spec.scoring;
    const auto directory = directory_();
    const RouteDeclaration* matched
        = directory->routing ? directory->routing->match(scoring.host, scoring.path) : nullptr;
    if (!matched) {
        log(Event::ScoringDelayed, { { "item", spec.id }, { "reason", "no route for the scoring call" } });
        co_return owned->job.onScoringFailed(item, 0);
    }
    const RouteDeclaration route = *matched;
    ReplicaRequest request;
    request.method = "POST";
    request.target = scoring.path;
    request.body = scoring.body;
    request.id = scoring.id;
    request.host = scoring.host;
    const Instant startedAt = now();
    const Instant deadline = startedAt + route.timeout;
    const Instant objectiveAt
        = scoringObjective(startedAt, route.latencyObjective, deadline, owned->job.policy().dueAt);
    Authorisation always;
    const ServiceResult result = co_await serviceCaller_.call(
        route, std::move(request), deadline, nullptr, ContentKind::Owed, std::move(always), objectiveAt);
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now() - startedAt).count();
    if (result.response && result.response->isSuccess()) {
        processMetrics().record(Latency::Scoring, now() - startedAt, now());
        log(Event::ItemScored, { { "item", spec.id }, { "ms", std::to_string(elapsed) } });
        co_return owned->job.onScored(item, result.stamp);
    }
    const bool isUnsendable = result.refusal && result.refusal->code() == ErrorCode::RequestUnsendable;
    if (isUnsendable) {
        log(Event::ItemTerminated,
            { { "job", owned->id() }, { "item", spec.id }, { "reason", "its scoring call cannot be sent" } });
        co_return owned->job.terminate(item);
    }
    retryAt = now() + retryPause;
    const std::optional<Instant> notBefore = result.blockedUntil ? result.blockedUntil : result.retryAt;
    if (notBefore)
        retryAt = std::clamp(*notBefore, retryAt, now() + blockedRetryPause);
    log(Event::ScoringDelayed,
        { { "item", spec.id }, { "ms", std::to_string(elapsed) },
            { "serverErrors", std::to_string(result.serverErrors) }, { "reason", result.reason } });
    const ItemAction action = owned->job.onScoringFailed(item, result.serverErrors);
    if (action == ItemAction::Finished)
        log(Event::ItemTerminated,
            { { "job", owned->id() }, { "item", spec.id }, { "reason", "the scoring call always fails" } });
    co_return action;
}

} // namespace endiveroad::io
