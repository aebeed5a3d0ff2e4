#include "io/HttpServer.h"

#include "io/CallerBudget.h"
#include "io/Clock.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"
#include "io/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <endiveroad/Error.h>
#include <endiveroad/HttpHead.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace endiveroad::io {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Bytes of a request that are parsed at once: its head, or what stands between the pieces of a chunked body.
constexpr size_t maxParsedBytes = 1U << 20;

/// Pause before a connection is accepted again after a failure, or while there are too many.
constexpr Duration acceptPause = std::chrono::milliseconds(20);

/// Interval at which it is looked whether handlers have answered the requests that were aborted.
constexpr Duration abortCheckInterval = std::chrono::milliseconds(10);

/// Retry-After of requests for which there is no room.
constexpr Duration refusalPause = std::chrono::seconds(1);

http::response<http::string_body> toBeast(HttpResponse response, bool isKeptAlive)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    for (const auto& [name, value] : response.headers)
        message.insert(name, value);
    message.keep_alive(isKeptAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

/// Logs why an answer cannot be written; nothing if it can.
std::optional<std::string> loggedFault(const std::string& target, const HeaderList& headers)
{
    auto fault = answerHeadFault(headers);
    if (fault)
        log(Event::RequestUnsendable, { { "target", target }, { "reason", *fault } });
    return fault;
}

/// True while there are as many connections as may be and none of them may yield.
bool isAcceptPaused()
{
    const auto budget = processCallerBudget();
    return budget && budget->isFull() && !budget->mayYield();
}

HttpQuery toQuery(http::request<http::string_body> message)
{
    HttpQuery query;
    query.method = std::string(message.method_string());
    query.target = std::string(message.target());
    for (const auto& field : message)
        query.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    query.body = std::move(message.body());
    return query;
}

} // namespace

std::string_view HttpQuery::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (beast::iequals(key, name))
            return value;
    }
    return {};
}

HttpResponse jsonResponse(int status, std::string body)
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

HttpResponse errorResponse(const Error& error, Duration retryAfter)
{
    processMetrics().count(error.code());
    nlohmann::json body { { "error", { { "code", codeText(error.code()) }, { "detail", error.what() } } } };
    HttpResponse response = jsonResponse(httpStatus(error.code()), {});
    if (retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
        const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
        response.headers.emplace_back("Retry-After", fmt::format("{}", seconds));
        body["error"]["retryAfterMs"] = milliseconds;
    }
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

asio::ip::tcp::acceptor listenOn(asio::io_context& context, const Address& address)
{
    error_code error;
    const auto host = asio::ip::make_address(address.host, error);
    asio::ip::tcp::acceptor acceptor(context);
    const asio::ip::tcp::endpoint endpoint(host, address.port);
    if (!error)
        acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        throw AddressInUseError(fmt::format("cannot listen on {}: {}", address.text(), error.message()));
    return acceptor;
}

/// One connection of a caller. Reads a request, lets the handler answer it, then reads the next.
class HttpServer::Session : public HttpExchange, public CallerConnection, public std::enable_shared_from_this<Session> {
public:
    Session(HttpServer& server, asio::ip::tcp::socket socket)
        : server_(server)
        , sessions_(server.sessions_)
        , stream_(std::move(socket))
        , budget_(processCallerBudget())
    {
        sessions_->insert(this);
        if (budget_)
            account_ = budget_->open(callerId_, [this] { yield(); });
    }
    ~Session() override
    {
        sessions_->erase(this);
        if (budget_)
            budget_->close(callerId_);
    }

    asio::awaitable<void> run()
    {
        const std::shared_ptr<Session> self = shared_from_this();
        error_code ignored;
        stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        while (!isClosing_ && (!server_.isStopping_ || hasInput())) {
            if (!co_await readRequest())
                break;
            watchForDisconnect(self);
            ++server_.inFlight_;
            isHandled_ = true;
            co_await handle();
            isHandled_ = false;
            isAborted_ = false;
            --server_.inFlight_;
            onAbort_ = nullptr;
            query_ = {};
            if (account_) {
                account_->holdRequest(0);
                account_->holdAnswer(0);
            }
            ++exchangeNumber_;
        }
        stream_.close();
    }

    /// Closes the connection if the caller exceeded a time limit.
    void closeIfOverdue(Instant now)
    {
        if (now >= deadline_)
            stream_.close();
    }

    void closeIfIdle()
    {
        if (isIdle_ && !hasInput())
            stream_.close();
    }

    /// Whether the handler works on a request whose answer has come this far.
    bool isHandling(AnswerState state) const { return isHandled_ && answerState_ == state; }

    /// Tells the handler to give the request up.
    void abort()
    {
        if (std::exchange(isAborted_, true))
            return;
        if (onAbort_)
            onAbort_();
    }

    /// Answers for the handler, which may still work on the request.
    asio::awaitable<void> answerForHandler()
    {
        isClosing_ = true;
        co_await answer(errorResponse(OutcomeUnknownError("the process ends before the request does")));
    }

    const HttpQuery& query() const override { return query_; }
    AnswerState answerState() const override { return answerState_; }
    CallerAccountPtr account() const override { return account_; }
    std::string releaseBody() override { return std::move(query_.body); }
    bool isDisconnected() const override { return isDisconnected_; }
    void onAbort(std::function<void()> callback) override
    {
        onAbort_ = std::move(callback);
        if (isAborted_ && onAbort_)
            onAbort_();
    }

    asio::awaitable<void> answer(HttpResponse response) override
    {
        if (answerState_ != AnswerState::Nothing) {
            isClosing_ = true;
            log(Event::SecondAnswerDropped,
                { { "target", query_.target }, { "status", std::to_string(response.status) } });
            co_return;
        }
        answerState_ = AnswerState::All;
        if (const auto fault = loggedFault(query_.target, response.headers))
            response = errorResponse(OutcomeUnknownError("the answer cannot be passed on: " + *fault));
        if (hasPipelinedInput() || server_.isDraining_ || server_.isStopping_)
            isClosing_ = true;
        setPhase(CallerPhase::Answering);
        const bool isLarge = account_ && response.body.size() > CallerMemory::smallBytes;
        if (isLarge && !beginLargeAnswer(response.body.size()))
            co_return;
        auto message = toBeast(std::move(response), !isClosing_);
        deadline_ = now() + server_.timeouts_.write;
        error_code error;
        if (isLarge)
            co_await writeLarge(message, error);
        else
            co_await http::async_write(stream_, message, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            isClosing_ = true;
    }

    asio::awaitable<void> beginStream(int status, HeaderList headers) override
    {
        if (const auto fault = loggedFault(query_.target, headers))
            throw AnswerBrokenError("the answer cannot be passed on: " + *fault);
        requireState(AnswerState::Nothing);
        answerState_ = AnswerState::Head;
        if (server_.isDraining_)
            isClosing_ = true;
        http::response<http::empty_body> message;
        message.version(11);
        message.result(static_cast<unsigned>(status));
        for (const auto& [name, value] : headers)
            message.insert(name, value);
        message.keep_alive(!isClosing_);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        co_await writeChecked([&](error_code& error) -> asio::awaitable<void> {
            co_await http::async_write_header(stream_, serializer, asio::redirect_error(asio::use_awaitable, error));
        });
    }

    asio::awaitable<void> sendPiece(std::string_view piece) override
    {
        requireState(AnswerState::Head);
        if (piece.empty())
            co_return;
        co_await writeChecked([&](error_code& error) -> asio::awaitable<void> {
            co_await asio::async_write(stream_, http::make_chunk(asio::buffer(piece.data(), piece.size())),
                asio::redirect_error(asio::use_awaitable, error));
        });
    }

    asio::awaitable<void> endStream() override
    {
        requireState(AnswerState::Head);
        co_await writeChecked([&](error_code& error) -> asio::awaitable<void> {
            co_await asio::async_write(
                stream_, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, error));
        });
        answerState_ = AnswerState::All;
    }

private:
    using RequestParser = http::request_parser<http::string_body>;

    /// Called when this connection makes the least progress and others need what it holds. A request that is still
    /// being received is refused; else the connection is closed.
    void yield()
    {
        isYielding_ = true;
        if (phase_ == CallerPhase::Receiving)
            stream_.cancel();
        else
            stream_.close();
    }

    void requireState(AnswerState state) const
    {
        if (answerState_ != state)
            throw AnswerBrokenError("the part of the answer does not follow what has been sent");
    }

    void setPhase(CallerPhase phase)
    {
        phase_ = phase;
        if (account_)
            account_->setPhase(phase);
    }

    /// False if there is no room for the answer; the connection is closed then.
    bool beginLargeAnswer(size_t bytes)
    {
        // The body is needed no more.
        query_.body = std::string();
        account_->holdRequest(0);
        if (account_->holdAnswer(bytes))
            return true;
        isClosing_ = true;
        stream_.close();
        return false;
    }

    asio::awaitable<void> writeLarge(http::response<http::string_body>& message, error_code& error)
    {
        http::response_serializer<http::string_body> serializer(message);
        while (!error && !serializer.is_done()) {
            const size_t written = co_await http::async_write_some(
                stream_, serializer, asio::redirect_error(asio::use_awaitable, error));
            account_->onProgress(written);
        }
    }

    template <typename Write>
    asio::awaitable<void> writeChecked(Write write)
    {
        deadline_ = now() + server_.timeouts_.write;
        error_code error;
        // A caller that does not read its stream makes no progress; a server that writes nothing is not its fault.
        setPhase(CallerPhase::Answering);
        co_await write(error);
        setPhase(CallerPhase::Served);
        deadline_ = never;
        if (error) {
            isClosing_ = true;
            throw AnswerBrokenError(fmt::format("the answer could not be written to the caller: {}", error.message()));
        }
    }

    /// True if the caller has closed its connection. Then it has abandoned the request, possibly long ago while this
    /// process was paused, and the request must not be started.
    bool hasCallerLeft()
    {
        char byte = 0;
        error_code error;
        stream_.socket().non_blocking(true, error);
        stream_.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return error && error != asio::error::would_block;
    }

    /// True if the socket holds received bytes that are not read yet.
    bool hasInput()
    {
        error_code error;
        return stream_.socket().is_open() && stream_.socket().available(error) > 0;
    }

    bool hasPipelinedInput() const { return buffer_.size() > 0; }

    asio::awaitable<bool> readRequest()
    {
        answerState_ = AnswerState::Nothing;
        RequestParser parser;
        parser.header_limit(server_.sizes_.maxHeaderBytes);
        parser.body_limit(server_.sizes_.maxBodyBytes);
        error_code error;
        isIdle_ = buffer_.size() == 0;
        setPhase(isIdle_ ? CallerPhase::Idle : CallerPhase::Receiving);
        deadline_ = now() + (isIdle_ ? server_.timeouts_.idle : server_.timeouts_.request);
        if (isIdle_) {
            co_await stream_.socket().async_wait(
                asio::socket_base::wait_read, asio::redirect_error(asio::use_awaitable, error));
            isIdle_ = false;
            deadline_ = now() + server_.timeouts_.request;
            setPhase(CallerPhase::Receiving);
        }
        if (!error)
            co_await http::async_read_header(
                stream_, buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
        if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue"))
            co_await sendContinue(error);
        if (!error)
            co_await readBody(parser, error);
        if (isYielding_ || isRefused_) {
            parser.get().body() = std::string();
            co_await refuse(std::string(parser.get().target()));
            co_return false;
        }
        if (error) {
            co_await answerReadError(error);
            co_return false;
        }
        if (hasPipelinedInput()) {
            isClosing_ = true;
            co_await answer(errorResponse(BadRequestError("pipelined requests are not supported")));
            co_return false;
        }
        if (hasCallerLeft()) {
            isClosing_ = true;
            co_await answer(
                errorResponse(BadRequestError("the caller closed the connection before the request was started")));
            co_return false;
        }
        isClosing_ = !parser.get().keep_alive();
        setPhase(CallerPhase::Served);
        query_ = toQuery(parser.release());
        co_return true;
    }

    /// Reads the body, in one operation if there is no budget or the body is small.
    asio::awaitable<void> readBody(RequestParser& parser, error_code& error)
    {
        const auto length = parser.content_length();
        const bool isSmall = parser.is_done() || (length && *length <= CallerMemory::smallBytes);
        if (!account_ || isSmall) {
            isRefused_ = account_ && !parser.is_done() && !account_->holdRequest(*length);
            if (!isRefused_)
                co_await http::async_read(stream_, buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
            co_return;
        }
        parser.eager(true);
        while (!error && !isRefused_ && !parser.is_done()) {
            const size_t received = co_await http::async_read_some(
                stream_, buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
            account_->onProgress(received);
            isRefused_ = !account_->holdRequest(parser.get().body().size());
        }
    }

    /// Answers a request that was not read whole, and so has not run.
    asio::awaitable<void> refuse(std::string target)
    {
        isClosing_ = true;
        account_->holdRequest(0);
        if (!stream_.socket().is_open())
            co_return;
        const NotRunError error("the process holds too much for callers; the request was not read whole");
        log(Event::CallGivenUp,
            { { "target", std::move(target) }, { "code", std::string(codeText(error.code())) },
                { "reason", error.what() }, { "heldBytes", std::to_string(budget_->heldBytes()) } });
        HttpResponse response = errorResponse(error, refusalPause);
        co_await answer(std::move(response));
    }

    asio::awaitable<void> sendContinue(error_code& error)
    {
        http::response<http::empty_body> message(http::status::continue_, 11);
        co_await http::async_write(stream_, message, asio::redirect_error(asio::use_awaitable, error));
    }

    asio::awaitable<void> answerReadError(const error_code& error)
    {
        isClosing_ = true;
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            co_await answer(errorResponse(HeadersTooLargeError("the header section is too large")));
        else if (error == http::error::body_limit)
            co_await answer(errorResponse(BodyTooLargeError("the body is too large")));
        else if (error.category() == make_error_code(http::error::bad_method).category()
            && error != http::error::end_of_stream && error != http::error::partial_message)
            co_await answer(errorResponse(BadRequestError(error.message())));
    }

    asio::awaitable<void> handle()
    {
        try {
            co_await server_.handler_.onHttp(*this);
        } catch (const std::exception& error) {
            log(Event::CallOutcomeUnknown, { { "target", query_.target }, { "reason", error.what() } });
        }
        if (answerState_ == AnswerState::Head)
            isClosing_ = true;
        if (answerState_ == AnswerState::Nothing)
            co_await answer(errorResponse(OutcomeUnknownError("the entry failed while it handled the request")));
    }

    /// Detects an end of stream while a request is handled: the caller has closed its connection.
    void watchForDisconnect(std::shared_ptr<Session> self)
    {
        deadline_ = never;
        const uint64_t exchange = exchangeNumber_;
        stream_.socket().async_wait(asio::socket_base::wait_read, [self, exchange](error_code error) {
            if (error || exchange != self->exchangeNumber_)
                return;
            if (!self->hasCallerLeft())
                return;
            self->isDisconnected_ = true;
            self->isClosing_ = true;
            self->abort();
        });
    }

    HttpServer& server_;
    std::shared_ptr<std::set<Session*>> sessions_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_ { maxParsedBytes };
    std::shared_ptr<CallerBudget> budget_;
    CallerAccountPtr account_;
    CallerId callerId_ = 0;
    CallerPhase phase_ = CallerPhase::Idle;
    /// The budget has closed the account of this connection.
    bool isYielding_ = false;
    /// The budget has no room for the body.
    bool isRefused_ = false;
    HttpQuery query_;
    std::function<void()> onAbort_;
    uint64_t exchangeNumber_ = 0;
    /// When the current time limit of the caller ends; never while the handler works on its request.
    Instant deadline_ = never;
    bool isIdle_ = false;
    bool isClosing_ = false;
    /// Of the current request, or of the last one.
    AnswerState answerState_ = AnswerState::Nothing;
    bool isHandled_ = false;
    bool isAborted_ = false;
    bool isDisconnected_ = false;
};

HttpServer::HttpServer(HttpHandler& handler, HttpTimeouts timeouts)
    : handler_(handler)
    , timeouts_(timeouts)
    , sessions_(std::make_shared<std::set<Session*>>())
{
}

HttpServer::~HttpServer() = default;

void HttpServer::start(asio::io_context& context, const Address& address)
{
    acceptor_ = std::make_unique<asio::ip::tcp::acceptor>(listenOn(context, address));
    spawn(context.get_executor(), [this] { return acceptLoop(); });
    spawn(context.get_executor(), [this] { return closeOverdue(); });
}

asio::awaitable<void> HttpServer::closeOverdue()
{
    while (true) {
        co_await sleepFor(timeouts_.check);
        const auto sessions = *sessions_;
        for (Session* session : sessions)
            session->closeIfOverdue(now());
    }
}

void HttpServer::stopAccepting()
{
    isStopping_ = true;
    error_code error;
    if (acceptor_) {
        // Connections in the kernel's accept queue may already carry requests.
        acceptor_->non_blocking(true, error);
        while (!error) {
            asio::ip::tcp::socket socket(acceptor_->get_executor());
            acceptor_->accept(socket, error);
            if (!error)
                serve(std::move(socket));
        }
        acceptor_->close(error);
    }
    const auto sessions = *sessions_;
    for (Session* session : sessions)
        session->closeIfIdle();
}

bool HttpServer::abort(AnswerState state)
{
    const auto sessions = *sessions_;
    bool hasAny = false;
    for (Session* session : sessions) {
        if (!session->isHandling(state))
            continue;
        hasAny = true;
        session->abort();
    }
    return hasAny;
}

void HttpServer::abortStreams()
{
    abort(AnswerState::Head);
}

asio::awaitable<void> HttpServer::endUnanswered(Instant by)
{
    while (abort(AnswerState::Nothing) && now() < by)
        co_await sleepFor(std::min<Duration>(abortCheckInterval, by - now()));
    const auto sessions = *sessions_;
    for (Session* session : sessions) {
        if (!session->isHandling(AnswerState::Nothing))
            continue;
        const std::shared_ptr<Session> shared = session->shared_from_this();
        spawn(acceptor_->get_executor(), [shared] { return shared->answerForHandler(); });
    }
}

asio::awaitable<void> HttpServer::acceptLoop()
{
    while (!isStopping_) {
        // Further connections wait in the kernel's queue, so that descriptors are left for servers and peers.
        if (isAcceptPaused()) {
            co_await sleepFor(acceptPause);
            continue;
        }
        error_code error;
        auto socket = co_await acceptor_->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            if (!isStopping_)
                co_await sleepFor(acceptPause);
            continue;
        }
        serve(std::move(socket));
    }
}

void HttpServer::serve(asio::ip::tcp::socket socket)
{
    auto session = std::make_shared<Session>(*this, std::move(socket));
    if (const auto budget = processCallerBudget())
        budget->closeExcess();
    spawn(acceptor_->get_executor(), [session] { return session->run(); });
}

} // namespace endiveroad::io
