#pragma once

#include "io/HttpServer.h"
#include "io/PeerConnection.h"
#include "io/hosted/ServiceCaller.h"
#include "io/hosted/StreamResumptions.h"

#include <endiveroad/EventStreamBuffer.h>
#include <memory>
#include <set>
#include <string>

/// Forwards event streams from servers to callers without buffering whole answers.
namespace endiveroad::io {

/// Asked before a stream is sent to a server.
struct StreamAuthorisation {
    /// For a stream that no server may have begun.
    Authorisation begin;
    /// For one that goes on at a further server.
    Authorisation goOn;
};

class StreamProxy {
public:
    /// Time without a complete event after the response head after which a server's stream is cancelled, if the route
    /// is resumable and has attempts left. Bytes that complete no event do not count: a server that sends one now and
    /// then has stalled all the same.
    static constexpr Duration stallLimit = std::chrono::milliseconds(1500);

    /// Most bytes of a stream that wait for the caller, or of an answer that is no stream.
    static constexpr size_t maxPendingBytes = 4U << 20;

    /// Part of the time that a request has left for which it may wait for a server; the stream needs the rest.
    static constexpr int waitDivisor = 2;

    /// Time for a stream that has broken off to go on within its answer; a caller that gets nothing may do better.
    static constexpr Duration resumeTimeout = std::chrono::seconds(1);

    StreamProxy(asio::io_context&, ServerClient&, ServiceCaller&, StreamResumptions&, CrashGuard&);

    /// Null for none. The listener is told of the streams that servers run.
    void setRunListener(ServerRunListener* listener) { runListener_ = listener; }

    /// Answers the exchange. Only complete events are forwarded. If a server's stream breaks, a server that runs the
    /// same software resumes it within the same answer if the route allows that; otherwise the answer ends without its
    /// last chunk, so that the caller detects the truncation. Throws if nothing has been sent to the caller:
    /// NotRunError, StreamNotResumableError, ContentBlockedError or the error of the authorisation if no server can
    /// have run the request, OutcomeUnknownError or DeadlineUnknownError if one may have. A stream that a server has
    /// begun to send goes on when the authorisation ends, but no further server is asked.
    /// A stream that breaks off because one of its events is too long is taken for one that its server broke off.
    asio::awaitable<void> serve(HttpExchange&, RouteDeclaration, CallerRequest, ReplicaRequest, Instant deadline,
        PeerCancellationPtr, StreamAuthorisation);

private:
    /// The stream of one server and the bytes of it that have not been forwarded yet.
    struct ServerStream;
    using ServerStreamPtr = std::shared_ptr<ServerStream>;
    struct StreamPiece;
    /// State of an exchange across the servers that were tried.
    struct Progress;
    /// Answered: the caller has its whole answer. Final: no other server may be tried.
    enum class AttemptEnd { Answered, MayRetry, Final };

    /// Runs one attempt. Whatever its end, the server's stream is cancelled then. Throws as serve() does, if nothing
    /// has been sent to the caller.
    asio::awaitable<AttemptEnd> attempt(
        HttpExchange&, const RouteDeclaration&, ServerStreamPtr, Progress&, Instant deadline, PeerCancellationPtr);
    /// Waits for a server's answer and passes it on as far as it comes.
    asio::awaitable<AttemptEnd> passOn(
        HttpExchange&, const RouteDeclaration&, ServerStreamPtr, Progress&, Instant deadline, PeerCancellationPtr);
    void recordRun(const Progress&, Instant beganAt);
    /// Logs which servers wrote the answer.
    static void logEnd(const Progress&);
    /// Counts and logs that a stream does not go on although its route allows it.
    void recordLoss(const RouteDeclaration&, const Progress&) const;
    /// Throws the error for a caller to which nothing has been sent.
    [[noreturn]] void throwFailure(const RouteDeclaration&, const Progress&, Instant deadline) const;
    /// Sends the request to a server that has not been tried and starts to read its stream; null if there is none in
    /// time.
    asio::awaitable<ServerStreamPtr> openStream(
        const RouteDeclaration&, const ReplicaRequest&, const Progress&, Instant deadline, PeerCancellationPtr);
    asio::awaitable<void> readStream(ServerStreamPtr, ServerPermit, HttpRequest, Instant deadline);
    /// Whether a server may still run the request, or go on with it.
    static bool mayRunAgain(const RouteDeclaration&, const Progress&);
    /// True if the stream should go on at another server rather than wait for the one that has it.
    bool mayLeave(const RouteDeclaration&, const ServerStream&, const Progress&) const;
    /// Forwards whole events to the caller.
    asio::awaitable<void> forwardEvents(HttpExchange&, ServerStreamPtr, Progress&, WholeEvents, Instant deadline);
    /// Returns whether the response head has arrived before the deadline.
    asio::awaitable<bool> awaitHead(ServerStreamPtr, Instant deadline, PeerCancellationPtr);
    /// Sends a response that is not an event stream as a whole.
    asio::awaitable<void> answerUnstreamed(HttpExchange&, ServerStreamPtr, Instant deadline, PeerCancellationPtr);
    /// Finds out whether a server that broke its stream off before the first byte has ended.
    asio::awaitable<void> inspectBroken(ServerStreamPtr, Progress&);
    /// Forwards events until the stream ends, stalls or is to be given up.
    asio::awaitable<void> forward(
        HttpExchange&, const RouteDeclaration&, ServerStreamPtr, Progress&, Instant deadline, PeerCancellationPtr);

    asio::io_context& context_;
    ServerClient& client_;
    ServiceCaller& serviceCaller_;
    StreamResumptions& resumptions_;
    CrashGuard& crashGuard_;
    ServerRunListener* runListener_ = nullptr;
};

} // namespace endiveroad::io
