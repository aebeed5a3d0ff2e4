#include "io/hosted/StreamProxy.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Signal.h"
#include "io/Tasks.h"
#include "io/hosted/Forwarding.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

constexpr int statusOk = 200;

/// Number of bytes up to the end of the last complete event; 0 if there is none.
size_t completeEventBytes(const std::string& text)
{
    size_t bytes = 0;
    for (const std::string_view boundary : { "\n\n", "\r\n\r\n" }) {
        const size_t end = text.rfind(boundary);
        if (end != std::string::npos)
            bytes = std::max(bytes, end + boundary.size());
    }
    return bytes;
}

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
    /// Of the server, as its registration told when the request was sent.
    SoftwareVersion software;
    Signal changed;
    HttpCancellation cancellation;
    std::optional<HttpResponse> head;
    /// Bytes that have not been forwarded.
    std::string pending;
    /// When the head or the last complete event came.
    Instant lastEventAt = now();
    bool hasEnded = false;
    /// The response was received to its end.
    bool isComplete = false;
    bool hasBody = false;
    /// It was broken off because of maxPendingBytes.
    bool isTooLong = false;

    /// The server closed the connection before the first byte of the body.
    bool hasBrokenOff() const { return hasEnded && !isComplete && wasSent && !hasBody; }

    /// False if the request has certainly not reached the server.
    bool wasSent = true;
    std::string failure;
};

struct StreamProxy::Progress {
    ContentId content;
    TriedServers tried;
    /// Number of servers that ran or may have run the request.
    int32_t runs = 0;
    /// The response head has been sent to the caller.
    bool hasStarted = false;
    /// Earliest time of the next attempt.
    Instant notBefore = Instant::min();
    bool isDone = false;
    bool mayResume = false;
    EventStreamReader reader;
    std::optional<int64_t> lastEventId;
    /// The servers that wrote the answer so far, in order, with their software and number of events.
    std::vector<StreamPiece> pieces;
    std::string failure;
};

StreamProxy::StreamProxy(
    asio::io_context& context, ServerClient& client, ServiceCaller& services, CrashGuard& crashGuard)
    : context_(context)
    , client_(client)
    , serviceCaller_(services)
    , crashGuard_(crashGuard)
{
}

asio::awaitable<StreamProxy::ServerStreamPtr> StreamProxy::openStream(const RouteDeclaration& route,
    const ReplicaRequest& request, const Progress& progress, Instant deadline, PeerCancellationPtr cancellation)
{
    const bool hasRun = progress.runs > 0 || progress.hasStarted;
    const Instant latestStart = hasRun ? deadline : now() + (deadline - now()) / waitDivisor;
    TriedServers tried = progress.tried;
    tried.mayTryAgain = !hasRun;
    std::optional<ChosenServer> chosen;
    try {
        chosen = co_await serviceCaller_.obtainServer(route, request, std::move(tried), latestStart, cancellation);
    } catch (const ServersFullError&) {
        // A request that may have run is not reported as refused.
        if (!hasRun)
            throw;
    }
    if (!chosen)
        co_return nullptr;
    const ServerRecord& server = chosen->server;
    ServerAttempt attempt { request.id, progress.content, server.id, ServerStart::of(server), now() };
    auto serverStream = std::make_shared<ServerStream>(context_, std::move(attempt));
    serverStream->software = server.software();
    ReplicaRequest call = request;
    call.server = server.id;
    call.timeout = deadline - now();
    if (progress.lastEventId)
        call.lastEventId = progress.lastEventId;
    HttpRequest encoded = client_.protocol().encode(std::move(call));
    encoded.connectDeadline = now() + ServiceCaller::connectTimeout;
    spawn(context_.get_executor(), [this, serverStream, permit = chosen->permit, encoded, deadline] {
        return readStream(serverStream, permit, encoded, deadline);
    });
    co_return serverStream;
}

asio::awaitable<void> StreamProxy::readStream(
    ServerStreamPtr serverStream, ServerPermit permit, HttpRequest request, Instant deadline)
{
    auto onHead = [serverStream](const HttpResponse& head) {
        serverStream->head = head;
        serverStream->lastEventAt = now();
        serverStream->changed.notifyAll();
    };
    auto onBody = [serverStream](std::string_view piece) {
        serverStream->hasBody = true;
        serverStream->isTooLong = serverStream->pending.size() + piece.size() > maxPendingBytes;
        if (!serverStream->isTooLong)
            serverStream->pending.append(piece);
        serverStream->changed.notifyAll();
        return !serverStream->isTooLong;
    };
    try {
        co_await client_.stream(permit, serverStream->attempt.start.address, std::move(request), deadline, onBody,
            &serverStream->cancellation, onHead);
        serverStream->isComplete = !serverStream->isTooLong;
        if (serverStream->isTooLong)
            serverStream->failure = "the answer is too long, or the caller reads it too slowly";
    } catch (const ConnectionRefusedError& error) {
        serverStream->wasSent = false;
        serverStream->failure = error.what();
        crashGuard_.onConnectionRefused(serverStream->attempt);
        serviceCaller_.onUnreachable(serverStream->attempt.server);
    } catch (const ServerUnavailableError& error) {
        serverStream->wasSent = false;
        serverStream->failure = error.what();
        if (!serverStream->cancellation.isCancelled())
            serviceCaller_.onUnreachable(serverStream->attempt.server);
    } catch (const std::exception& error) {
        serverStream->failure = error.what();
    }
    serverStream->hasEnded = true;
    serverStream->changed.notifyAll();
}

asio::awaitable<bool> StreamProxy::awaitHead(
    ServerStreamPtr serverStream, Instant deadline, PeerCancellationPtr cancellation)
{
    // Cancellation by the caller does not notify `changed`, so it is polled.
    while (!serverStream->head && !serverStream->hasEnded && now() < deadline && !cancellation->isCancelled())
        co_await serverStream->changed.wait(std::min(deadline, now() + stallLimit / 8));
    co_return serverStream->head.has_value();
}

asio::awaitable<void> StreamProxy::answerUnstreamed(
    HttpExchange& exchange, ServerStreamPtr serverStream, Instant deadline)
{
    while (!serverStream->hasEnded && now() < deadline)
        co_await serverStream->changed.wait(deadline);
    if (!serverStream->isComplete)
        throw OutcomeUnknownError(serverStream->failure.empty() ? "the time ran out" : serverStream->failure);
    crashGuard_.onAnswered(serverStream->attempt);
    HttpResponse response;
    response.status = serverStream->head->status;
    response.headers = forwardedHeaders(serverStream->head->headers);
    response.body = std::move(serverStream->pending);
    co_await exchange.answer(std::move(response));
}

asio::awaitable<void> StreamProxy::forward(HttpExchange& exchange, ServerStreamPtr serverStream, Progress& progress,
    Instant deadline, PeerCancellationPtr cancellation)
{
    if (!progress.hasStarted) {
        progress.hasStarted = true;
        HeaderList headers = forwardedHeaders(serverStream->head->headers);
        co_await exchange.beginStream(statusOk, std::move(headers));
    }
    progress.pieces.push_back({ serverStream->attempt.server, serverStream->software });
    while (!cancellation->isCancelled() && now() < deadline) {
        const size_t bytes = completeEventBytes(serverStream->pending);
        if (bytes > 0) {
            serverStream->lastEventAt = now();
            if (!progress.lastEventId)
                crashGuard_.onAnswered(serverStream->attempt);
            const std::string piece = serverStream->pending.substr(0, bytes);
            serverStream->pending.erase(0, bytes);
            for (const StreamEvent& event : progress.reader.feed(piece)) {
                progress.lastEventId = event.id ? event.id : progress.lastEventId;
                ++progress.pieces.back().events;
            }
            co_await exchange.sendPiece(piece);
            continue;
        }
        // A stalled stream is abandoned only if the route is resumable and has attempts left.
        const Instant stalledAt = progress.mayResume ? serverStream->lastEventAt + stallLimit : never;
        if (serverStream->hasEnded || now() > stalledAt)
            break;
        co_await serverStream->changed.wait(std::min(deadline, stalledAt == never ? never : stalledAt + Duration(1)));
    }
    progress.isDone = serverStream->isComplete && serverStream->pending.empty();
    progress.failure = serverStream->failure;
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
    progress.tried.any.insert(serverStream->attempt.server);
    crashGuard_.onStart(serverStream->attempt);
    const bool hasHead = co_await awaitHead(serverStream, deadline, cancellation);
    if (!serverStream->wasSent)
        crashGuard_.onNotSent(serverStream->attempt);
    if (!hasHead)
        co_await inspectBroken(serverStream, progress);
    crashGuard_.onEnd(serverStream->attempt);
    const ReplicaVerdict verdict
        = hasHead ? client_.protocol().decode(*serverStream->head).verdict : ReplicaVerdict::Ran;
    const bool isRefused = verdict != ReplicaVerdict::Ran;
    if (verdict == ReplicaVerdict::ServerMismatch) {
        progress.tried.misdirected.insert(serverStream->attempt.server);
        crashGuard_.onMisdirected(serverStream->attempt);
    } else if (isRefused) {
        crashGuard_.onRefused(serverStream->attempt);
    } else if (serverStream->wasSent)
        ++progress.runs;
    progress.mayResume = route.isResumable && progress.runs < route.maxAttempts;
    const bool isStream = hasHead && !isRefused && serverStream->head->status == statusOk;
    if (hasHead && !isRefused && !isStream && !progress.hasStarted) {
        co_await answerUnstreamed(exchange, serverStream, deadline);
        co_return AttemptEnd::Answered;
    }
    if (isStream) {
        co_await forward(exchange, serverStream, progress, deadline, cancellation);
        co_await inspectBroken(serverStream, progress);
    }
    serverStream->cancellation.cancel();
    if (progress.isDone) {
        co_await exchange.endStream();
        co_return AttemptEnd::Answered;
    }
    progress.failure = isRefused ? "the server refused" : serverStream->failure;
    const bool mayRetry = isRefused || !serverStream->wasSent || route.isResumable;
    co_return mayRetry ? AttemptEnd::MayRetry : AttemptEnd::Final;
}

asio::awaitable<void> StreamProxy::serve(HttpExchange& exchange, RouteDeclaration route, ReplicaRequest request,
    Instant deadline, PeerCancellationPtr cancellation)
{
    Progress progress;
    progress.content = ContentId::of(request.method, route.host, request.target, request.body);
    while (now() < deadline && !cancellation->isCancelled() && progress.runs < std::max(route.maxAttempts, 1)
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
            logEnd(request, progress);
            co_return;
        }
        log(Event::CallAttemptFailed,
            { { "request", request.id }, { "server", serverStream->attempt.server },
                { "content", progress.content.text() }, { "reason", progress.failure },
                { "lastEvent", progress.lastEventId ? std::to_string(*progress.lastEventId) : "" } });
        if (end == AttemptEnd::Final)
            break;
    }
    logEnd(request, progress);
    // The missing last chunk tells the caller that the answer is truncated.
    if (!progress.hasStarted)
        throwFailure(progress, deadline);
}

void StreamProxy::logEnd(const ReplicaRequest& request, const Progress& progress)
{
    std::string pieces;
    for (const StreamPiece& piece : progress.pieces)
        pieces += (pieces.empty() ? "" : ", ") + piece.text();
    log(Event::StreamEnded,
        { { "request", request.id }, { "pieces", pieces }, { "complete", progress.isDone ? "yes" : "no" },
            { "reason", progress.failure } });
}

void StreamProxy::throwFailure(const Progress& progress, Instant deadline) const
{
    const auto blockedUntil = crashGuard_.blockedUntil(progress.content);
    if (progress.runs == 0 && blockedUntil)
        throw ContentBlockedError(progress.content, *blockedUntil);
    if (progress.runs == 0)
        throw NotRunError(progress.failure.empty() ? "no server of the route is ready" : progress.failure);
    if (now() >= deadline)
        throw DeadlineUnknownError("the time ran out before the first event");
    throw OutcomeUnknownError(progress.failure);
}

} // namespace endiveroad::io
