#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <endiveroad/Settings.h>
#include <endiveroad/Time.h>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// HTTP towards backend servers, the key-value service and entries.
namespace endiveroad::io {

namespace asio = boost::asio;

using HeaderList = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    HeaderList headers;
    std::string body;
    /// Ends the attempt to open a connection; the deadline of the request does as well.
    Instant connectDeadline = never;
    /// Name of a header of this request that the answer has to repeat; empty for none. An answer that repeats another
    /// value, or a success that repeats none, belongs to another request.
    std::string echoedHeader {};
    /// Takes an answer without a declared length as whole if its connection ends in good order.
    bool isUndeclaredEndTaken = false;
};

/// A request with a JSON body.
HttpRequest jsonRequest(std::string method, std::string target, std::string body);

struct HttpResponse {
    int status = 0;
    HeaderList headers;
    std::string body;

    /// Value of a header by case-insensitive name; empty if missing.
    std::string_view header(std::string_view name) const;
};

/// Lets another coroutine end a request early.
class HttpCancellation {
public:
    void cancel();
    bool isCancelled() const { return isCancelled_; }

private:
    friend class HttpClient;
    bool isCancelled_ = false;
    boost::beast::tcp_stream* stream_ = nullptr;
};

/// Keeps idle connections per address. A connection is used again only after a whole answer; one that timed out,
/// broke or was cancelled is closed.
class HttpClient {
public:
    static constexpr size_t maxIdlePerAddress = 64;
    static constexpr Duration idleLifetime = std::chrono::seconds(20);
    /// Time before the end of a server's own idle timeout from which a connection is no longer used.
    static constexpr Duration idleMargin = std::chrono::milliseconds(250);
    static constexpr uint64_t maxResponseBytes = 64U << 20;

    /// Called for each piece of a streamed body. Returns false to end the stream.
    using OnBody = std::function<bool(std::string_view)>;

    /// Sends a request and reads the whole answer. Throws ServerUnavailableError if no connection could be opened (the
    /// request was surely not run), OutcomeUnknownError if the answer did not come whole by the deadline.
    asio::awaitable<HttpResponse> request(Address, HttpRequest, Instant deadline, HttpCancellation* = nullptr);

    /// Called with the status and headers of a streamed answer before its first piece.
    using OnHead = std::function<void(const HttpResponse&)>;

    /// As request(), but hands the body on piece by piece; the answer's body stays empty.
    asio::awaitable<HttpResponse> stream(
        Address, HttpRequest, Instant deadline, OnBody, HttpCancellation* = nullptr, OnHead = nullptr);

    /// Closes all idle connections.
    void closeIdle() { idle_.clear(); }

private:
    struct Idle {
        std::unique_ptr<boost::beast::tcp_stream> stream;
        Instant expiry;
    };

    asio::awaitable<std::unique_ptr<boost::beast::tcp_stream>> open(const Address&, Instant deadline);
    std::unique_ptr<boost::beast::tcp_stream> takeIdle(const Address&);
    void keepIdle(const Address&, std::unique_ptr<boost::beast::tcp_stream>, const HttpResponse&);

    std::map<Address, std::vector<Idle>> idle_;
};

} // namespace endiveroad::io
