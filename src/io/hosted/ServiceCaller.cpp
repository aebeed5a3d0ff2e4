#include "io/hosted/ServiceCaller.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Signal.h"
#include "io/Tasks.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad/ScoringObjective.h>
#include <fmt/format.h>
#include <list>

namespace endiveroad::io {

namespace {

constexpr int statusServerError = 500;

/// A longer body is sent to one server at a time, since each attempt holds a copy of it.
constexpr size_t maxHedgedBytes = 1U << 20;

} // namespace

/// State of a call, shared by its concurrent attempts.
class ServiceCaller::CallState {
public:
    CallState(asio::io_context& context, RouteDeclaration declaration, ReplicaRequest call, Instant end)
        : route(std::move(declaration))
        , request(std::move(call))
        , content(ContentId::of(request.method, route.host, request.target, request.body))
        , deadline(end)
        , objectiveAt(now() + route.latencyObjective)
        , ticket(newTicket())
        , changed(context)
    {
    }

    void cancelAttempts()
    {
        for (HttpCancellation& cancellation : cancellations)
            cancellation.cancel();
    }

    ServerAttempt attemptAt(const ServerRecord& server, Instant sentAt) const
    {
        return { request.id, content, server.id, ServerStart::of(server), sentAt, kind };
    }

    /// The queue in which the call waits: that of its service, or of those that wait for the same software of it.
    std::string queue() const
    {
        if (software)
            return software->service + "\n" + software->version;
        return route.services.empty() ? std::string() : route.services.front().service;
    }

    std::optional<Error> refusal() const { return authorisation ? authorisation() : std::nullopt; }

    bool isQueued() const { return ticket.number != 0; }

    /// Place of a call that has not begun to wait.
    CallTicket newTicket() const { return { route.priority, deadline, 0, objectiveAt, request.organisation }; }

    /// Whether another server may be tried. Refused attempts do not count towards the limit, since the server ran
    /// nothing.
    bool hasAttemptsLeft() const { return !result.blockedUntil && possibleRuns < std::max(route.maxAttempts, 1); }

    RouteDeclaration route;
    ReplicaRequest request;
    ContentId content;
    ContentKind kind = ContentKind::Call;
    Authorisation authorisation;
    Instant deadline;
    /// When the caller wants the answer.
    Instant objectiveAt;
    /// Its number is 0 while the call does not wait.
    CallTicket ticket;
    Signal changed;
    std::list<HttpCancellation> cancellations;
    TriedServers tried;
    /// Only servers that run this software; nothing for any.
    std::optional<SoftwareVersion> software;
    RequestPath path = RequestPath::Call;
    /// Number of attempts without an outcome yet.
    int32_t activeAttempts = 0;
    /// Number of attempts that a server ran or may have run.
    int32_t possibleRuns = 0;
    bool isDone = false;
    /// Earliest time of the next attempt.
    Instant notBefore = Instant::min();
    ServiceResult result;
};

ServiceCaller::ServiceCaller(asio::io_context& context, ServerClient& client, RequestLimits& limits,
    CrashGuard& crashGuard, DirectorySource directory, uint64_t seed)
    : context_(context)
    , client_(client)
    , crashGuard_(crashGuard)
    , servers_(limits, std::move(directory), seed)
{
}

void ServiceCaller::onDirectory(const Directory& directory)
{
    servers_.onDirectory(directory);
}

void ServiceCaller::onAuthorisationsChanged()
{
    for (const auto& [ticket, state] : waiting_) {
        if (state->refusal())
            state->changed.notifyAll();
    }
}

ServerDemand ServiceCaller::demandOf(const CallState& state) const
{
    ServerDemand demand;
    demand.path = state.path;
    demand.software = state.software;
    demand.isHedge = state.activeAttempts > 0;
    demand.isYielding = shouldYield(now(), state.route.latencyObjective, state.objectiveAt);
    demand.waiting = std::max<size_t>(waitingCalls_.count(state.queue()), 1);
    const Instant lastDeadline = waitingCalls_.lastDeadline(state.queue()).value_or(state.deadline);
    demand.lastDeadline = std::max(state.deadline, lastDeadline);
    return demand;
}

void ServiceCaller::onUnreachable(const std::string& server)
{
    servers_.loads().onUnreachable(server, now());
}

void ServiceCaller::onPermit()
{
    for (const std::string& queue : waitingCalls_.services())
        wakeFirst(queue);
}

std::optional<ChosenServer> ServiceCaller::chooseNext(CallState& state)
{
    if (now() < state.notBefore || crashGuard_.isPending(state.content)
        || !waitingCalls_.isFirst(state.queue(), state.ticket, now()))
        return std::nullopt;
    std::set<std::string> excluded = crashGuard_.serversToAvoid(state.content);
    excluded.insert(state.tried.any.begin(), state.tried.any.end());
    excluded.insert(state.tried.misdirected.begin(), state.tried.misdirected.end());
    const std::set<std::string> onTrial = crashGuard_.serversOnTrial(state.content);
    std::set<std::string> excludedFirst = excluded;
    excludedFirst.insert(onTrial.begin(), onTrial.end());
    const ServerDemand demand = demandOf(state);
    std::optional<ChosenServer> server;
    if (const auto announced = crashGuard_.announcedServer(state.content))
        server = servers_.chooseOnly(state.route, demand, *announced);
    if (!server)
        server = servers_.choose(state.route, demand, excludedFirst);
    if (!server && excludedFirst != excluded)
        server = servers_.choose(state.route, demand, excluded);
    if (server && !crashGuard_.admit(state.content, server->server.id)) {
        state.result.blockedUntil = crashGuard_.blockedUntil(state.content);
        return std::nullopt;
    }
    return server;
}

bool ServiceCaller::hasReadyServer(const RouteDeclaration& route) const
{
    return !servers_.candidatesOf(route).empty();
}

bool ServiceCaller::hasReadyServer(
    const RouteDeclaration& route, const SoftwareVersion& software, const std::string& except) const
{
    const std::vector<ServerCandidate> candidates = servers_.candidatesOf(route, software);
    return std::any_of(candidates.begin(), candidates.end(),
        [&except](const ServerCandidate& candidate) { return candidate.id != except; });
}

asio::awaitable<void> ServiceCaller::awaitServer(CallStatePtr state)
{
    if (crashGuard_.isPending(state->content)) {
        // Others that wait for a server go first meanwhile.
        leaveQueue(state);
        co_await state->changed.wait(std::min(state->deadline, crashGuard_.nextCheckAt(state->content)));
        co_return;
    }
    const bool isPaused = now() < state->notBefore;
    if (isPaused) {
        co_await state->changed.wait(std::min(state->deadline, state->notBefore));
        co_return;
    }
    if (!hasUsableServer(*state)) {
        co_await state->changed.wait(std::min(state->deadline, now() + waitInterval));
        co_return;
    }
    if (state->tried.mayTryAgain)
        state->tried.any.clear();
    const bool isNewcomer = !state->isQueued();
    if (isNewcomer) {
        state->ticket = waitingCalls_.add(
            state->queue(), state->route.priority, state->deadline, state->objectiveAt, state->request.organisation);
        waiting_.emplace(state->ticket, state);
    }
    if (state->path == RequestPath::Call)
        retryBudgets_[state->queue()].onWaiting(now());
    turnAwayHopeless(*state, isNewcomer);
    if (state->isDone)
        co_return;
    // Each call that leaves the queue wakes the next one. The order changes as calls become late, so a call that is no
    // longer the first wakes the one that is.
    const bool isFirst = waitingCalls_.isFirst(state->queue(), state->ticket, now());
    if (!isFirst && !isNewcomer)
        wakeFirst(state->queue());
    co_await state->changed.wait(isFirst ? std::min(state->deadline, now() + waitInterval) : state->deadline);
}

void ServiceCaller::turnAwayHopeless(const CallState& waiting, bool isNewcomer)
{
    const std::string queue = waiting.queue();
    const ServiceRate rate = servers_.rateOf(waiting.route, waiting.software);
    waitingCalls_.setRate(queue, rate);
    const auto newcomer = isNewcomer ? std::optional(waiting.ticket) : std::nullopt;
    const WaitingOutlook outlook = waitingCalls_.outlook(queue, rate, now(), newcomer);
    for (const CallTicket& ticket : outlook.hopeless) {
        const auto found = waiting_.find(ticket);
        if (found == waiting_.end())
            continue;
        CallState& state = *found->second;
        state.result.reason = describeRejection(outlook, rate, now());
        state.result.retryAt = outlook.roomAt;
        state.isDone = true;
        state.changed.notifyAll();
    }
}

bool ServiceCaller::mayHedge(const CallState& state)
{
    return retryBudgets_[state.queue()].mayHedge(waitingCalls_.count(state.queue()), now());
}

void ServiceCaller::leaveQueue(const CallStatePtr& state)
{
    if (!state->isQueued())
        return;
    const std::string queue = state->queue();
    waitingCalls_.remove(queue, state->ticket);
    waiting_.erase(state->ticket);
    state->ticket = state->newTicket();
    wakeFirst(queue);
}

void ServiceCaller::wakeFirst(const std::string& queue)
{
    const auto first = waitingCalls_.first(queue, now());
    const auto found = first ? waiting_.find(*first) : waiting_.end();
    if (found != waiting_.end())
        found->second->changed.notifyAll();
}

asio::awaitable<ServiceResult> ServiceCaller::call(RouteDeclaration route, ReplicaRequest request, Instant deadline,
    PeerCancellationPtr cancellation, ContentKind kind, Authorisation authorisation, std::optional<Instant> objectiveAt)
{
    auto state = std::make_shared<CallState>(context_, std::move(route), std::move(request), deadline);
    state->kind = kind;
    state->authorisation = std::move(authorisation);
    state->objectiveAt = objectiveAt.value_or(state->objectiveAt);
    state->ticket = state->newTicket();
    if (cancellation)
        cancellation->onCancel([state] {
            state->result.isCancelled = true;
            state->isDone = true;
            state->changed.notifyAll();
        });
    const bool isHedged = state->route.kind == TrafficKind::Idempotent && state->request.body.size() <= maxHedgedBytes;
    Instant hedgeAt = now();
    while (!state->isDone && now() < deadline) {
        const bool isHedgeDue = isHedged && state->hasAttemptsLeft() && now() >= hedgeAt;
        const bool mayStart = state->activeAttempts == 0 || (isHedgeDue && mayHedge(*state));
        if (isHedgeDue && !mayStart)
            hedgeAt = now() + waitInterval;
        if (state->activeAttempts == 0)
            state->result.blockedUntil = crashGuard_.blockedUntil(state->content);
        // Without authorisation only attempts that have been sent are finished.
        state->result.refusal = state->refusal();
        if (state->result.refusal && state->activeAttempts == 0)
            break;
        std::optional<ChosenServer> server;
        if (mayStart && state->hasAttemptsLeft() && !state->result.refusal)
            server = chooseNext(*state);
        if (server) {
            waitingCalls_.onStart(state->queue(), state->ticket, now());
            leaveQueue(state);
            startAttempt(state, *server);
            hedgeAt = now() + state->route.latencyObjective / hedgeDivisor;
        } else if (state->activeAttempts == 0) {
            // Either the limit of attempts is reached, or no ready server has room.
            if (!state->hasAttemptsLeft())
                break;
            if (!hasUsableServer(*state) && !servers_.isServerExpected(state->route)) {
                if (!hasReadyServer(state->route))
                    state->result.reason = "no server of the route is ready";
                break;
            }
            co_await awaitServer(state);
            continue;
        }
        const bool canHedgeLater = isHedged && state->hasAttemptsLeft() && hedgeAt > now();
        co_await state->changed.wait(canHedgeLater ? std::min(deadline, hedgeAt) : deadline);
    }
    leaveQueue(state);
    state->isDone = true;
    state->result.content = state->content;
    state->result.mayHaveRun = state->result.mayHaveRun || state->possibleRuns > 0;
    state->cancelAttempts();
    if (cancellation)
        cancellation->onCancel(nullptr);
    co_return std::move(state->result);
}

asio::awaitable<std::optional<ChosenServer>> ServiceCaller::obtainServer(RouteDeclaration route, ReplicaRequest request,
    TriedServers tried, std::optional<SoftwareVersion> software, Instant deadline, PeerCancellationPtr cancellation,
    Authorisation authorisation)
{
    auto state = std::make_shared<CallState>(context_, std::move(route), std::move(request), deadline);
    state->path = RequestPath::Stream;
    state->tried = std::move(tried);
    state->software = std::move(software);
    state->authorisation = std::move(authorisation);
    cancellation->onCancel([state] {
        state->isDone = true;
        state->changed.notifyAll();
    });
    std::optional<ChosenServer> chosen;
    while (!state->isDone && now() < deadline) {
        state->result.refusal = state->refusal();
        if (state->result.refusal)
            break;
        chosen = chooseNext(*state);
        // Which software a server will run that has yet to register is not known.
        const bool isServerExpected = !state->software && servers_.isServerExpected(state->route);
        const bool mayWait = hasUsableServer(*state) || isServerExpected;
        if (chosen || state->result.blockedUntil || !mayWait)
            break;
        co_await awaitServer(state);
    }
    if (chosen)
        waitingCalls_.onStart(state->queue(), state->ticket, now());
    leaveQueue(state);
    cancellation->onCancel(nullptr);
    if (state->result.refusal)
        throw Error(*state->result.refusal);
    if (state->result.retryAt)
        throw ServersFullError(state->result.reason, *state->result.retryAt);
    co_return chosen;
}

bool ServiceCaller::hasUsableServer(const CallState& state) const
{
    const TriedServers& tried = state.tried;
    const std::vector<ServerCandidate> candidates = servers_.candidatesOf(state.route, state.software);
    return std::any_of(candidates.begin(), candidates.end(), [&tried](const ServerCandidate& candidate) {
        return !tried.misdirected.contains(candidate.id) && (tried.mayTryAgain || !tried.any.contains(candidate.id));
    });
}

void ServiceCaller::startAttempt(const std::shared_ptr<CallState>& state, const ChosenServer& chosen)
{
    const ServerRecord& server = chosen.server;
    RetryBudget& budget = retryBudgets_[state->queue()];
    if (state->possibleRuns > 0)
        budget.onRepeat();
    else if (state->result.attempts == 0)
        budget.onFirstAttempt();
    state->tried.any.insert(server.id);
    state->result.servers += (state->result.servers.empty() ? "" : " ") + server.id;
    crashGuard_.onStart(state->attemptAt(server, now()));
    state->cancellations.emplace_back();
    ++state->activeAttempts;
    ++state->possibleRuns;
    ++state->result.attempts;
    servers_.loads().onStart(server.id);
    HttpCancellation* cancellation = &state->cancellations.back();
    spawn(
        context_.get_executor(), [this, state, chosen, cancellation] { return attempt(state, chosen, cancellation); });
}

asio::awaitable<void> ServiceCaller::attempt(
    std::shared_ptr<CallState> state, ChosenServer chosen, HttpCancellation* cancellation)
{
    const Instant startedAt = now();
    const ServerRecord server = chosen.server;
    ReplicaRequest call = state->request;
    call.server = server.id;
    call.timeout = state->deadline - startedAt;
    HttpRequest request = client_.protocol().encode(std::move(call));
    request.isCloseDelimitedBodyAllowed = true;
    request.connectDeadline = startedAt + connectTimeout;
    std::string failure;
    bool isSent = true;
    bool isConnectionRefused = false;
    try {
        HttpResponse response = co_await client_.request(
            chosen.permit, server.address, std::move(request), state->deadline, cancellation);
        finishAttempt(*state, server, std::move(response), startedAt);
    } catch (const ConnectionRefusedError& error) {
        failure = error.what();
        isSent = false;
        isConnectionRefused = true;
    } catch (const ServerUnavailableError& error) {
        failure = error.what();
        isSent = false;
    } catch (const RequestUnsendableError& error) {
        failure = error.what();
        isSent = false;
        // No other server could be sent it either, and the server has no part in it.
        state->result.refusal = error;
        state->isDone = true;
    } catch (const std::exception& error) {
        failure = error.what();
    }
    if (isConnectionRefused)
        crashGuard_.onConnectionRefused(state->attemptAt(server, startedAt));
    if (!failure.empty())
        co_await processFailure(state, server, failure, isSent, startedAt);
    crashGuard_.onEnd(state->attemptAt(server, startedAt));
    wakeFirst(state->queue());
    --state->activeAttempts;
    state->changed.notifyAll();
}

asio::awaitable<void> ServiceCaller::processFailure(
    std::shared_ptr<CallState> state, ServerRecord server, std::string failure, bool wasSent, Instant startedAt)
{
    const bool wasAbandoned = state->isDone && now() < state->deadline;
    if (wasSent && !wasAbandoned)
        servers_.loads().onFailure(server.id, now());
    else
        servers_.loads().onAbandoned(server.id);
    if (!wasSent && !wasAbandoned)
        onUnreachable(server.id);
    if (wasSent && runListener_)
        runListener_->onBegun(state->request, startedAt);
    if (!wasSent) {
        --state->possibleRuns;
        crashGuard_.onNotSent(state->attemptAt(server, startedAt));
    }
    if (!state->isDone) {
        state->result.reason = failure;
        const bool mayRepeat = !wasSent || state->route.kind == TrafficKind::Idempotent;
        log(Event::CallAttemptFailed,
            { { "request", state->request.id }, { "server", server.id }, { "sent", wasSent ? "yes" : "no" },
                { "content", state->content.text() }, { "reason", failure } });
        if (!mayRepeat) {
            state->isDone = true;
            state->changed.notifyAll();
        }
    }
    if (!wasSent || wasAbandoned)
        co_return;
    ServerAttempt attempt = state->attemptAt(server, startedAt);
    co_await crashGuard_.inspect(std::move(attempt));
    state->notBefore = crashGuard_.nextAttemptAt(state->content);
}

void ServiceCaller::finishAttempt(
    CallState& state, const ServerRecord& server, HttpResponse response, Instant startedAt)
{
    const ReplicaAnswer answer = client_.protocol().decode(response);
    if (answer.load)
        servers_.loads().onLoadReport(server.id, answer.load->running, answer.load->waiting, now());
    if (answer.verdict != ReplicaVerdict::Ran) {
        --state.possibleRuns;
        if (answer.verdict == ReplicaVerdict::ServerMismatch) {
            crashGuard_.onMisdirected(state.attemptAt(server, startedAt));
            state.tried.misdirected.insert(server.id);
            servers_.loads().onAbandoned(server.id);
        } else {
            crashGuard_.onRefused(state.attemptAt(server, startedAt));
            servers_.loads().onRefused(server.id, now());
        }
        state.result.reason = fmt::format("{} refused with {}", server.id, response.status);
        return;
    }
    if (response.isSuccess() && answer.stamp.empty())
        throw AnswerBrokenError("the answer has a success status but lacks the server's stamp");
    if (runListener_)
        runListener_->onCallAnswered(state.route, state.request, startedAt);
    crashGuard_.onAnswered(state.attemptAt(server, startedAt));
    servers_.loads().onAnswer(server.id, now() - startedAt, now());
    if (state.isDone)
        return;
    if (response.status == statusServerError)
        ++state.result.serverErrors;
    state.result.stamp = answer.stamp;
    const bool isFailure = response.status >= statusServerError;
    state.result.response = std::move(response);
    const bool mayRepeat = state.route.kind == TrafficKind::Idempotent && state.hasAttemptsLeft();
    if (!isFailure || !mayRepeat)
        state.isDone = true;
}

} // namespace endiveroad::io
