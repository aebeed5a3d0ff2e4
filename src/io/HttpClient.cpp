#include "io/HttpClient.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <endiveroad/Error.h>
#include <endiveroad/HttpHead.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr size_t streamPieceBytes = 16 << 10;

/// Statuses of final answers (RFC 9110, section 15); those from 100 up to them belong to interim answers.
constexpr int lowestInterimStatus = 100;
constexpr int lowestFinalStatus = 200;
constexpr int highestFinalStatus = 599;

/// An interim answer that no request asks for, since none has an Upgrade header.
constexpr int statusSwitchingProtocols = 101;

using AnswerParser = http::response_parser<http::buffer_body>;

/// Registers the stream with the cancellation for the duration of a request.
class CancellationScope {
public:
    CancellationScope(beast::tcp_stream*& slot, beast::tcp_stream* stream)
        : slot_(slot)
    {
        slot_ = stream;
    }
    CancellationScope(const CancellationScope&) = delete;
    CancellationScope& operator=(const CancellationScope&) = delete;
    ~CancellationScope() { slot_ = nullptr; }

private:
    beast::tcp_stream*& slot_;
};

/// Throws RequestUnsendableError.
void requireSendable(const Address& address, const HttpRequest& request)
{
    const auto fault = requestHeadFault({ request.method, request.target, request.headers, request.body.size() });
    if (!fault)
        return;
    log(Event::RequestUnsendable, { { "server", address.text() }, { "reason", *fault } });
    throw RequestUnsendableError(*fault);
}

/// The only place that writes the head of a request. Throws RequestUnsendableError.
http::request<http::string_body> toBeast(const Address& address, HttpRequest request)
{
    requireSendable(address, request);
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const auto& [name, value] : request.headers)
        message.insert(name, value);
    if (message.find(http::field::host) == message.end())
        message.set(http::field::host, address.text());
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

HttpResponse toResponse(const http::response_header<>& header)
{
    HttpResponse response;
    response.status = static_cast<int>(header.result_int());
    for (const auto& field : header)
        response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return response;
}

std::string headerValue(const HeaderList& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (beast::iequals(key, name))
            return value;
    }
    return {};
}

/// Value of HttpRequest::echoedHeader; empty if the request has none.
std::string echoedValue(const HttpRequest& request)
{
    return request.echoedHeader.empty() ? std::string() : headerValue(request.headers, request.echoedHeader);
}

/// True unless echoedHeader shows that the answer belongs to another request, or leaves it open.
bool isAnswerTo(
    const std::string& sent, const std::string& echoedHeader, const HttpResponse& response, bool isFirstOfConnection)
{
    if (echoedHeader.empty())
        return true;
    const std::string_view echoed = response.header(echoedHeader);
    // A failure may lack the header. On a connection with earlier answers it may be a copy of one of them.
    if (echoed.empty() && !sent.empty())
        return !response.isSuccess() && isFirstOfConnection;
    return echoed == sent;
}

/// How long the connection may be reused: the timeout in the Keep-Alive header less idleMargin, or idleLifetime if the
/// server declares none.
Duration declaredIdleLifetime(const HttpResponse& response)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string_view keepAlive = response.header("Keep-Alive");
    const size_t start = keepAlive.find(parameter);
    if (start == std::string_view::npos)
        return HttpClient::idleLifetime;
    int seconds = 0;
    const std::string_view digits = keepAlive.substr(start + parameter.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds) - HttpClient::idleMargin;
}

/// What went wrong with an answer, for the caller.
std::string describe(const error_code& error)
{
    const bool isTooLong = error == http::error::header_limit || error == http::error::body_limit
        || error == http::error::buffer_overflow;
    if (isTooLong)
        return "the answer is too long";
    const bool isBroken = error == http::error::end_of_stream || error == http::error::partial_message;
    if (!isBroken && error.category() == http::make_error_code(http::error::bad_version).category())
        return fmt::format("the answer is not valid HTTP: {}", error.message());
    return error.message();
}

[[noreturn]] void throwOutcomeUnknown(const Address& address, const error_code& error)
{
    throw OutcomeUnknownError(fmt::format("{}: {}", address.text(), describe(error)));
}

bool isInterim(int status)
{
    return status >= lowestInterimStatus && status < lowestFinalStatus && status != statusSwitchingProtocols;
}

/// Reads the head of the answer, and past the interim answers before it. Throws OutcomeUnknownError.
asio::awaitable<void> readHead(
    const Address& address, beast::tcp_stream& stream, beast::flat_buffer& buffer, std::optional<AnswerParser>& parser)
{
    int status = lowestInterimStatus;
    for (int answers = 0; isInterim(status); ++answers) {
        if (answers > HttpClient::maxInterimAnswers)
            throw OutcomeUnknownError(fmt::format("{}: too many interim answers", address.text()));
        error_code error;
        parser.emplace();
        parser->body_limit(HttpClient::maxResponseBytes);
        co_await http::async_read_header(stream, buffer, *parser, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            throwOutcomeUnknown(address, error);
        status = static_cast<int>(parser->get().result_int());
    }
    const bool isFinal = status >= lowestFinalStatus && status <= highestFinalStatus;
    if (!isFinal)
        throw OutcomeUnknownError(fmt::format("{}: {:03} is no status of an answer", address.text(), status));
}

/// Collects a body, within the limits on one body and on all that are collected at the same time.
class BodyCollector {
public:
    BodyCollector(std::shared_ptr<size_t> heldBytes, size_t maxBytes)
        : heldBytes_(std::move(heldBytes))
        , maxBytes_(maxBytes)
    {
    }
    BodyCollector(const BodyCollector&) = delete;
    BodyCollector& operator=(const BodyCollector&) = delete;
    ~BodyCollector() { *heldBytes_ -= countedBytes_; }

    /// Returns false if the body is too long; the piece is not added then.
    bool add(std::string_view piece)
    {
        const size_t size = body_.size() + piece.size();
        const size_t counted = size > HttpClient::smallAnswerBytes ? size - countedBytes_ : 0;
        isTooLong_ = size > maxBytes_ || *heldBytes_ + counted > HttpClient::maxHeldBytes;
        if (isTooLong_)
            return false;
        *heldBytes_ += counted;
        countedBytes_ += counted;
        body_.append(piece);
        return true;
    }

    bool isTooLong() const { return isTooLong_; }
    std::string release() { return std::move(body_); }

private:
    std::shared_ptr<size_t> heldBytes_;
    size_t maxBytes_;
    size_t countedBytes_ = 0;
    std::string body_;
    bool isTooLong_ = false;
};

} // namespace

std::string_view HttpResponse::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (beast::iequals(key, name))
            return value;
    }
    return {};
}

HttpRequest jsonRequest(std::string method, std::string target, std::string body)
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = std::move(body);
    return request;
}

void CarriedRequests::add(const std::string& value)
{
    const size_t hash = std::hash<std::string>()(value);
    if (hashes_.size() < maxRequests) {
        hashes_.push_back(hash);
        return;
    }
    hashes_[oldest_] = hash;
    oldest_ = (oldest_ + 1) % maxRequests;
}

bool CarriedRequests::contains(const std::string& value) const
{
    return std::find(hashes_.begin(), hashes_.end(), std::hash<std::string>()(value)) != hashes_.end();
}

void HttpCancellation::cancel()
{
    isCancelled_ = true;
    if (stream_)
        stream_->close();
}

bool HttpClient::isReusable(beast::tcp_stream& stream)
{
    char byte = 0;
    error_code error;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

std::optional<HttpClient::Connection> HttpClient::takeIdle(
    const Address& address, const ConnectionChoice& choice, bool mustHaveKnownStart)
{
    auto& idle = idle_[address];
    // Connections are kept in the order of their last use. The one used last is the least likely to have been closed.
    for (size_t i = idle.size(); i > 0; --i) {
        const auto candidate = idle.begin() + static_cast<ptrdiff_t>(i) - 1;
        const bool isLeftOut = mustHaveKnownStart && !candidate->connection.serverStartedMs;
        const bool isRepeat = !choice.echoedValue.empty() && candidate->connection.carried.contains(choice.echoedValue);
        if (candidate->since > choice.latestUse || isLeftOut || isRepeat)
            continue;
        Idle taken = std::move(*candidate);
        idle.erase(candidate);
        if (taken.expiry >= now() && isReusable(*taken.connection.stream))
            return std::move(taken.connection);
    }
    return std::nullopt;
}

void HttpClient::trimIdle(std::vector<Idle>& idle)
{
    if (idle.size() > maxIdleBesideRepeat)
        idle.erase(idle.begin(), idle.end() - static_cast<ptrdiff_t>(maxIdleBesideRepeat));
}

void HttpClient::keepIdle(const Address& address, Connection connection, const HttpResponse& response)
{
    auto& idle = idle_[address];
    connection.stream->expires_never();
    const Instant expiry = now() + std::min(idleLifetime, declaredIdleLifetime(response));
    if (idle.size() < maxIdlePerAddress)
        idle.push_back({ std::move(connection), now(), expiry });
}

asio::awaitable<std::unique_ptr<beast::tcp_stream>> HttpClient::openNew(
    const Address& address, Instant deadline, error_code& error)
{
    auto stream = std::make_unique<beast::tcp_stream>(co_await asio::this_coro::executor);
    const auto host = asio::ip::make_address(address.host, error);
    if (!error) {
        stream->expires_at(toSteadyTime(deadline));
        const asio::ip::tcp::endpoint endpoint(host, address.port);
        co_await stream->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    }
    co_return stream;
}

asio::awaitable<ListenerState> HttpClient::probe(Address address, Instant deadline)
{
    error_code error;
    const auto stream = co_await openNew(address, deadline, error);
    if (error == asio::error::connection_refused || error == asio::error::connection_reset)
        co_return ListenerState::Refusing;
    co_return error ? ListenerState::Silent : ListenerState::Listening;
}

asio::awaitable<HttpClient::Connection> HttpClient::open(
    const Address& address, ConnectionChoice choice, Instant deadline, bool prefersKnownStart)
{
    std::optional<Connection> idle;
    if (prefersKnownStart)
        idle = takeIdle(address, choice, true);
    if (!idle)
        idle = takeIdle(address, choice, false);
    if (idle)
        co_return std::move(*idle);
    // What is left of the idle connections has carried the request, unless all that were used lately are left out.
    const bool isRepeat = choice.latestUse == never && !idle_[address].empty();
    if (isRepeat)
        trimIdle(idle_[address]);
    processMetrics().count(isRepeat ? Counter::ConnectionsForRepeats : Counter::ConnectionsOpened);
    error_code error;
    auto stream = co_await openNew(address, deadline, error);
    if (error == asio::error::connection_refused)
        throw ConnectionRefusedError(fmt::format("{}: {}", address.text(), error.message()));
    if (error)
        throw ServerUnavailableError(fmt::format("{}: {}", address.text(), error.message()));
    stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
    Connection connection;
    connection.stream = std::move(stream);
    co_return connection;
}

asio::awaitable<HttpClient::Connection> HttpClient::openFor(
    const Address& address, const HttpRequest& request, Instant deadline, HttpCancellation& cancel)
{
    const std::shared_ptr<const StartQuery> query = request.startQuery;
    const Instant connectDeadline = std::min(deadline, request.connectDeadline);
    ConnectionChoice choice { request.latestUse, echoedValue(request) };
    Connection connection = co_await open(address, std::move(choice), connectDeadline, query != nullptr);
    if (!query)
        co_return connection;
    if (!connection.serverStartedMs && !cancel.isCancelled() && query->mayAsk())
        connection.serverStartedMs = co_await askStart(address, request, deadline, cancel);
    if (query->isAccepted(connection.serverStartedMs))
        co_return connection;
    keepIdle(address, std::move(connection), HttpResponse());
    throw ServerStartError(fmt::format("{}: the server did not state the registered start", address.text()));
}

asio::awaitable<std::optional<int64_t>> HttpClient::askStart(
    const Address& address, const HttpRequest& request, Instant deadline, HttpCancellation& cancel)
{
    std::string body;
    auto collect = [&body](std::string_view piece) {
        body.append(piece);
        return body.size() <= maxStartAnswerBytes;
    };
    std::optional<int64_t> startedMs;
    try {
        const Instant answerDeadline = std::min(deadline, now() + startQueryTimeout);
        HttpRequest query = request.startQuery->request;
        ConnectionChoice choice { request.latestUse, echoedValue(query) };
        Connection connection = co_await open(address, std::move(choice), answerDeadline);
        Exchanged exchanged
            = co_await exchange(address, connection, std::move(query), answerDeadline, collect, cancel, nullptr);
        exchanged.response.body = std::move(body);
        // A server that does not know the query states nothing.
        startedMs = exchanged.response.isSuccess() ? request.startQuery->startOf(exchanged.response) : 0;
        connection.serverStartedMs = startedMs;
        if (exchanged.isReusable)
            keepIdle(address, std::move(connection), exchanged.response);
    } catch (const Error& error) {
        log(Event::ServerStartUnknown, { { "server", address.text() }, { "reason", error.what() } });
    }
    co_return startedMs;
}

asio::awaitable<HttpResponse> HttpClient::request(
    Address address, HttpRequest request, Instant deadline, HttpCancellation* cancellation, OnHead onHead)
{
    BodyCollector body(heldBytes_, request.maxAnswerBytes);
    auto collect = [&body](std::string_view piece) { return body.add(piece); };
    HttpResponse response
        = co_await stream(address, std::move(request), deadline, collect, cancellation, std::move(onHead));
    if (body.isTooLong())
        throw OutcomeUnknownError(fmt::format("{}: the answer is too long", address.text()));
    response.body = body.release();
    co_return response;
}

asio::awaitable<HttpResponse> HttpClient::stream(Address address, HttpRequest request, Instant deadline, OnBody onBody,
    HttpCancellation* cancellation, OnHead onHead)
{
    HttpCancellation unused;
    HttpCancellation& cancel = cancellation ? *cancellation : unused;
    requireSendable(address, request);
    if (cancel.isCancelled())
        throw ServerUnavailableError("the request was cancelled before it was sent");
    Connection connection = co_await openFor(address, request, deadline, cancel);
    if (cancel.isCancelled())
        throw ServerUnavailableError("the request was cancelled before it was sent");
    if (request.maySend && !request.maySend())
        throw ServerUnavailableError("the request may no longer be sent");
    Exchanged exchanged = co_await exchange(
        address, connection, std::move(request), deadline, std::move(onBody), cancel, std::move(onHead));
    if (exchanged.isReusable)
        keepIdle(address, std::move(connection), exchanged.response);
    co_return std::move(exchanged.response);
}

asio::awaitable<HttpClient::Exchanged> HttpClient::exchange(const Address& address, Connection& connection,
    HttpRequest request, Instant deadline, OnBody onBody, HttpCancellation& cancel, OnHead onHead)
{
    beast::tcp_stream& stream = *connection.stream;
    const std::string sentValue = echoedValue(request);
    const std::string echoedHeader = request.echoedHeader;
    const bool isFirstOfConnection = connection.carried.isEmpty();
    connection.carried.add(sentValue);
    const bool isCloseDelimitedBodyAllowed = request.isCloseDelimitedBodyAllowed;
    const CancellationScope scope(cancel.stream_, &stream);
    stream.expires_at(toSteadyTime(deadline));
    auto message = toBeast(address, std::move(request));
    error_code error;
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        throwOutcomeUnknown(address, error);

    beast::flat_buffer buffer(maxParsedBytes);
    std::optional<AnswerParser> answerParser;
    co_await readHead(address, stream, buffer, answerParser);
    AnswerParser& parser = *answerParser;
    Exchanged exchanged;
    exchanged.response = toResponse(parser.get());
    exchanged.response.serverStartedMs = connection.serverStartedMs;
    if (!isAnswerTo(sentValue, echoedHeader, exchanged.response, isFirstOfConnection)) {
        processMetrics().count(Counter::ForeignAnswers);
        throw OutcomeUnknownError(fmt::format("{}: the answer belongs to another request", address.text()));
    }
    if (onHead)
        onHead(exchanged.response);
    std::string piece(streamPieceBytes, '\0');
    while (!parser.is_done()) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        parser.get().body().more = true;
        co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer)
            error = {};
        const size_t received = piece.size() - parser.get().body().size;
        if (received > 0 && !onBody(std::string_view(piece).substr(0, received)))
            co_return exchanged;
        if (error)
            throwOutcomeUnknown(address, error);
    }
    // A body delimited only by the end of the connection cannot be told from a truncated one.
    if (parser.get().need_eof() && !isCloseDelimitedBodyAllowed)
        throw OutcomeUnknownError(
            fmt::format("{}: the answer has neither a Content-Length nor chunked encoding, so it may be truncated",
                address.text()));
    // Bytes after the answer belong to no request, so a connection that delivered any is not reused.
    exchanged.isReusable
        = parser.get().keep_alive() && !parser.get().need_eof() && !cancel.isCancelled() && buffer.size() == 0;
    co_return exchanged;
}

} // namespace endiveroad::io
