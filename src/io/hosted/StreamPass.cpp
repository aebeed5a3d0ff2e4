#include "io/hosted/StreamPass.h"

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
size_t wholeEventBytes(const std::string& text)
{
    for (const std::string_view boundary : { "\n\n", "\r\n\r\n" }) {
        const size_t end = text.rfind(boundary);
        if (end != std::string::npos)
            return end + boundary.size();
    }
    return 0;
}

} // namespace

struct StreamPass::Source {
    Source(asio::io_context& context, ServerRecord record)
        : server(std::move(record))
        , changed(context)
    {
    }

    ServerRecord server;
    Signal changed;
    HttpCancellation cancellation;
    std::optional<HttpResponse> head;
    /// Bytes that have not been forwarded.
    std::string pending;
    Instant lastByteAt = now();
    bool hasEnded = false;
    /// The response was received to its end.
    bool isWhole = false;
    /// False if the request has certainly not reached the server.
    bool wasSent = true;
    std::string failure;
};

struct StreamPass::Progress {
    std::set<std::string> tried;
    /// Number of servers that ran or may have run the request.
    int32_t runs = 0;
    /// The response head has been sent to the caller.
    bool hasBegun = false;
    bool isDone = false;
    bool mayResume = false;
    EventStreamReader reader;
    std::optional<int64_t> lastEventId;
    std::string failure;
};

StreamPass::StreamPass(
    asio::io_context& context, HttpClient& http, const ReplicaProtocol& protocol, ServiceCaller& services)
    : context_(context)
    , http_(http)
    , protocol_(protocol)
    , services_(services)
{
}

StreamPass::SourcePtr StreamPass::open(
    const RouteDeclaration& route, const ReplicaRequest& request, const Progress& progress, Instant deadline)
{
    const auto server = services_.chooseServer(route, progress.tried);
    if (!server)
        return nullptr;
    auto source = std::make_shared<Source>(context_, *server);
    ReplicaRequest call = request;
    call.server = server->id;
    call.timeout = deadline - now();
    if (progress.lastEventId)
        call.lastEventId = progress.lastEventId;
    HttpRequest encoded = protocol_.encode(std::move(call));
    encoded.connectDeadline = now() + ServiceCaller::connectTimeout;
    spawn(context_.get_executor(), [this, source, encoded, deadline] { return read(source, encoded, deadline); });
    return source;
}

asio::awaitable<void> StreamPass::read(SourcePtr source, HttpRequest request, Instant deadline)
{
    auto onHead = [source](const HttpResponse& head) {
        source->head = head;
        source->lastByteAt = now();
        source->changed.notifyAll();
    };
    auto onBody = [source](std::string_view piece) {
        source->pending.append(piece);
        source->lastByteAt = now();
        source->changed.notifyAll();
        return true;
    };
    try {
        co_await http_.stream(
            source->server.address, std::move(request), deadline, onBody, &source->cancellation, onHead);
        source->isWhole = true;
    } catch (const ServerUnavailableError& error) {
        source->wasSent = false;
        source->failure = error.what();
    } catch (const Error& error) {
        source->failure = error.what();
    }
    source->hasEnded = true;
    source->changed.notifyAll();
}

asio::awaitable<bool> StreamPass::awaitHead(SourcePtr source, Instant deadline, PeerCancellationPtr cancellation)
{
    while (!source->head && !source->hasEnded && now() < deadline && !cancellation->isCancelled())
        co_await source->changed.wait(std::min(deadline, now() + silenceLimit / 8));
    co_return source->head.has_value();
}

asio::awaitable<void> StreamPass::answerWhole(HttpExchange& exchange, SourcePtr source, Instant deadline)
{
    while (!source->hasEnded && now() < deadline)
        co_await source->changed.wait(deadline);
    if (!source->isWhole)
        throw OutcomeUnknownError(source->failure.empty() ? "the time ran out" : source->failure);
    HttpResponse response;
    response.status = source->head->status;
    response.headers = forwardedHeaders(source->head->headers);
    response.body = std::move(source->pending);
    co_await exchange.answer(std::move(response));
}

asio::awaitable<void> StreamPass::forward(
    HttpExchange& exchange, SourcePtr source, Progress& progress, Instant deadline, PeerCancellationPtr cancellation)
{
    if (!progress.hasBegun) {
        progress.hasBegun = true;
        HeaderList headers = forwardedHeaders(source->head->headers);
        co_await exchange.beginStream(statusOk, std::move(headers));
    }
    while (!cancellation->isCancelled() && now() < deadline) {
        const size_t bytes = wholeEventBytes(source->pending);
        if (bytes > 0) {
            const std::string piece = source->pending.substr(0, bytes);
            source->pending.erase(0, bytes);
            for (const StreamEvent& event : progress.reader.feed(piece))
                progress.lastEventId = event.id ? event.id : progress.lastEventId;
            co_await exchange.sendPiece(piece);
            continue;
        }
        // A stalled stream is abandoned only if another server can resume it.
        const Instant silentAt = progress.mayResume ? source->lastByteAt + silenceLimit : never;
        if (source->hasEnded || now() > silentAt)
            break;
        co_await source->changed.wait(std::min(deadline, silentAt == never ? never : silentAt + Duration(1)));
    }
    progress.isDone = source->isWhole && source->pending.empty();
    progress.failure = source->failure;
}

asio::awaitable<void> StreamPass::serve(HttpExchange& exchange, RouteDeclaration route, ReplicaRequest request,
    Instant deadline, PeerCancellationPtr cancellation)
{
    Progress progress;
    while (!progress.isDone && now() < deadline && !cancellation->isCancelled()
        && progress.runs < std::max(route.maxAttempts, 1)) {
        const SourcePtr source = open(route, request, progress, deadline);
        if (!source) {
            if (progress.runs > 0 || progress.hasBegun)
                break;
            progress.tried.clear();
            co_await sleepFor(ServiceCaller::refusedPause);
            continue;
        }
        progress.tried.insert(source->server.id);
        const bool hasHead = co_await awaitHead(source, deadline, cancellation);
        const bool isRefused = hasHead && protocol_.decode(*source->head).verdict != ReplicaVerdict::Ran;
        if (!isRefused && source->wasSent)
            ++progress.runs;
        progress.mayResume = route.isResumable && progress.runs < route.maxAttempts;
        if (hasHead && !isRefused && source->head->status == statusOk)
            co_await forward(exchange, source, progress, deadline, cancellation);
        else if (hasHead && !isRefused && !progress.hasBegun)
            co_return co_await answerWhole(exchange, source, deadline);
        source->cancellation.cancel();
        if (progress.isDone)
            break;
        progress.failure = isRefused ? "the server refused" : source->failure;
        log(Event::CallAttemptFailed,
            { { "request", request.id }, { "server", source->server.id }, { "reason", progress.failure },
                { "lastEvent", progress.lastEventId ? std::to_string(*progress.lastEventId) : "" } });
        const bool mayGoOn = isRefused || !source->wasSent || route.isResumable;
        if (!mayGoOn)
            break;
    }
    if (progress.isDone)
        co_return co_await exchange.endStream();
    // The missing last chunk tells the caller that the answer is truncated.
    if (progress.hasBegun)
        co_return;
    if (progress.runs == 0)
        throw NotRunError(progress.failure.empty() ? "no server of the route is ready" : progress.failure);
    if (now() >= deadline)
        throw DeadlineUnknownError("the time ran out before the first event");
    throw OutcomeUnknownError(progress.failure);
}

} // namespace endiveroad::io
