#include "io/hosted/ServiceCaller.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Signal.h"
#include "io/Tasks.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <list>

namespace endiveroad::io {

namespace {

constexpr int statusServerError = 500;

} // namespace

/// State of a call, shared by its concurrent attempts.
class ServiceCaller::CallState {
public:
    CallState(asio::io_context& context, RouteDeclaration declaration, ReplicaRequest call, Instant end)
        : route(std::move(declaration))
        , request(std::move(call))
        , content(ContentId::of(request.method, route.host, request.target, request.body))
        , deadline(end)
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
        return { request.id, content, server.id, ServerStart::of(server), sentAt };
    }

    /// Whether another server may be tried. Refused attempts do not count towards the limit, since the server ran
    /// nothing.
    /// The service in whose queue the call waits.
    std::string service() const { return route.services.empty() ? std::string() : route.services.front().service; }

    bool isQueued() const { return ticket.number != 0; }

    /// Place of a call that has not begun to wait.
    CallTicket newTicket() const { return { route.priority, deadline, 0 }; }

    bool hasAttemptsLeft() const { return !result.blockedUntil && possibleRuns < std::max(route.maxAttempts, 1); }

    RouteDeclaration route;
    ReplicaRequest request;
    ContentId content;
    Instant deadline;
    /// Its number is 0 while the call does not wait.
    CallTicket ticket;
    Signal changed;
    std::list<HttpCancellation> cancellations;
    std::set<std::string> tried;
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
    , limits_(limits)
    , crashGuard_(crashGuard)
    , directory_(std::move(directory))
    , loads_(seed)
    , random_(static_cast<uint32_t>(seed) | 1U)
{
}

void ServiceCaller::onDirectory(const Directory& directory)
{
    std::set<std::string> ids;
    for (const auto& [id, server] : directory.servers)
        ids.insert(id);
    loads_.retain(ids);
}

const std::string& ServiceCaller::chooseService(const RouteDeclaration& route)
{
    int64_t total = 0;
    for (const WeightedService& weighted : route.services)
        total += std::max(weighted.weight, 0);
    if (total <= 0)
        return route.services.front().service;
    int64_t point = std::uniform_int_distribution<int64_t>(0, total - 1)(random_);
    for (const WeightedService& weighted : route.services) {
        point -= std::max(weighted.weight, 0);
        if (point < 0)
            return weighted.service;
    }
    return route.services.back().service;
}

std::optional<ChosenServer> ServiceCaller::chooseServer(
    const RouteDeclaration& route, const std::set<std::string>& excluded, RequestPath path)
{
    if (route.services.empty())
        return std::nullopt;
    const auto directory = directory_();
    std::vector<ServerCandidate> candidates;
    for (const ServerRecord* server : directory->readyServers(chooseService(route)))
        candidates.push_back({ server->id, server->slots });
    const auto chosen = loads_.choose(candidates, excluded, now());
    if (!chosen)
        return std::nullopt;
    const ServerRecord& server = directory->servers.at(*chosen);
    auto permit = limits_.tryTake(ServerIncarnation::of(server), path);
    if (!permit)
        return std::nullopt;
    return ChosenServer { server, *std::move(permit) };
}

std::optional<ChosenServer> ServiceCaller::chooseNext(CallState& state)
{
    if (now() < state.notBefore || !waitingCalls_.isFirst(state.service(), state.ticket))
        return std::nullopt;
    std::set<std::string> excluded = crashGuard_.serversToAvoid(state.content);
    excluded.insert(state.tried.begin(), state.tried.end());
    auto server = chooseServer(state.route, excluded, RequestPath::Call);
    if (server && !crashGuard_.admit(state.content)) {
        state.result.blockedUntil = crashGuard_.blockedUntil(state.content);
        return std::nullopt;
    }
    return server;
}

std::vector<ServerCandidate> ServiceCaller::candidatesOf(const RouteDeclaration& route) const
{
    const auto directory = directory_();
    std::vector<ServerCandidate> candidates;
    for (const WeightedService& weighted : route.services) {
        for (const ServerRecord* server : directory->readyServers(weighted.service))
            candidates.push_back({ server->id, server->slots });
    }
    return candidates;
}

bool ServiceCaller::hasReadyServer(const RouteDeclaration& route) const
{
    return !candidatesOf(route).empty();
}

asio::awaitable<void> ServiceCaller::awaitServer(CallStatePtr state)
{
    const bool isPaused = now() < state->notBefore;
    if (isPaused) {
        co_await state->changed.wait(std::min(state->deadline, state->notBefore));
        co_return;
    }
    state->tried.clear();
    if (!state->isQueued()) {
        state->ticket = waitingCalls_.add(state->service(), state->route.priority, state->deadline);
        waiting_.emplace(state->ticket, state);
    }
    turnAwayHopeless(*state);
    if (state->isDone)
        co_return;
    // Each call that leaves the queue wakes the next one.
    const bool isFirst = waitingCalls_.isFirst(state->service(), state->ticket);
    co_await state->changed.wait(isFirst ? std::min(state->deadline, now() + waitInterval) : state->deadline);
}

void ServiceCaller::turnAwayHopeless(const CallState& first)
{
    const std::string service = first.service();
    const ServiceRate rate = loads_.rateOf(candidatesOf(first.route));
    const Instant retryAt = now() + rate.interval * static_cast<Duration::rep>(waitingCalls_.count(service));
    for (const CallTicket& ticket : waitingCalls_.hopeless(service, rate, now())) {
        const auto found = waiting_.find(ticket);
        if (found == waiting_.end())
            continue;
        CallState& state = *found->second;
        state.result.reason = "the servers of the route are full";
        state.result.retryAt = retryAt;
        state.isDone = true;
        state.changed.notifyAll();
    }
}

void ServiceCaller::leaveQueue(const CallStatePtr& state)
{
    if (!state->isQueued())
        return;
    const std::string service = state->service();
    waitingCalls_.remove(service, state->ticket);
    waiting_.erase(state->ticket);
    state->ticket = state->newTicket();
    wakeFirst(service);
}

void ServiceCaller::wakeFirst(const std::string& service)
{
    const auto first = waitingCalls_.first(service);
    const auto found = first ? waiting_.find(*first) : waiting_.end();
    if (found != waiting_.end())
        found->second->changed.notifyAll();
}

asio::awaitable<ServiceResult> ServiceCaller::call(
    RouteDeclaration route, ReplicaRequest request, Instant deadline, PeerCancellationPtr cancellation)
{
    auto state = std::make_shared<CallState>(context_, std::move(route), std::move(request), deadline);
    if (cancellation)
        cancellation->onCancel([state] {
            state->result.isCancelled = true;
            state->isDone = true;
            state->changed.notifyAll();
        });
    const bool isIdempotent = state->route.kind == TrafficKind::Idempotent;
    Instant hedgeAt = now();
    while (!state->isDone && now() < deadline) {
        const bool mayHedge = state->activeAttempts == 0 || (isIdempotent && now() >= hedgeAt);
        if (state->activeAttempts == 0)
            state->result.blockedUntil = crashGuard_.blockedUntil(state->content);
        std::optional<ChosenServer> server;
        if (mayHedge && state->hasAttemptsLeft())
            server = chooseNext(*state);
        if (server) {
            leaveQueue(state);
            startAttempt(state, *server);
            hedgeAt = now() + state->route.latencyObjective / hedgeDivisor;
        } else if (state->activeAttempts == 0) {
            // Either the limit of attempts is reached, or no ready server has room.
            if (!state->hasAttemptsLeft())
                break;
            if (!hasReadyServer(state->route)) {
                state->result.reason = "no server of the route is ready";
                break;
            }
            co_await awaitServer(state);
            continue;
        }
        const bool canHedgeLater = isIdempotent && state->hasAttemptsLeft() && hedgeAt > now();
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

void ServiceCaller::startAttempt(const std::shared_ptr<CallState>& state, const ChosenServer& chosen)
{
    const ServerRecord& server = chosen.server;
    state->tried.insert(server.id);
    state->result.servers += (state->result.servers.empty() ? "" : " ") + server.id;
    crashGuard_.onStart(state->attemptAt(server, now()));
    state->cancellations.emplace_back();
    ++state->activeAttempts;
    ++state->possibleRuns;
    ++state->result.attempts;
    loads_.onStart(server.id);
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
    try {
        HttpResponse response = co_await client_.request(
            chosen.permit, server.address, std::move(request), state->deadline, cancellation);
        finishAttempt(*state, server, std::move(response), startedAt);
    } catch (const ServerUnavailableError& error) {
        failure = error.what();
        isSent = false;
    } catch (const std::exception& error) {
        failure = error.what();
    }
    if (!failure.empty())
        co_await processFailure(state, server, failure, isSent, startedAt);
    crashGuard_.onEnd(state->attemptAt(server, startedAt));
    wakeFirst(state->service());
    --state->activeAttempts;
    state->changed.notifyAll();
}

asio::awaitable<void> ServiceCaller::processFailure(
    std::shared_ptr<CallState> state, ServerRecord server, std::string failure, bool wasSent, Instant startedAt)
{
    const bool wasAbandoned = state->isDone && now() < state->deadline;
    if (wasAbandoned)
        loads_.onAbandoned(server.id);
    else
        loads_.onFailure(server.id, now());
    if (!wasSent)
        --state->possibleRuns;
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
        loads_.onLoadReport(server.id, answer.load->running, answer.load->waiting, now());
    if (answer.verdict != ReplicaVerdict::Ran) {
        --state.possibleRuns;
        if (answer.verdict == ReplicaVerdict::ServerMismatch) {
            loads_.onFailure(server.id, now());
        } else {
            crashGuard_.onRefused(state.attemptAt(server, startedAt));
            loads_.onRefused(server.id, now());
        }
        state.result.reason = fmt::format("{} refused with {}", server.id, response.status);
        return;
    }
    if (response.isSuccess() && answer.stamp.empty())
        throw AnswerBrokenError("the answer has a success status but lacks the server's stamp");
    crashGuard_.onAnswered(state.attemptAt(server, startedAt));
    loads_.onAnswer(server.id, now() - startedAt, now());
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
