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

/// HTTP/1.1 towards callers.
namespace endiveroad::io {

namespace asio = boost::asio;

/// A request as received, whole.
struct HttpQuery {
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;

    /// Value of a header by case-insensitive name; empty if missing.
    std::string_view header(std::string_view name) const;
};

/// One request and the way to answer it. Either answer() once, or beginStream(), sendPiece() and endStream(). A stream
/// left without endStream() is cut visibly: the connection closes before the final chunk.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpQuery& query() const = 0;

    virtual asio::awaitable<void> answer(HttpResponse) = 0;
    virtual asio::awaitable<void> beginStream(int status, HeaderList) = 0;
    virtual asio::awaitable<void> sendPiece(std::string_view) = 0;
    virtual asio::awaitable<void> endStream() = 0;

    /// True once the caller has closed its connection.
    virtual bool isDisconnected() const = 0;

    /// Sets what to call when the caller closes its connection before the answer.
    virtual void onDisconnect(std::function<void()>) = 0;
};

class HttpHandler {
public:
    virtual ~HttpHandler() = default;
    virtual asio::awaitable<void> onHttp(HttpExchange&) = 0;
};

/// JSON body of an error: code, detail, and Retry-After where there is one.
HttpResponse errorResponse(const Error&, Duration retryAfter = Duration::zero());

HttpResponse jsonResponse(int status, std::string body);

/// How long a caller may take.
struct HttpTimeouts {
    /// From the first byte of a request to its last.
    Duration request = std::chrono::seconds(10);
    /// From an answer to the next request.
    Duration idle = std::chrono::seconds(60);
    /// For taking an answer, or a piece of a streamed one.
    Duration write = std::chrono::seconds(30);
    /// How often this is checked; a connection may live as much longer.
    Duration check = std::chrono::seconds(1);

    auto operator<=>(const HttpTimeouts&) const = default;
};

/// How much a caller may send in a request.
struct HttpSizes {
    uint32_t maxHeaderBytes = 16 << 10;
    uint64_t maxBodyBytes = 64U << 20;

    auto operator<=>(const HttpSizes&) const = default;
};

class HttpServer {
public:
    explicit HttpServer(HttpHandler&, HttpTimeouts = {});
    ~HttpServer();

    /// Listens and accepts. Throws AddressInUseError.
    void start(asio::io_context&, const Address&);

    /// Puts other limits in force for requests that begin from now on.
    void setLimits(const HttpSizes& sizes, const HttpTimeouts& timeouts)
    {
        sizes_ = sizes;
        timeouts_ = timeouts;
    }

    /// Tells callers with each answer that their connection closes, so that they go elsewhere.
    void startDraining() { isDraining_ = true; }

    /// Stops accepting; requests in flight go on, and so do those already received. Idle connections close.
    void stopAccepting();

    /// Requests begun and not yet answered.
    size_t inFlight() const { return inFlight_; }

    /// Connections that are open, idle or not.
    size_t connections() const { return sessions_->size(); }

private:
    class Session;

    asio::awaitable<void> acceptLoop();
    /// Closes sessions whose deadline has passed, so that no request pays for timers of its own.
    asio::awaitable<void> closeOverdue();
    void serve(asio::ip::tcp::socket);

    HttpHandler& handler_;
    HttpTimeouts timeouts_;
    HttpSizes sizes_;
    std::unique_ptr<asio::ip::tcp::acceptor> acceptor_;
    /// Shared with the sessions, which may end after the server.
    std::shared_ptr<std::set<Session*>> sessions_;
    size_t inFlight_ = 0;
    bool isDraining_ = false;
    bool isStopping_ = false;
};

/// Opens a listening socket. Throws AddressInUseError.
asio::ip::tcp::acceptor listenOn(asio::io_context&, const Address&);

} // namespace endiveroad::io
