#include "io/HttpClient.h"
#include "VirtualTime.h"
#include "io/Loop.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <endiveroad/Error.h>
#include <fmt/format.h>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace endiveroad::test;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

/// A backend server that answers the first request of each connection with the given bytes, then closes or resets the
/// connection or leaves it open without sending more.
class RawServer {
public:
    explicit RawServer(asio::io_context& context)
        : acceptor_(listenOnLoopback(context))
    {
        spawn(context.get_executor(), [this] { return run(); });
    }

    Address address() const { return addressOf(acceptor_); }

    std::string answer;
    bool isSilentAfter = false;
    bool isReset = false;
    int connections = 0;

private:
    asio::awaitable<void> run()
    {
        while (true) {
            tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
            ++connections;
            std::string request;
            co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
            if (isReset)
                socket.set_option(asio::socket_base::linger(true, 0));
            if (isSilentAfter)
                open_.push_back(std::move(socket));
        }
    }

    tcp::acceptor acceptor_;
    std::vector<tcp::socket> open_;
};

struct Result {
    std::optional<ErrorCode> code;
    HttpResponse response;
};

asio::awaitable<Result> get(HttpClient& client, Address address, Instant deadline)
{
    Result result;
    HttpRequest request;
    try {
        result.response = co_await client.request(address, request, deadline);
    } catch (const Error& error) {
        result.code = error.code();
    }
    co_return result;
}

const std::string sizedAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789";
const std::string chunkedAnswer
    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n";

} // namespace

TEST_CASE("an answer truncated at any byte is never returned as complete")
{
    const std::string whole = GENERATE(sizedAnswer, chunkedAnswer);
    const bool isReset = GENERATE(false, true);
    asio::io_context context;
    HttpClient client;
    RawServer server(context);
    server.isReset = isReset;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        for (size_t length = 0; length <= whole.size(); ++length) {
            server.answer = whole.substr(0, length);
            const Result result = co_await get(client, server.address(), now() + testTimeout);
            if (result.code) {
                CHECK(result.code == ErrorCode::OutcomeUnknown);
            } else {
                CHECK(length == whole.size());
                CHECK(result.response.body == "0123456789");
            }
            // A reset may discard the last bytes, so only a complete answer with a clean close must be accepted.
            if (length == whole.size() && !isReset)
                CHECK_FALSE(result.code);
        }
    });
}

TEST_CASE("an answer that ends only with its connection is not accepted as complete")
{
    asio::io_context context;
    HttpClient client;
    RawServer server(context);
    server.answer = "HTTP/1.1 200 OK\r\n\r\n0123456789";
    runToEnd(context, [&]() -> asio::awaitable<void> {
        const Result result = co_await get(client, server.address(), now() + testTimeout);
        CHECK(result.code == ErrorCode::OutcomeUnknown);
    });
}

// Guards against an answer without a valid status, such as 000, that is taken for the server's answer.
TEST_CASE("an answer whose status is none of a final answer leaves the outcome unknown", "[http]")
{
    asio::io_context context;
    HttpClient client;
    RawServer server(context);
    runToEnd(context, [&]() -> asio::awaitable<void> {
        for (const char* status : { "000", "001", "099", "101", "600", "999" }) {
            server.answer = fmt::format("HTTP/1.1 {} X\r\nContent-Length: 2\r\n\r\nno", status);
            const Result result = co_await get(client, server.address(), now() + testTimeout);
            CHECK(result.code == ErrorCode::OutcomeUnknown);
        }
        for (const int status : { 200, 204, 299, 304, 404, 599 }) {
            server.answer = fmt::format("HTTP/1.1 {} X\r\nContent-Length: 0\r\n\r\n", status);
            const Result result = co_await get(client, server.address(), now() + testTimeout);
            CHECK(result.response.status == status);
        }
    });
}

// Guards against an interim answer that is taken for the final one, which would then be read as the next answer.
TEST_CASE("interim answers are read past, but not without end", "[http]")
{
    asio::io_context context;
    HttpClient client;
    RawServer server(context);
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    runToEnd(context, [&]() -> asio::awaitable<void> {
        for (const std::string& whole : { sizedAnswer, chunkedAnswer }) {
            server.answer = "HTTP/1.1 100 Continue\r\n\r\n" + interim + whole;
            const Result result = co_await get(client, server.address(), now() + testTimeout);
            CHECK(result.response.status == 200);
            CHECK(result.response.body == "0123456789");
        }
        server.answer.clear();
        for (int i = 0; i <= HttpClient::maxInterimAnswers; ++i)
            server.answer += interim;
        server.answer += sizedAnswer;
        const Result result = co_await get(client, server.address(), now() + testTimeout);
        CHECK(result.code == ErrorCode::OutcomeUnknown);
    });
}

TEST_CASE("a connection whose request timed out is not reused")
{
    asio::io_context context;
    HttpClient client;
    RawServer server(context);
    server.isSilentAfter = true;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        server.answer = sizedAnswer.substr(0, sizedAnswer.size() - 1);
        const Result cut = co_await get(client, server.address(), now() + 100ms);
        CHECK(cut.code == ErrorCode::OutcomeUnknown);
        server.answer = sizedAnswer;
        const Result whole = co_await get(client, server.address(), now() + testTimeout);
        CHECK_FALSE(whole.code);
        CHECK(server.connections == 2);
    });
}

TEST_CASE("a request whose connection could not be opened fails as not run")
{
    asio::io_context context;
    HttpClient client;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        Address address;
        {
            const tcp::acceptor closed = listenOnLoopback(context);
            address = addressOf(closed);
        }
        const Result result = co_await get(client, address, now() + testTimeout);
        CHECK(result.code == ErrorCode::ServerUnavailable);
    });
}

TEST_CASE("a request that is already cancelled is not sent")
{
    asio::io_context context;
    HttpClient client;
    RawServer server(context);
    server.answer = sizedAnswer;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        HttpCancellation cancellation;
        cancellation.cancel();
        std::optional<ErrorCode> code;
        HttpRequest request;
        try {
            co_await client.request(server.address(), request, now() + testTimeout, &cancellation);
        } catch (const Error& error) {
            code = error.code();
        }
        CHECK(code == ErrorCode::ServerUnavailable);
        CHECK(server.connections == 0);
    });
}

TEST_CASE("the head of an answer that breaks off is passed on", "[http]")
{
    asio::io_context context;
    RawServer server(context);
    server.answer = "HTTP/1.1 200 OK\r\nX-State: seen\r\nContent-Length: 10\r\n\r\nhalf";
    HttpClient client;
    std::string state;
    bool isUnknown = false;
    auto onHead = [&state](const HttpResponse& head) { state = head.header("X-State"); };
    runToEnd(context, [&]() -> asio::awaitable<void> {
        HttpRequest request;
        try {
            co_await client.request(server.address(), request, now() + testTimeout, nullptr, onHead);
        } catch (const OutcomeUnknownError&) {
            isUnknown = true;
        }
    });
    CHECK(isUnknown);
    CHECK(state == "seen");
}

TEST_CASE("a request may ask for a connection that has not been used lately", "[http]")
{
    VirtualTime time;
    asio::io_context context;
    RawServer server(context);
    server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    server.isSilentAfter = true;
    HttpClient client;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        HttpRequest first;
        co_await client.request(server.address(), first, never);
        CHECK(server.connections == 1);
        HttpRequest second;
        second.latestUse = now() - 1s;
        co_await client.request(server.address(), second, never);
        CHECK(server.connections == 2);
    });
}

namespace {

/// A server whose answers name its start, and that may start again between two connections.
class StartingServer {
public:
    explicit StartingServer(asio::io_context& context)
        : context_(context)
        , acceptor_(listenOnLoopback(context))
    {
        spawn(context.get_executor(), [this] { return accept(); });
    }

    Address address() const { return addressOf(acceptor_); }

    int64_t startedMs = 1000;
    /// Sends each answer to a query twice.
    bool isCopying = false;
    /// Does not answer queries.
    bool isSilent = false;
    int queries = 0;
    int requests = 0;

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(co_await acceptor_.async_accept(asio::use_awaitable));
            spawn(context_.get_executor(), [this, socket] { return serve(socket); });
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        std::string received;
        while (true) {
            boost::system::error_code error;
            const size_t size = co_await asio::async_read_until(
                *socket, asio::dynamic_buffer(received), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            const bool isQuery = received.starts_with("GET /start");
            received.erase(0, size);
            ++(isQuery ? queries : requests);
            if (isQuery && isSilent)
                continue;
            const std::string body = std::to_string(startedMs);
            std::string answer
                = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            if (isQuery && isCopying)
                answer += answer;
            co_await asio::async_write(*socket, asio::buffer(answer), asio::use_awaitable);
        }
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
};

/// A request to a server that is to state the start; nothing accepts any.
HttpRequest requestTo(std::optional<int64_t> startedMs)
{
    auto query = std::make_shared<StartQuery>();
    query->request.target = "/start";
    query->mayAsk = [] { return true; };
    query->startOf = [](const HttpResponse& response) { return std::stoll(response.body); };
    query->isAccepted = [startedMs](std::optional<int64_t> stated) { return !startedMs || stated == startedMs; };
    HttpRequest request;
    request.startQuery = query;
    return request;
}

asio::awaitable<Result> send(HttpClient& client, Address address, HttpRequest request)
{
    Result result;
    try {
        result.response = co_await client.request(address, request, now() + testTimeout);
    } catch (const Error& error) {
        result.code = error.code();
    }
    co_return result;
}

} // namespace

TEST_CASE("a server states its start once for each connection, and the request goes to that start", "[http]")
{
    asio::io_context context;
    StartingServer server(context);
    HttpClient client;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        const Result first = co_await send(client, server.address(), requestTo(1000));
        CHECK(first.response.serverStartedMs == 1000);
        const Result second = co_await send(client, server.address(), requestTo(1000));
        CHECK(second.response.serverStartedMs == 1000);
        CHECK(server.queries == 1);
        const Result other = co_await send(client, server.address(), requestTo(2000));
        CHECK(other.code == ErrorCode::ServerUnavailable);
        CHECK(server.requests == 2);
        client.closeIdle();
        server.startedMs = 2000;
        const Result later = co_await send(client, server.address(), requestTo(2000));
        CHECK(later.response.serverStartedMs == 2000);
        CHECK(server.queries == 2);
    });
}

TEST_CASE("a copy of the answer to a start query harms no request", "[http]")
{
    asio::io_context context;
    StartingServer server(context);
    server.isCopying = true;
    HttpClient client;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        for (int i = 0; i < 4; ++i) {
            const Result result = co_await send(client, server.address(), requestTo(1000));
            CHECK(result.response.status == 200);
        }
        CHECK(server.requests == 4);
    });
}

TEST_CASE("a server that states no start gets only requests that do not need one", "[http]")
{
    asio::io_context context;
    StartingServer server(context);
    server.isSilent = true;
    HttpClient client;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        const Result any = co_await send(client, server.address(), requestTo(std::nullopt));
        CHECK(any.response.status == 200);
        CHECK_FALSE(any.response.serverStartedMs);
        client.closeIdle();
        const Result bound = co_await send(client, server.address(), requestTo(1000));
        CHECK(bound.code == ErrorCode::ServerUnavailable);
        CHECK(server.requests == 1);
    });
}

namespace {

/// A server that sends a second copy of each answer where the answer to the next request on the connection is due.
/// Each answer names the request's id, unless hasIds is false, and the number of the request in its body.
class CopyingServer {
public:
    explicit CopyingServer(asio::io_context& context)
        : context_(context)
        , acceptor_(listenOnLoopback(context))
    {
        spawn(context.get_executor(), [this] { return accept(); });
    }

    Address address() const { return addressOf(acceptor_); }

    std::string firstLine = "HTTP/1.1 200 OK";
    bool hasIds = true;
    bool isCopying = true;
    int connections = 0;
    int requests = 0;

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(co_await acceptor_.async_accept(asio::use_awaitable));
            ++connections;
            spawn(context_.get_executor(), [this, socket] { return serve(socket); });
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        std::string received;
        std::string copy;
        while (true) {
            boost::system::error_code error;
            const size_t size = co_await asio::async_read_until(
                *socket, asio::dynamic_buffer(received), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            const size_t start = received.find("Id: ");
            const std::string id = received.substr(start, received.find("\r\n", start) - start);
            received.erase(0, size);
            const std::string body = std::to_string(++requests);
            const std::string answer = firstLine + "\r\n" + (hasIds ? id + "\r\n" : "")
                + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            const std::string sent = copy.empty() ? answer : copy;
            copy = isCopying ? answer : "";
            co_await asio::async_write(*socket, asio::buffer(sent), asio::use_awaitable);
        }
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
};

HttpRequest requestWithId(const std::string& id)
{
    HttpRequest request;
    request.headers.emplace_back("Id", id);
    request.echoedHeader = "Id";
    return request;
}

} // namespace

// Guards against a request that may run once and runs twice, as a copy of its refusal is taken for the answer to the
// second time that it is sent.
TEST_CASE("a copy of an answer is not taken for the answer to the same request sent again", "[http]")
{
    asio::io_context context;
    CopyingServer server(context);
    server.firstLine = GENERATE("HTTP/1.1 200 OK", "HTTP/1.1 503 Full", "HTTP/1.1 421 Other", "HTTP/1.1 500 Failed");
    HttpClient client;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        for (int turn = 1; turn <= 4; ++turn) {
            const Result result = co_await send(client, server.address(), requestWithId("once"));
            REQUIRE_FALSE(result.code);
            CHECK(result.response.body == std::to_string(turn));
        }
    });
}

TEST_CASE("a connection is reused for other requests, and for a request that it carried long ago", "[http]")
{
    asio::io_context context;
    CopyingServer server(context);
    server.isCopying = false;
    HttpClient client;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        for (size_t number = 0; number <= CarriedRequests::maxRequests; ++number)
            co_await send(client, server.address(), requestWithId(std::to_string(number)));
        CHECK(server.connections == 1);
        co_await send(client, server.address(), requestWithId("0"));
        CHECK(server.connections == 1);
        co_await send(client, server.address(), requestWithId("0"));
        CHECK(server.connections == 2);
        // Both connections serve what follows.
        co_await send(client, server.address(), requestWithId("other"));
        CHECK(server.connections == 2);
    });
}

// Guards against a copy of a refusal without an id that is taken for the answer to any later request.
TEST_CASE("a failure without the request's id is accepted only as the first answer on a connection", "[http]")
{
    asio::io_context context;
    CopyingServer server(context);
    server.firstLine = "HTTP/1.1 503 Full";
    server.hasIds = false;
    HttpClient client;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        const Result first = co_await send(client, server.address(), requestWithId("first"));
        CHECK(first.response.status == 503);
        const Result second = co_await send(client, server.address(), requestWithId("second"));
        CHECK(second.code == ErrorCode::OutcomeUnknown);
        const Result third = co_await send(client, server.address(), requestWithId("third"));
        CHECK(third.response.body == "3");
    });
}

// Guards against a request that is written after its sender lost the right to send it while the connection was opened.
TEST_CASE("a request that may no longer be sent once its connection is open is not written")
{
    asio::io_context context;
    HttpClient client;
    // Its connection closes without a request, which ends it.
    RawServer refused(context);
    RawServer server(context);
    server.answer = sizedAnswer;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        HttpRequest request;
        request.maySend = [] { return false; };
        std::optional<ErrorCode> code;
        try {
            co_await client.request(refused.address(), request, now() + testTimeout);
        } catch (const ServerUnavailableError& error) {
            code = error.code();
        }
        CHECK(code);
        request.maySend = [] { return true; };
        const HttpResponse response = co_await client.request(server.address(), request, now() + testTimeout);
        CHECK(response.body == "0123456789");
    });
}
