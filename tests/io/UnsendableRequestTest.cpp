#include "io/HttpClient.h"
#include "io/Loop.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <endiveroad/Error.h>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace endiveroad::test;
using asio::ip::tcp;

namespace {

/// Counts the connections that are opened to it and answers none.
class CountingServer {
public:
    explicit CountingServer(asio::io_context& context)
        : acceptor_(listenOnLoopback(context))
    {
        spawn(context.get_executor(), [this]() -> asio::awaitable<void> {
            while (true) {
                sockets_.push_back(co_await acceptor_.async_accept(asio::use_awaitable));
                ++connections;
            }
        });
    }

    Address address() const { return addressOf(acceptor_); }

    int connections = 0;

private:
    tcp::acceptor acceptor_;
    std::vector<tcp::socket> sockets_;
};

HttpRequest requestWith(std::string name, std::string value)
{
    HttpRequest request;
    request.headers.emplace_back(std::move(name), std::move(value));
    return request;
}

std::vector<HttpRequest> unsendableRequests()
{
    std::vector<HttpRequest> requests { requestWith("X", "x\r\n\r\nGET /hidden HTTP/1.1"),
        requestWith("X: x\r\nY", "y"), requestWith("Transfer-Encoding", "chunked, x"),
        requestWith("Transfer-Encoding ", "chunked"), requestWith("Content-Length", "0"),
        requestWith("X", std::string(100'000, 'x')) };
    for (const char* target : { "/x HTTP/1.1\r\nX: ", "/x y", "/x#y", "http://other/x", "" }) {
        HttpRequest request;
        request.target = target;
        requests.push_back(request);
    }
    HttpRequest trace;
    trace.method = "TRACE";
    trace.body = "x";
    requests.push_back(trace);
    HttpRequest method;
    method.method = "GET /hidden HTTP/1.1\r\n\r\nGET";
    requests.push_back(method);
    return requests;
}

/// What the request fails with; nothing if it is answered.
asio::awaitable<std::optional<ErrorCode>> failureOf(HttpClient& client, Address address, HttpRequest request)
{
    try {
        co_await client.request(std::move(address), std::move(request), now() + testTimeout);
    } catch (const Error& error) {
        co_return error.code();
    }
    co_return std::nullopt;
}

} // namespace

// Guards against text that is written into a head without a check, from whatever source it comes.
TEST_CASE("a request that cannot be written opens no connection, and is no failure of its server", "[http]")
{
    asio::io_context context;
    HttpClient client;
    CountingServer server(context);
    runToEnd(context, [&]() -> asio::awaitable<void> {
        for (const HttpRequest& request : unsendableRequests()) {
            const auto failure = co_await failureOf(client, server.address(), request);
            CHECK(failure == ErrorCode::RequestUnsendable);
        }
        CHECK(server.connections == 0);
    });
}
