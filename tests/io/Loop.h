#pragma once

#include "io/Clock.h"
#include "io/PeerConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>

/// Helpers that run a test's coroutines on loopback sockets.
namespace endiveroad::test {

namespace asio = boost::asio;

/// Longest time that a test waits for an event that must happen eventually. Long, so that a slow machine fails no test.
inline constexpr Duration testTimeout = std::chrono::seconds(30);

/// Runs the coroutine to its end on the context, then stops the context and rethrows the coroutine's exception.
inline void runToEnd(asio::io_context& context, std::function<asio::awaitable<void>()> body)
{
    std::exception_ptr failure;
    asio::co_spawn(context, std::move(body), [&](std::exception_ptr error) {
        failure = error;
        context.stop();
    });
    context.run();
    if (failure)
        std::rethrow_exception(failure);
}

/// An acceptor on a port that the kernel chooses.
inline asio::ip::tcp::acceptor listenOnLoopback(asio::io_context& context)
{
    return { context, { asio::ip::address_v4::loopback(), 0 } };
}

inline Address addressOf(const asio::ip::tcp::acceptor& acceptor)
{
    return { "127.0.0.1", acceptor.local_endpoint().port() };
}

/// Waits until the condition holds. Returns false if it does not within `testTimeout`.
inline asio::awaitable<bool> becomes(std::function<bool()> condition)
{
    const Instant deadline = io::now() + testTimeout;
    while (!condition() && io::now() < deadline)
        co_await io::sleepFor(std::chrono::milliseconds(2));
    co_return condition();
}

} // namespace endiveroad::test
