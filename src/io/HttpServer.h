#pragma once

#include "io/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <endiveroad/Error.h>
#include <endiveroad/Settings.h>
#include <functional>
#include <memory>
#include <set>

/// HTTP/1.1 server for callers.
namespace endiveroad::io {

namespace asio = boost::asio;

/// A completely received request.
struct HttpQuery {
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;

    /// Value of a header by case-insensitive name; empty if missing.
    std::string_view header(std::string_view name) const;
};

/// How much of the answer to a request has been sent.
enum class AnswerState {
    Nothing,
    /// The head of a stream. From now on the stream can only go on, end or be broken off.
    Head,
    All,
};

/// One request and its answer. The handler calls either answer() once, or beginStream(), sendPiece() for each piece of
/// the body, and endStream(). If the handler returns without endStream(), the connection closes before the final chunk,
/// so that the caller sees a truncated body.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpQuery& query() const = 0;

    virtual AnswerState answerState() const = 0;

    /// Sends a whole answer. If a part of an answer has been sent already, nothing is sent and the connection is
    /// closed: the caller would take a second head for a part of the stream.
    virtual asio::awaitable<void> answer(HttpResponse) = 0;
    /// Sends the head of a stream. Throws AnswerBrokenError if it cannot be written, with the state Nothing if nothing
    /// of it was sent, and if a part of an answer has been sent already.
    virtual asio::awaitable<void> beginStream(int status, HeaderList) = 0;
    /// Throw AnswerBrokenError if the bytes cannot be written, or if the state is not Head.
    virtual asio::awaitable<void> sendPiece(std::string_view) = 0;
    virtual asio::awaitable<void> endStream() = 0;

    /// True once the server has noticed that the caller closed its connection. A close is not noticed while the request
    /// is handled if the caller has sent further bytes before it.
    virtual bool isDisconnected() const = 0;

    /// Sets the function to call when the request is to be given up: the caller has closed its connection, or this
    /// process ends. Calls it at once if that has happened already.
    virtual void onAbort(std::function<void()>) = 0;
};

class HttpHandler {
public:
    virtual ~HttpHandler() = default;
    virtual asio::awaitable<void> onHttp(HttpExchange&) = 0;
};

/// Answer for an error: its HTTP status and a JSON body with code and detail. If retryAfter is positive, adds a
/// Retry-After header and the field retryAfterMs. Counts the error in the metrics.
HttpResponse errorResponse(const Error&, Duration retryAfter = Duration::zero());

HttpResponse jsonResponse(int status, std::string body);

/// Time limits for a caller; a connection that exceeds one is closed.
struct HttpTimeouts {
    /// From the first byte of a request to its last.
    Duration request = std::chrono::seconds(10);
    /// From an answer, or the start of the connection, to the next request.
    Duration idle = std::chrono::seconds(60);
    /// For the caller to accept an answer, or one piece of a streamed answer.
    Duration write = std::chrono::seconds(30);
    /// Interval at which the limits are checked; a connection may exceed its limit by up to this time.
    Duration check = std::chrono::seconds(1);

    auto operator<=>(const HttpTimeouts&) const = default;
};

/// Size limits for a request.
struct HttpSizeLimits {
    uint32_t maxHeaderBytes = 16 << 10;
    uint64_t maxBodyBytes = 64U << 20;

    auto operator<=>(const HttpSizeLimits&) const = default;
};

class HttpServer {
public:
    explicit HttpServer(HttpHandler&, HttpTimeouts = {});
    ~HttpServer();

    /// Listens and accepts. Throws AddressInUseError.
    void start(asio::io_context&, const Address&);

    /// Sets the limits for requests that begin from now on; the write timeout also applies to the next write of running
    /// requests.
    void setLimits(const HttpSizeLimits& sizes, const HttpTimeouts& timeouts)
    {
        sizes_ = sizes;
        timeouts_ = timeouts;
    }

    /// Closes each connection after its next answer (Connection: close), so that callers move to another server. A
    /// stream whose head has been sent before does not announce that.
    void startDraining() { isDraining_ = true; }

    /// Stops accepting connections and closes idle ones. Requests in flight, and those already in the sockets' buffers,
    /// are still answered.
    void stopAccepting();

    /// Has every request of which nothing has been answered yet answered: aborts it, and answers it itself with
    /// OutcomeUnknownError if the handler has not done so by the instant.
    asio::awaitable<void> endUnanswered(Instant by);

    /// Aborts the streams that have begun.
    void abortStreams();

    /// Number of requests passed to the handler and not yet answered.
    size_t inFlight() const { return inFlight_; }

    /// Number of open connections, idle ones included.
    size_t connections() const { return sessions_->size(); }

private:
    class Session;

    asio::awaitable<void> acceptLoop();
    /// Closes sessions whose deadline has passed. One periodic check saves a timer for each request.
    asio::awaitable<void> closeOverdue();
    void serve(asio::ip::tcp::socket);
    /// Aborts the requests whose answer has come this far. Returns whether there are any.
    bool abort(AnswerState);

    HttpHandler& handler_;
    HttpTimeouts timeouts_;
    HttpSizeLimits sizes_;
    std::unique_ptr<asio::ip::tcp::acceptor> acceptor_;
    /// Shared with the sessions, whose destructors may run after the server's.
    std::shared_ptr<std::set<Session*>> sessions_;
    size_t inFlight_ = 0;
    bool isDraining_ = false;
    bool isStopping_ = false;
};

/// Opens a listening socket. Throws AddressInUseError.
asio::ip::tcp::acceptor listenOn(asio::io_context&, const Address&);

} // namespace endiveroad::io
