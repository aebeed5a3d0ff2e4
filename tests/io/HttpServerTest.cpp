#include "io/HttpServer.h"
#include "io/Loop.h"
#include "io/Tasks.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <map>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace endiveroad::test;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

/// Answers with the request's method; for /stream and /broken with a stream that it ends or abandons; for /wait only
/// after the caller has disconnected; for /given-up once it is to give the request up, with 503; for /stuck later than
/// that, with 503; for /second with a stream into which it answers.
class Handler : public HttpHandler {
public:
    asio::awaitable<void> onHttp(HttpExchange& exchange) override
    {
        ++requests;
        const std::string target = exchange.query().target;
        if (target == "/wait") {
            exchange.onAbort([this] { ++disconnects; });
            co_await becomes([&] { return exchange.isDisconnected(); });
        }
        if (target == "/given-up" || target == "/stuck") {
            bool isAborted = false;
            exchange.onAbort([&isAborted] { isAborted = true; });
            co_await becomes([&] { return isAborted; });
            if (target == "/stuck")
                co_await becomes([&] { return isReleased; });
            HttpResponse response = jsonResponse(503, "given up");
            co_await exchange.answer(std::move(response));
            ++late;
            co_return;
        }
        if (target != "/stream" && target != "/broken" && target != "/second") {
            HttpResponse response;
            response.status = 200;
            response.body = exchange.query().method;
            if (target == "/forged")
                response.headers.emplace_back("Retry-After", "1\r\n\r\nHTTP/1.1 200 OK");
            if (target == "/framed")
                response.headers.emplace_back("Transfer-Encoding", "gzip, chunked");
            co_await exchange.answer(std::move(response));
            co_return;
        }
        HeaderList headers;
        if (exchange.query().method == "PUT")
            headers.emplace_back("X-Forged", "1\r\n\r\nHTTP/1.1 200 OK");
        co_await exchange.beginStream(200, headers);
        co_await exchange.sendPiece("piece");
        if (target == "/second") {
            HttpResponse response = jsonResponse(502, "second");
            co_await exchange.answer(std::move(response));
        }
        if (target == "/stream")
            co_await exchange.endStream();
    }

    int requests = 0;
    int disconnects = 0;
    /// Answers to requests that were to be given up.
    int late = 0;
    bool isReleased = false;
};

/// A server under test; send() returns everything that a caller receives until the server closes.
struct Fixture {
    asio::io_context context;
    Handler handler;
    HttpServer server { handler };
    Address address;

    Fixture()
    {
        tcp::acceptor holder = listenOnLoopback(context);
        address = addressOf(holder);
        holder.close();
        server.start(context, address);
    }

    asio::awaitable<tcp::socket> connect()
    {
        tcp::socket socket(context);
        const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), address.port);
        co_await socket.async_connect(endpoint, asio::use_awaitable);
        co_return socket;
    }

    asio::awaitable<std::string> send(std::string bytes)
    {
        tcp::socket socket = co_await connect();
        boost::system::error_code ignored;
        co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ignored));
        std::string answer;
        co_await asio::async_read(
            socket, asio::dynamic_buffer(answer), asio::redirect_error(asio::use_awaitable, ignored));
        co_return answer;
    }
};

std::string statusLine(const std::string& answer)
{
    return answer.substr(0, answer.find('\r'));
}

} // namespace

TEST_CASE("malformed, oversized and pipelined requests get one error response and do not reach the handler")
{
    Fixture fixture;
    const std::string longHeader = "GET / HTTP/1.1\r\nA: " + std::string(20000, 'a') + "\r\n\r\n";
    const std::string longBody = "POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n";
    const std::string one = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::pair<std::string, std::string> cases[] {
        { "nonsense\r\n\r\n", "HTTP/1.1 400 Bad Request" },
        { "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "HTTP/1.1 400 Bad Request" },
        { "GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400 Bad Request" },
        { longHeader, "HTTP/1.1 431 Request Header Fields Too Large" },
        { longBody, "HTTP/1.1 413 Payload Too Large" },
        { one + one, "HTTP/1.1 400 Bad Request" },
    };
    runToEnd(fixture.context, [&]() -> asio::awaitable<void> {
        for (const auto& [request, expected] : cases) {
            const std::string answer = co_await fixture.send(request);
            CHECK(statusLine(answer) == expected);
        }
    });
    CHECK(fixture.handler.requests == 0);
}

TEST_CASE("a completed stream has its final chunk, and an abandoned one does not")
{
    Fixture fixture;
    runToEnd(fixture.context, [&]() -> asio::awaitable<void> {
        const std::string whole = co_await fixture.send("GET /stream HTTP/1.1\r\nConnection: close\r\n\r\n");
        CHECK(whole.ends_with("5\r\npiece\r\n0\r\n\r\n"));
        const std::string broken = co_await fixture.send("GET /broken HTTP/1.1\r\n\r\n");
        CHECK(broken.ends_with("5\r\npiece\r\n"));
    });
}

// Guards against an answer whose headers end it early or give it another framing, for example from a server's answer.
TEST_CASE("an answer that cannot be written becomes an answer of unknown outcome", "[http]")
{
    Fixture fixture;
    runToEnd(fixture.context, [&]() -> asio::awaitable<void> {
        for (const char* request :
            { "GET /forged HTTP/1.1\r\nConnection: close\r\n\r\n", "GET /framed HTTP/1.1\r\nConnection: close\r\n\r\n",
                "PUT /stream HTTP/1.1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" }) {
            const std::string answer = co_await fixture.send(request);
            CHECK(answer.starts_with("HTTP/1.1 502 "));
            CHECK(answer.find("HTTP/1.1 200") == std::string::npos);
            CHECK(answer.find("gzip") == std::string::npos);
        }
    });
}

TEST_CASE("a caller that disconnects is noticed while its request is handled")
{
    Fixture fixture;
    runToEnd(fixture.context, [&]() -> asio::awaitable<void> {
        {
            tcp::socket socket = co_await fixture.connect();
            const std::string request = "GET /wait HTTP/1.1\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
            const bool isServed = co_await becomes([&] { return fixture.handler.requests == 1; });
            CHECK(isServed);
        }
        const bool isNoticed = co_await becomes([&] { return fixture.handler.disconnects == 1; });
        CHECK(isNoticed);
    });
}

TEST_CASE("a request whose caller closed the connection before it was read does not reach the handler")
{
    Fixture fixture;
    runToEnd(fixture.context, [&]() -> asio::awaitable<void> {
        const std::string request = "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
        {
            // The request and the end of the connection are both in the socket's buffer before the server reads, as
            // after a pause of its process.
            tcp::socket socket = co_await fixture.connect();
            boost::system::error_code error;
            socket.write_some(asio::buffer(request), error);
        }
        const std::string after = co_await fixture.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
        CHECK(after.ends_with("GET"));
        CHECK(fixture.handler.requests == 1);
    });
}

// Guards against an error answer inside a stream: callers take its head for a part of the stream's body.
TEST_CASE("nothing is written of a second answer, and the stream before it ends visibly", "[http]")
{
    Fixture fixture;
    runToEnd(fixture.context, [&]() -> asio::awaitable<void> {
        const std::string received = co_await fixture.send("GET /second HTTP/1.1\r\n\r\n");
        CHECK(received.ends_with("5\r\npiece\r\n"));
        CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
    });
}

// Guards against a process that ends under requests and closes their connections without an answer.
TEST_CASE("requests without an answer are answered before the process ends, whatever their handlers do", "[http]")
{
    Fixture fixture;
    runToEnd(fixture.context, [&]() -> asio::awaitable<void> {
        std::map<std::string, std::string> answers;
        for (const std::string target : { "/given-up", "/stuck" }) {
            spawn(fixture.context.get_executor(), [&fixture, &answers, target]() -> asio::awaitable<void> {
                answers[target] = co_await fixture.send("GET " + target + " HTTP/1.1\r\n\r\n");
            });
        }
        co_await becomes([&] { return fixture.handler.requests == 2; });
        fixture.server.startDraining();
        const Instant by = now() + 200ms;
        co_await fixture.server.endUnanswered(by);
        co_await becomes([&] { return fixture.handler.late == 1; });
        co_await sleepFor(50ms);
        fixture.handler.isReleased = true;
        co_await becomes([&] { return answers.size() == 2; });
        CHECK(fixture.handler.late == 2);
        CHECK(statusLine(answers["/given-up"]) == "HTTP/1.1 503 Service Unavailable");
        CHECK(statusLine(answers["/stuck"]) == "HTTP/1.1 502 Bad Gateway");
        CHECK(answers["/stuck"].find("outcome_unknown") != std::string::npos);
        CHECK(answers["/stuck"].find("HTTP/1.1", 1) == std::string::npos);
        for (const auto& [target, answer] : answers)
            CHECK(answer.find("Connection: close") != std::string::npos);
    });
}

// Guards against callers that keep a connection to a process that drains, and send their next request there.
TEST_CASE("a stream that begins while the process drains announces the end of its connection", "[http]")
{
    Fixture fixture;
    runToEnd(fixture.context, [&]() -> asio::awaitable<void> {
        fixture.server.startDraining();
        const std::string received = co_await fixture.send("GET /stream HTTP/1.1\r\n\r\n");
        CHECK(received.find("Connection: close") != std::string::npos);
        CHECK(received.ends_with("5\r\npiece\r\n0\r\n\r\n"));
    });
}
