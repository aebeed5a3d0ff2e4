#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <endiveroad/Error.h>
#include <endiveroad/Settings.h>
#include <endiveroad/Time.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// HTTP/1.1 client for backend servers, the key-value service and entries.
namespace endiveroad::io {

namespace asio = boost::asio;

using HeaderList = std::vector<std::pair<std::string, std::string>>;

struct HttpResponse;
struct StartQuery;

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    HeaderList headers;
    std::string body;
    /// Deadline for opening a connection; the deadline of the request applies as well.
    Instant connectDeadline = never;
    /// Name of a request header whose value the answer must repeat; empty for none. An answer with another value is
    /// treated as the answer to another request and fails with OutcomeUnknownError. So does one without the header,
    /// unless it is a failure and the first answer on its connection. If the request does not have the header, the
    /// answer must not have it either. A connection is not used again for the same value, see CarriedRequests.
    std::string echoedHeader {};
    /// Only a connection that has been idle since this time is reused. For requests whose answer could not be told from
    /// a late second copy of another answer, which may arrive on a connection that was in use shortly before.
    Instant latestUse = never;
    /// Accepts a body that is delimited only by the end of the connection if the connection closes cleanly. Otherwise
    /// such an answer fails with OutcomeUnknownError, as a truncated one looks the same.
    bool isCloseDelimitedBodyAllowed = false;
    /// Longest body that HttpClient::request() returns.
    size_t maxAnswerBytes = 16U << 20;
    /// If set, the connection's server states its start before the request is sent.
    std::shared_ptr<const StartQuery> startQuery {};
    /// If set, called once the connection is open, directly before the request is written. If it returns false, the
    /// request is not sent and fails with ServerUnavailableError. For requests that are allowed only until some time,
    /// which may pass while the connection is opened.
    std::function<bool()> maySend {};
};

/// Asks a server for its start, once for each connection that a request with this query uses. The query goes over
/// another connection while the request's own is open, and the request follows it. So an answer to the request comes
/// from the start that was stated: the same process was there before the query and after it. Neither a late copy of the
/// query's answer nor its failure harms the request.
struct StartQuery {
    HttpRequest request;
    /// The query is not sent while this returns false.
    std::function<bool()> mayAsk;
    /// Start that the answer states, in ms since the epoch; 0 if it states none.
    std::function<int64_t(const HttpResponse&)> startOf;
    /// Called before the request is sent, with nothing if the server was not asked or did not answer in time. If it
    /// returns false, the request is not sent and fails with ServerStartError.
    std::function<bool(std::optional<int64_t> startedMs)> isAccepted;
};

/// A request with a JSON body and its Content-Type.
HttpRequest jsonRequest(std::string method, std::string target, std::string body);

struct HttpResponse {
    int status = 0;
    HeaderList headers;
    std::string body;
    /// Start of the server that answered, if HttpRequest::startQuery asked for it; 0 if it does not state it.
    std::optional<int64_t> serverStartedMs {};

    bool isSuccess() const { return status >= 200 && status < 300; }

    /// Value of a header by case-insensitive name; empty if missing.
    std::string_view header(std::string_view name) const;
};

/// Lets another coroutine cancel a request. cancel() closes the request's connection. While the
/// connection is still being opened, the request ends only when that has finished.
class HttpCancellation {
public:
    void cancel();
    bool isCancelled() const { return isCancelled_; }

private:
    friend class HttpClient;
    bool isCancelled_ = false;
    boost::beast::tcp_stream* stream_ = nullptr;
};

/// Whether a process listens at an address. Silent: connections are neither accepted nor refused.
enum class ListenerState { Listening, Refusing, Silent };

/// The address refused the connection: nothing listens there.
class ConnectionRefusedError : public ServerUnavailableError {
public:
    using ServerUnavailableError::ServerUnavailableError;
};

/// The server is another start than the one that the request is meant for; the request was not sent.
class ServerStartError : public ServerUnavailableError {
public:
    using ServerUnavailableError::ServerUnavailableError;
};

/// The requests that a connection has carried lately, by the value that their answers repeat. A copy of an answer may
/// arrive where the answer to the next request is expected; the repeated value tells it apart only if no two requests
/// on the connection have the same one.
class CarriedRequests {
public:
    /// Number of later requests after which no copy of an answer is expected any more.
    static constexpr size_t maxRequests = 64;

    /// An empty value stands for a request that has none.
    void add(const std::string& value);

    bool contains(const std::string& value) const;
    bool isEmpty() const { return hashes_.empty(); }

private:
    /// Hashes of the values. Two values with the same hash only cost a connection.
    std::vector<size_t> hashes_;
    /// Index of the oldest one, which the next one replaces; used once there are maxRequests.
    size_t oldest_ = 0;
};

/// Keeps a pool of idle connections for each address. A connection is reused only after a complete answer; after a
/// timeout, an error or a cancellation it is closed.
class HttpClient {
public:
    static constexpr size_t maxIdlePerAddress = 64;
    /// Idle connections to an address that are kept beside a new one for a repeated request, which may use none of
    /// them. Servers take few connections from all processes together.
    static constexpr size_t maxIdleBesideRepeat = 4;
    static constexpr Duration idleLifetime = std::chrono::seconds(20);
    /// Subtracted from the idle timeout that a server declares, so that no request is sent on a connection which the
    /// server is about to close.
    static constexpr Duration idleMargin = std::chrono::milliseconds(250);
    static constexpr uint64_t maxResponseBytes = 64U << 20;

    /// Bytes of an answer that are parsed at once: its head, or what stands between the pieces of a chunked body.
    static constexpr size_t maxParsedBytes = 128U << 10;

    /// Interim answers (status 1xx) that are read past before the answer to a request.
    static constexpr int maxInterimAnswers = 16;

    /// Most bytes of longer answers that all calls of request() may hold together, and the length up to which an answer
    /// does not count towards it. Servers that send without end must not take the memory that sound answers need.
    static constexpr size_t maxHeldBytes = 32U << 20;
    static constexpr size_t smallAnswerBytes = 64U << 10;

    /// Time for the answer to HttpRequest::startQuery, and its longest body.
    static constexpr Duration startQueryTimeout = std::chrono::milliseconds(400);
    static constexpr size_t maxStartAnswerBytes = 256U << 10;

    /// Called for each piece of a streamed body. Returns false to stop reading and close the connection.
    using OnBody = std::function<bool(std::string_view)>;

    /// Called with the status and headers of an answer before the first piece of its body.
    using OnHead = std::function<void(const HttpResponse&)>;

    /// Sends a request and reads the complete answer, if it is not too long. Interim answers are read past. Throws
    /// ServerUnavailableError if no connection could be opened or the request was cancelled before it was sent (the
    /// server did not run it), RequestUnsendableError if the request cannot be written (no connection is opened),
    /// OutcomeUnknownError if no complete answer with a status from 200 to 599 arrived by the deadline.
    asio::awaitable<HttpResponse> request(
        Address, HttpRequest, Instant deadline, HttpCancellation* = nullptr, OnHead = nullptr);

    /// Like request(), but passes the body to onBody piece by piece; the returned body is empty.
    asio::awaitable<HttpResponse> stream(
        Address, HttpRequest, Instant deadline, OnBody, HttpCancellation* = nullptr, OnHead = nullptr);

    /// Opens a new connection to find out whether a process listens at the address, and closes it again.
    asio::awaitable<ListenerState> probe(Address, Instant deadline);

    /// Closes all idle connections.
    void closeIdle() { idle_.clear(); }

private:
    struct Connection {
        std::unique_ptr<boost::beast::tcp_stream> stream;
        /// Start that the server stated for this connection, 0 if it states none; nothing if it has not been asked.
        std::optional<int64_t> serverStartedMs;
        CarriedRequests carried;
    };

    /// Which idle connections a request may use.
    struct ConnectionChoice {
        /// HttpRequest::latestUse.
        Instant latestUse = never;
        /// Value that the answer repeats; the connection must not have carried it. Empty for none.
        std::string echoedValue;
    };

    struct Idle {
        Connection connection;
        Instant since;
        Instant expiry;
    };

    /// An answer, and whether its connection may be used for the next request.
    struct Exchanged {
        HttpResponse response;
        bool isReusable = false;
    };

    /// Sets the error if no connection could be opened.
    asio::awaitable<std::unique_ptr<boost::beast::tcp_stream>> openNew(
        const Address&, Instant deadline, boost::system::error_code&);
    /// Takes an idle connection, or opens a new one.
    asio::awaitable<Connection> open(
        const Address&, ConnectionChoice, Instant deadline, bool prefersKnownStart = false);
    /// Nothing if there is none.
    std::optional<Connection> takeIdle(const Address&, const ConnectionChoice&, bool mustHaveKnownStart);
    /// Makes room for a new connection for a repeated request: closes those that have been idle the longest.
    void trimIdle(std::vector<Idle>&);
    /// Opens a connection for the request. If the request has a start query, the connection's start is accepted.
    asio::awaitable<Connection> openFor(const Address&, const HttpRequest&, Instant deadline, HttpCancellation&);
    /// Sends the start query of a request. Nothing if it is not answered.
    asio::awaitable<std::optional<int64_t>> askStart(
        const Address&, const HttpRequest&, Instant deadline, HttpCancellation&);
    /// Sends a request and reads its answer.
    asio::awaitable<Exchanged> exchange(
        const Address&, Connection&, HttpRequest, Instant deadline, OnBody, HttpCancellation&, OnHead);
    /// Whether a connection has neither been closed by the server nor got bytes that belong to no request.
    static bool isReusable(boost::beast::tcp_stream&);
    void keepIdle(const Address&, Connection, const HttpResponse&);

    std::map<Address, std::vector<Idle>> idle_;
    /// Bytes of long answers that request() holds. Shared with its coroutines, which may outlive the client.
    std::shared_ptr<size_t> heldBytes_ = std::make_shared<size_t>(0);
};

} // namespace endiveroad::io
