#pragma once

#include "io/HttpServer.h"
#include "io/PeerConnection.h"
#include "io/hosted/ServiceCaller.h"

#include <endiveroad/EventStream.h>
#include <memory>
#include <set>
#include <string>

/// Passes event streams from servers to callers as they come.
namespace endiveroad::io {

class StreamPass {
public:
    /// Time without a byte after which a server's stream is given up if another server can go on with it.
    static constexpr Duration silenceLimit = std::chrono::milliseconds(1500);

    StreamPass(asio::io_context&, HttpClient&, const ReplicaProtocol&, ServiceCaller&);

    /// Answers the exchange. Only whole events are passed on. A stream that breaks goes on at another server within the
    /// same answer if the route allows it; else the answer is cut visibly. Throws, with nothing answered, if no server
    /// began to answer: NotRunError if none can have run the request, OutcomeUnknownError or DeadlineUnknownError if
    /// one may have.
    asio::awaitable<void> serve(HttpExchange&, RouteDeclaration, ReplicaRequest, Instant deadline, PeerCancellationPtr);

private:
    /// One server's stream, filled by the coroutine that reads it.
    struct Source;
    using SourcePtr = std::shared_ptr<Source>;
    /// What the caller has been sent.
    struct Progress;

    SourcePtr open(const RouteDeclaration&, const ReplicaRequest&, const Progress&, Instant deadline);
    asio::awaitable<void> read(SourcePtr, HttpRequest, Instant deadline);
    asio::awaitable<bool> awaitHead(SourcePtr, Instant deadline, PeerCancellationPtr);
    asio::awaitable<void> answerWhole(HttpExchange&, SourcePtr, Instant deadline);
    asio::awaitable<void> forward(HttpExchange&, SourcePtr, Progress&, Instant deadline, PeerCancellationPtr);

    asio::io_context& context_;
    HttpClient& http_;
    const ReplicaProtocol& protocol_;
    ServiceCaller& services_;
};

} // namespace endiveroad::io
