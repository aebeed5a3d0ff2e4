#include "io/CallerBudget.h"
#include "io/HttpServer.h"
#include "io/Loop.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace endiveroad::test;
using asio::ip::tcp;

namespace {

constexpr size_t largeBody = 1U << 20;

/// Answers with the length of the body, for /large with a large body.
class Handler : public HttpHandler {
public:
    asio::awaitable<void> onHttp(HttpExchange& exchange) override
    {
        HttpResponse response;
        response.status = 200;
        response.body = exchange.query().target == "/large" ? std::string(largeBody, 'a')
                                                            : std::to_string(exchange.query().body.size());
        co_await exchange.answer(std::move(response));
    }
};

/// A server whose connections may hold three large bodies.
struct Fixture {
    asio::io_context context;
    Handler handler;
    HttpServer server { handler };
    std::shared_ptr<CallerBudget> budget;
    Address address;

    explicit Fixture(size_t connections)
    {
        CallerBounds bounds;
        bounds.bytes = 3 * largeBody + largeBody / 2;
        bounds.largeBytes = bounds.bytes;
        bounds.connections = connections;
        budget = std::make_shared<CallerBudget>(bounds);
        setProcessCallerBudget(budget);
        tcp::acceptor holder = listenOnLoopback(context);
        address = addressOf(holder);
        holder.close();
        server.start(context, address);
    }

    ~Fixture() { setProcessCallerBudget(nullptr); }

    asio::awaitable<tcp::socket> connect(std::string text)
    {
        tcp::socket socket(context);
        const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        co_await socket.async_connect(endpoint, asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
        co_return socket;
    }

    /// Everything until the server closes.
    asio::awaitable<std::string> receive(tcp::socket& socket)
    {
        std::string received;
        boost::system::error_code error;
        co_await asio::async_read(
            socket, asio::dynamic_buffer(received), asio::redirect_error(asio::use_awaitable, error));
        co_return received;
    }
};

std::string request(size_t length, size_t sent, const std::string& target = "/x")
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + std::to_string(length)
        + "\r\n\r\n" + std::string(sent, 'b');
}

} // namespace

// Guards against stalled bodies that exhaust the memory of the process, and against refusals of callers that send.
TEST_CASE("stalled bodies are refused with 503 for one that arrives", "[callers]")
{
    Fixture fixture(100);
    runToEnd(fixture.context, [&]() -> asio::awaitable<void> {
        std::vector<tcp::socket> stalled;
        for (size_t i = 0; i < 3; ++i) {
            std::string text = request(largeBody, largeBody - 1);
            tcp::socket socket = co_await fixture.connect(std::move(text));
            stalled.push_back(std::move(socket));
            const size_t held = (i + 1) * (largeBody - 1);
            const bool isHeld = co_await becomes([&] { return fixture.budget->heldBytes() >= held; });
            CHECK(isHeld);
        }
        std::string text = request(largeBody, largeBody);
        tcp::socket active = co_await fixture.connect(std::move(text));
        const std::string answer = co_await fixture.receive(active);
        CHECK(answer.find("200") != std::string::npos);
        const std::string refusal = co_await fixture.receive(stalled.front());
        CHECK(refusal.find("503") != std::string::npos);
        CHECK(refusal.find("Connection: close") != std::string::npos);
        CHECK(refusal.find("Retry-After: 1") != std::string::npos);
        CHECK(refusal.find("not_run") != std::string::npos);
    });
    CHECK(fixture.budget->heldBytes() < 3 * largeBody);
}

TEST_CASE("a large answer arrives whole, and what was held for a connection is released", "[callers]")
{
    Fixture fixture(100);
    runToEnd(fixture.context, [&]() -> asio::awaitable<void> {
        std::string text = request(largeBody, largeBody, "/large");
        tcp::socket caller = co_await fixture.connect(std::move(text));
        const std::string answer = co_await fixture.receive(caller);
        CHECK(answer.ends_with(std::string(largeBody, 'a')));
        const bool isReleased = co_await becomes([&] { return fixture.budget->heldBytes() == 0; });
        CHECK(isReleased);
    });
}

// Guards against connections without a request that take all descriptors.
TEST_CASE("connections without a request yield to new ones", "[callers]")
{
    Fixture fixture(2);
    runToEnd(fixture.context, [&]() -> asio::awaitable<void> {
        tcp::socket first = co_await fixture.connect("");
        tcp::socket second = co_await fixture.connect("");
        std::string text = request(5, 5);
        tcp::socket third = co_await fixture.connect(std::move(text));
        const std::string answer = co_await fixture.receive(third);
        CHECK(answer.find("200") != std::string::npos);
        const std::string nothing = co_await fixture.receive(first);
        CHECK(nothing.empty());
        CHECK(fixture.server.connections() <= 2);
    });
}
