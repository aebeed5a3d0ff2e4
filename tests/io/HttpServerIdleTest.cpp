#include "io/Clock.h"
#include "io/HttpServer.h"
#include "io/PeerConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace endiveroad;
using namespace endiveroad::io;

namespace {

constexpr HttpTimeouts shortTimeouts { std::chrono::milliseconds(100), std::chrono::milliseconds(100),
    std::chrono::milliseconds(100), std::chrono::milliseconds(10) };

/// Answers after a delay longer than all timeouts of the server.
class SlowHandler : public HttpHandler {
public:
    asio::awaitable<void> onHttp(HttpExchange& exchange) override
    {
        co_await sleepFor(4 * shortTimeouts.idle);
        HttpResponse response = jsonResponse(200, "slow answer");
        co_await exchange.answer(std::move(response));
    }
};

/// Sends the text to a server with short timeouts and returns everything received until the server closes.
std::string exchange(const std::string& text)
{
    asio::io_context context;
    SlowHandler handler;
    HttpServer server(handler, shortTimeouts);
    // The kernel chooses a free port, which is closed again so that the server can bind it.
    const auto port = listenOn(context, { "127.0.0.1", 0 }).local_endpoint().port();
    server.start(context, { "127.0.0.1", port });
    std::string received;
    auto body = [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket(context);
        co_await socket.async_connect({ asio::ip::make_address("127.0.0.1"), port }, asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
        boost::system::error_code error;
        co_await asio::async_read(
            socket, asio::dynamic_buffer(received), asio::redirect_error(asio::use_awaitable, error));
    };
    asio::co_spawn(context, body, [&](std::exception_ptr) { context.stop(); });
    context.run_for(std::chrono::seconds(20));
    CHECK(context.stopped());
    return received;
}

} // namespace

TEST_CASE("a caller that sends no request or only a part of one is disconnected", "[http]")
{
    CHECK(exchange("").empty());
    CHECK(exchange("GET /x HT").find("200") == std::string::npos);
}

TEST_CASE("a connection is closed when idle after its answer, but not while its request is handled", "[http]")
{
    const std::string received = exchange("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(received.find("200 OK") != std::string::npos);
    CHECK(received.find("slow answer") != std::string::npos);
}
