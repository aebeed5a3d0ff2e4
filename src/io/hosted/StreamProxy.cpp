#include "io/hosted/StreamProxy.h"

#include "io/CallerBudget.h"
#include "io/Clock.h"
#include "io/Forwarding.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"
#include "io/Signal.h"
#include "io/Tasks.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

constexpr int statusOk = 200;

} // namespace

/// What one server wrote of an answer.
struct StreamProxy::StreamPiece {
    std::string server;
    SoftwareVersion software;
    size_t events = 0;

    std::string text() const { return fmt::format("{} ({}): {}", server, software.text(), events); }
};

struct StreamProxy::ServerStream {
    ServerStream(asio::io_context& context, ServerAttempt sent)
        : attempt(std::move(sent))
        , changed(context)
    {
    }

    ServerAttempt attempt;
    /// Account of the caller, for the bytes that have not been forwarded; null if there is no budget.
    CallerAccountPtr account;
    ServerRecord server;
    StartCheck startCheck = StartCheck::None;
    /// Of the server; unknown until the head has arrived.
    SoftwareVersion software;
    Signal changed;
    HttpCancellation cancellation;
    std::optional<HttpResponse> head;
    /// Bytes of an event stream that have not been forwarded.
    EventStreamBuffer events;
    /// Bytes of an answer that is no event stream.
    std::string body;
    /// When the head or the last complete event came.
    Instant lastEventAt = now();
    bool hasEnded = false;
    /// The response was received to its end.
    bool isComplete = false;
    bool hasBody = false;
    /// It was broken off because of maxPendingBytes.
    bool isTooLong = false;

    bool isEventStream() const { return head && head->status == statusOk; }

    /// Bytes that are held.
    size_t heldBytes() const { return events.size() + body.size(); }

    /// Throws AnswerBrokenError if an event is too long.
    void append(std::string_view piece)
    {
        if (isEventStream())
            events.append(piece);
        else
            body.append(piece);
    }

    /// The server closed the connection before the first byte of the body.
    bool hasBrokenOff() const { return hasEnded && !isComplete && wasSent && !hasBody; }

    /// False if the request has certainly not reached the server.
    bool wasSent = true;
    /// The server has started again since its registration.
    bool isOtherStart = false;
    /// The request cannot be written, for this server or any other.
    bool isUnsendable = false;
    std::string failure;
};

struct StreamProxy::Progress {
    CallerRequest caller;
    StreamAuthorisation authorisation;
    ReplicaRequest request;
    CallerAccountPtr account;
    ContentId content;
    /// The software that began the stream, which alone may go on with it; nothing before the first event.
    std::optional<SoftwareVersion> origin;
    /// Latest start of a further attempt once the stream has broken off.
    Instant resumeBy = never;
    TriedServers tried;
    /// Number of servers that ran or may have run the request.
    int32_t runs = 0;
    /// The head of the answer has been sent to the caller.
    bool hasStarted = false;
    /// At least one event has been sent as well.
    bool hasEvents = false;
    /// Earliest time of the next attempt.
    Instant notBefore = Instant::min();
    bool isDone = false;
    std::optional<int64_t> lastEventId;
    /// The servers that wrote the answer so far, in order, with their software and number of events.
    std::vector<StreamPiece> pieces;
    std::string failure;
};

StreamProxy::StreamProxy(asio::io_context& context, ServerClient& client, ServiceCaller& services,
    StreamResumptions& resumptions, CrashGuard& crashGuard)
    : context_(context)
    , client_(client)
    , serviceCaller_(services)
    , resumptions_(resumptions)
    , crashGuard_(crashGuard)
{
}

asio::awaitable<StreamProxy::ServerStreamPtr> StreamProxy::openStream(const RouteDeclaration& route,
    const ReplicaRequest& request, const Progress& progress, Instant deadline, PeerCancellationPtr cancellation)
{
    const bool hasRun = progress.runs > 0 || progress.hasStarted;
    const Instant latestStart
        = hasRun ? std::min(deadline, progress.resumeBy) : now() + (deadline - now()) / waitDivisor;
    TriedServers tried = progress.tried;
    // Few servers may run the software that began the stream.
    tried.mayTryAgain = !hasRun || progress.origin;
    const Authorisation authorisation = hasRun ? progress.authorisation.goOn : progress.authorisation.begin;
    std::optional<ChosenServer> chosen;
    try {
        chosen = co_await serviceCaller_.obtainServer(
            route, request, std::move(tried), progress.origin, latestStart, cancellation, authorisation);
    } catch (const Error&) {
        // A request that may have run is not reported as refused.
        if (!hasRun)
            throw;
    }
    if (!chosen)
        co_return nullptr;
    const ServerRecord& server = chosen->server;
    ServerAttempt attempt { request.id, progress.content, server.id, ServerStart::of(server), now() };
    auto serverStream = std::make_shared<ServerStream>(context_, std::move(attempt));
    serverStream->server = server;
    serverStream->account = progress.account;
    if (chosen->isEngine)
        serverStream->startCheck = progress.origin ? StartCheck::Require : StartCheck::Learn;
    ReplicaRequest call = request;
    call.server = server.id;
    call.timeout = deadline - now();
    if (progress.lastEventId)
        call.lastEventId = progress.lastEventId;
    HttpRequest encoded = client_.protocol().encode(std::move(call));
    encoded.connectDeadline = now() + ServiceCaller::connectTimeout;
    spawn(context_.get_executor(),
        [this, serverStream, permit = chosen->permit, encoded = std::move(encoded), deadline]() mutable {
            return readStream(serverStream, permit, std::move(encoded), deadline);
        });
    co_return serverStream;
}

asio::awaitable<void> StreamProxy::readStream(
    ServerStreamPtr serverStream, ServerPermit permit, HttpRequest request, Instant deadline)
{
    auto onHead = [serverStream](const HttpResponse& head) {
        serverStream->software = ServerClient::softwareOf(serverStream->server, head, serverStream->startCheck);
        serverStream->head = head;
        serverStream->lastEventAt = now();
        serverStream->changed.notifyAll();
    };
    auto onBody = [serverStream](std::string_view piece) {
        serverStream->hasBody = true;
        const size_t pending = serverStream->heldBytes() + piece.size();
        const size_t held = pending > CallerMemory::smallBytes ? pending : 0;
        const bool isOverBudget = serverStream->account && !serverStream->account->holdAnswer(held);
        serverStream->isTooLong = pending > maxPendingBytes || isOverBudget;
        if (!serverStream->isTooLong)
            serverStream->append(piece);
        serverStream->changed.notifyAll();
        return !serverStream->isTooLong;
    };
    try {
        co_await client_.stream(permit, serverStream->attempt.start.address, std::move(request), deadline, onBody,
            &serverStream->cancellation, onHead, serverStream->startCheck);
        serverStream->isComplete = !serverStream->isTooLong;
        if (serverStream->isTooLong)
            serverStream->failure = "the answer is too long, or the caller reads it too slowly";
    } catch (const ConnectionRefusedError& error) {
        serverStream->wasSent = false;
        serverStream->failure = error.what();
        crashGuard_.onConnectionRefused(serverStream->attempt);
        serviceCaller_.onUnreachable(serverStream->attempt.server);
    } catch (const ServerStartError& error) {
        serverStream->wasSent = false;
        serverStream->isOtherStart = true;
        serverStream->failure = error.what();
    } catch (const ServerUnavailableError& error) {
        serverStream->wasSent = false;
        serverStream->failure = error.what();
        if (!serverStream->cancellation.isCancelled())
            serviceCaller_.onUnreachable(serverStream->attempt.server);
    } catch (const RequestUnsendableError& error) {
        serverStream->wasSent = false;
        serverStream->isUnsendable = true;
        serverStream->failure = error.what();
    } catch (const std::exception& error) {
        serverStream->failure = error.what();
    }
    serverStream->hasEnded = true;
    serverStream->changed.notifyAll();
}

asio::awaitable<bool> StreamProxy::awaitHead(
    ServerStreamPtr serverStream, Instant deadline, PeerCancellationPtr cancellation)
{
    while (!serverStream->head && !serverStream->hasEnded && now() < deadline && !cancellation->isCancelled())
        co_await serverStream->changed.wait(deadline);
    co_return serverStream->head.has_value();
}

asio::awaitable<void> StreamProxy::answerUnstreamed(
    HttpExchange& exchange, ServerStreamPtr serverStream, Instant deadline, PeerCancellationPtr cancellation)
{
    while (!serverStream->hasEnded && now() < deadline && !cancellation->isCancelled())
        co_await serverStream->changed.wait(deadline);
    if (!serverStream->isComplete)
        throw OutcomeUnknownError(
            serverStream->failure.empty() ? "the answer did not end in time" : serverStream->failure);
    crashGuard_.onAnswered(serverStream->attempt);
    HttpResponse response;
    response.status = serverStream->head->status;
    response.headers = forwardedHeaders(serverStream->head->headers);
    response.body = std::move(serverStream->body);
    co_await exchange.answer(std::move(response));
}

bool StreamProxy::mayRunAgain(const RouteDeclaration& route, const Progress& progress)
{
    const bool mayGoOn = !progress.origin || progress.origin->isKnown();
    return progress.runs < std::max(route.maxAttempts, 1) && mayGoOn;
}

bool StreamProxy::mayLeave(
    const RouteDeclaration& route, const ServerStream& serverStream, const Progress& progress) const
{
    if (!route.isResumable || !mayRunAgain(route, progress))
        return false;
    return !progress.origin || serviceCaller_.hasReadyServer(route, *progress.origin, serverStream.attempt.server);
}

asio::awaitable<void> StreamProxy::forwardEvents(
    HttpExchange& exchange, ServerStreamPtr serverStream, Progress& progress, WholeEvents events, Instant deadline)
{
    if (progress.pieces.empty() || progress.pieces.back().server != serverStream->attempt.server)
        progress.pieces.push_back({ serverStream->attempt.server, serverStream->software });
    if (!progress.lastEventId)
        crashGuard_.onAnswered(serverStream->attempt);
    progress.lastEventId = events.lastId ? events.lastId : progress.lastEventId;
    progress.pieces.back().events += events.count;
    // A comment alone binds the stream to no software.
    const bool isFirst = !progress.hasEvents && events.count > 0;
    progress.hasEvents = progress.hasEvents || isFirst;
    if (isFirst) {
        if (!progress.origin)
            progress.origin = serverStream->software;
        recordRun(progress, serverStream->lastEventAt);
        // Told before the caller has the event, so that other entries know the stream if this process ends.
        resumptions_.onFirstEvent(progress.caller, *progress.origin, deadline);
    }
    co_await exchange.sendPiece(events.bytes);
}

asio::awaitable<void> StreamProxy::forward(HttpExchange& exchange, const RouteDeclaration& route,
    ServerStreamPtr serverStream, Progress& progress, Instant deadline, PeerCancellationPtr cancellation)
{
    if (!progress.hasStarted) {
        HeaderList headers = forwardedHeaders(serverStream->head->headers);
        co_await exchange.beginStream(statusOk, std::move(headers));
        progress.hasStarted = true;
    }
    while (!cancellation->isCancelled() && now() < deadline) {
        WholeEvents events = serverStream->events.takeWhole();
        if (!events.bytes.empty()) {
            serverStream->lastEventAt = now();
            co_await forwardEvents(exchange, serverStream, progress, std::move(events), deadline);
            continue;
        }
        // A stalled stream is abandoned only if another server may go on with it.
        const bool isAbandoned = mayLeave(route, *serverStream, progress);
        const Instant stalledAt = isAbandoned ? serverStream->lastEventAt + stallLimit : never;
        if (serverStream->hasEnded || now() > stalledAt)
            break;
        // Servers that may go on come and leave meanwhile.
        const Instant wakeAt = isAbandoned ? stalledAt + Duration(1) : now() + stallLimit;
        co_await serverStream->changed.wait(std::min(deadline, wakeAt));
    }
    progress.isDone = serverStream->isComplete && serverStream->events.isEmpty();
    progress.failure = serverStream->failure;
    progress.resumeBy = now() + resumeTimeout;
}

asio::awaitable<void> StreamProxy::inspectBroken(ServerStreamPtr serverStream, Progress& progress)
{
    if (!serverStream->hasBrokenOff())
        co_return;
    co_await crashGuard_.inspect(serverStream->attempt);
    progress.notBefore = crashGuard_.nextAttemptAt(progress.content);
}

asio::awaitable<StreamProxy::AttemptEnd> StreamProxy::attempt(HttpExchange& exchange, const RouteDeclaration& route,
    ServerStreamPtr serverStream, Progress& progress, Instant deadline, PeerCancellationPtr cancellation)
{
    cancellation->onCancel([serverStream] { serverStream->changed.notifyAll(); });
    AttemptEnd end = AttemptEnd::Final;
    std::optional<Error> failure;
    try {
        end = co_await passOn(exchange, route, serverStream, progress, deadline, cancellation);
    } catch (const Error& error) {
        failure = error;
    }
    cancellation->onCancel(nullptr);
    serverStream->cancellation.cancel();
    if (failure && exchange.answerState() == AnswerState::Nothing)
        throw Error(*failure);
    // Once a part of the answer has been sent, its missing end is what tells the caller of a failure.
    if (failure)
        progress.failure = failure->what();
    co_return end;
}

asio::awaitable<StreamProxy::AttemptEnd> StreamProxy::passOn(HttpExchange& exchange, const RouteDeclaration& route,
    ServerStreamPtr serverStream, Progress& progress, Instant deadline, PeerCancellationPtr cancellation)
{
    progress.tried.any.insert(serverStream->attempt.server);
    crashGuard_.onStart(serverStream->attempt);
    const bool hasHead = co_await awaitHead(serverStream, deadline, cancellation);
    if (!serverStream->wasSent)
        crashGuard_.onNotSent(serverStream->attempt);
    if (!hasHead)
        co_await inspectBroken(serverStream, progress);
    crashGuard_.onEnd(serverStream->attempt);
    if (serverStream->isUnsendable)
        throw RequestUnsendableError(serverStream->failure);
    const ReplicaAnswer answer = hasHead ? client_.protocol().decode(*serverStream->head) : ReplicaAnswer();
    const bool isRefused = answer.verdict != ReplicaVerdict::Ran;
    const bool isUnsigned = hasHead && !isRefused && serverStream->head->isSuccess() && answer.stamp.empty();
    const bool isAnswer = hasHead && !isRefused && !isUnsigned;
    if (serverStream->isOtherStart)
        progress.tried.misdirected.insert(serverStream->attempt.server);
    if (answer.verdict == ReplicaVerdict::ServerMismatch) {
        progress.tried.misdirected.insert(serverStream->attempt.server);
        crashGuard_.onMisdirected(serverStream->attempt);
    } else if (isRefused) {
        crashGuard_.onRefused(serverStream->attempt);
    } else if (serverStream->wasSent)
        ++progress.runs;
    const bool mayHaveRun = !isRefused && serverStream->wasSent;
    const bool isStream = isAnswer && serverStream->head->status == statusOk;
    if (isAnswer && !isStream && !progress.hasStarted) {
        recordRun(progress, serverStream->lastEventAt);
        co_await answerUnstreamed(exchange, serverStream, deadline, cancellation);
        co_return AttemptEnd::Answered;
    }
    if (isStream) {
        co_await forward(exchange, route, serverStream, progress, deadline, cancellation);
        co_await inspectBroken(serverStream, progress);
    }
    // A stream without an event may have begun. One that has brought an event is counted already.
    if (mayHaveRun && !progress.hasEvents)
        recordRun(progress, serverStream->lastEventAt);
    if (progress.isDone) {
        co_await exchange.endStream();
        co_return AttemptEnd::Answered;
    }
    const bool isGivenUp = cancellation->isCancelled() && serverStream->failure.empty();
    progress.failure = isRefused ? "the server refused" : serverStream->failure;
    if (isGivenUp)
        progress.failure = "the request was given up before the answer ended";
    if (isUnsigned)
        progress.failure = "the answer has a success status but lacks the server's stamp";
    const bool mayRetry = isRefused || !serverStream->wasSent || route.isResumable;
    co_return mayRetry ? AttemptEnd::MayRetry : AttemptEnd::Final;
}

asio::awaitable<void> StreamProxy::serve(HttpExchange& exchange, RouteDeclaration route, CallerRequest caller,
    ReplicaRequest request, Instant deadline, PeerCancellationPtr cancellation, StreamAuthorisation authorisation)
{
    Progress progress;
    progress.authorisation = std::move(authorisation);
    progress.caller = std::move(caller);
    progress.request.id = request.id;
    progress.request.organisation = request.organisation;
    progress.account = accountOf(exchange);
    progress.content = ContentId::of(request.method, route.host, request.target, request.body);
    if (progress.caller.isResumption)
        progress.origin = co_await resumptions_.originOf(route, progress.caller, deadline);
    while (now() < deadline && !cancellation->isCancelled() && mayRunAgain(route, progress)
        && !crashGuard_.blockedUntil(progress.content)) {
        if (now() < progress.notBefore) {
            co_await sleepFor(progress.notBefore - now());
            continue;
        }
        const ServerStreamPtr serverStream = co_await openStream(route, request, progress, deadline, cancellation);
        if (!serverStream)
            break;
        const AttemptEnd end = co_await attempt(exchange, route, serverStream, progress, deadline, cancellation);
        if (end == AttemptEnd::Answered) {
            logEnd(progress);
            co_return;
        }
        log(Event::CallAttemptFailed,
            { { "request", request.id }, { "server", serverStream->attempt.server },
                { "content", progress.content.text() }, { "reason", progress.failure },
                { "lastEvent", progress.lastEventId ? std::to_string(*progress.lastEventId) : "" } });
        if (end == AttemptEnd::Final)
            break;
    }
    logEnd(progress);
    if (progress.origin && !cancellation->isCancelled())
        recordLoss(route, progress);
    // The missing last chunk tells the caller that the answer is truncated.
    if (exchange.answerState() == AnswerState::Nothing)
        throwFailure(route, progress, deadline);
}

void StreamProxy::recordRun(const Progress& progress, Instant beganAt)
{
    if (runListener_)
        runListener_->onBegun(progress.request, beganAt);
}

void StreamProxy::logEnd(const Progress& progress)
{
    std::string pieces;
    for (const StreamPiece& piece : progress.pieces)
        pieces += (pieces.empty() ? "" : ", ") + piece.text();
    if (progress.caller.isResumption && progress.hasStarted)
        processMetrics().count(Counter::StreamsGoneOn);
    log(Event::StreamEnded,
        { { "request", progress.caller.id }, { "resumes", progress.caller.resumedRequest }, { "pieces", pieces },
            { "complete", progress.isDone ? "yes" : "no" }, { "reason", progress.failure } });
}

void StreamProxy::recordLoss(const RouteDeclaration& route, const Progress& progress) const
{
    const bool isKnown = progress.origin->isKnown();
    if (isKnown && serviceCaller_.hasReadyServer(route, *progress.origin))
        return;
    processMetrics().count(isKnown ? Counter::StreamsWithoutServer : Counter::StreamsUnknownVersion);
    log(Event::StreamRefused,
        { { "request", progress.caller.id }, { "resumes", progress.caller.resumedRequest },
            { "began", progress.origin->text() }, { "reason", isKnown ? "no server of the version" : "" } });
}

void StreamProxy::throwFailure(const RouteDeclaration& route, const Progress& progress, Instant deadline) const
{
    const auto blockedUntil = crashGuard_.blockedUntil(progress.content);
    if (progress.runs == 0 && blockedUntil)
        throw ContentBlockedError(progress.content, *blockedUntil);
    if (progress.runs == 0 && progress.origin && !serviceCaller_.hasReadyServer(route, *progress.origin))
        throw StreamNotResumableError("no server runs the software that began the stream: " + progress.origin->text());
    if (progress.runs == 0)
        throw NotRunError(progress.failure.empty() ? "no server of the route is ready" : progress.failure);
    if (now() >= deadline)
        throw DeadlineUnknownError("the time ran out before the first event");
    throw OutcomeUnknownError(progress.failure);
}

} // namespace endiveroad::io
