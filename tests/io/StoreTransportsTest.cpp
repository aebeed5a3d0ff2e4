#include "io/hosted/StoreTransports.h"
#include "io/Loop.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <endiveroad/Error.h>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace endiveroad::test;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

/// A store that never answers the requests it receives while it is silent.
class UnresponsiveStore {
public:
    explicit UnresponsiveStore(asio::io_context& context)
        : context_(context)
        , acceptor_(listenOnLoopback(context))
    {
        spawn(context.get_executor(), [this] { return run(); });
    }

    Address address() const { return addressOf(acceptor_); }

    bool isSilent = true;
    int requestCount = 0;

private:
    asio::awaitable<void> run()
    {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(co_await acceptor_.async_accept(asio::use_awaitable));
            spawn(context_.get_executor(), [this, socket] { return serve(socket); });
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        std::string request;
        co_await asio::async_read_until(*socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::use_awaitable);
        ++requestCount;
        if (isSilent) {
            unansweredSockets_.push_back(socket);
            co_return;
        }
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        co_await asio::async_write(*socket, asio::buffer(answer), asio::use_awaitable);
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<tcp::socket>> unansweredSockets_;
};

struct CallResult {
    bool isFinished = false;
    std::optional<ErrorCode> code;
};

asio::awaitable<void> call(
    DirectStoreTransport& store, bool mayWait, Instant deadline, std::shared_ptr<CallResult> result)
{
    try {
        HttpRequest request;
        co_await store.send(std::move(request), deadline, mayWait);
    } catch (const Error& error) {
        result->code = error.code();
    }
    result->isFinished = true;
}

} // namespace

TEST_CASE("calls that an unresponsive store never answers are cancelled when it answers later ones", "[store]")
{
    asio::io_context context;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        UnresponsiveStore server(context);
        HttpClient http;
        DirectStoreTransport store(http, server.address());
        const Instant deadline = now() + testTimeout;
        const auto start = [&](bool mayWait) {
            auto result = std::make_shared<CallResult>();
            spawn(context.get_executor(),
                [&store, mayWait, deadline, result] { return call(store, mayWait, deadline, result); });
            return result;
        };
        const auto unanswered = start(false);
        const auto watch = start(true);
        CHECK(co_await becomes([&] { return server.requestCount == 2; }));
        server.isSilent = false;
        // An answer to a call that was sent at about the same time cancels nothing.
        const auto early = start(false);
        CHECK(co_await becomes([&] { return early->isFinished; }));
        CHECK_FALSE(unanswered->isFinished);
        co_await sleepFor(DirectStoreTransport::overtakingMargin + 10ms);
        const auto late = start(false);
        CHECK(co_await becomes([&] { return late->isFinished && unanswered->isFinished; }));
        CHECK_FALSE(late->code);
        CHECK(unanswered->code == ErrorCode::OutcomeUnknown);
        CHECK_FALSE(watch->isFinished);
    });
}
