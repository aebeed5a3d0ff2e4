#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <endiveroad/Time.h>
#include <functional>

/// Starting coroutines, and waiting in them.
namespace endiveroad::io {

namespace asio = boost::asio;

/// Starts a coroutine. An exception that leaves it is logged and ends only this coroutine.
void spawn(const asio::any_io_executor&, std::function<asio::awaitable<void>()>);

/// Starts a coroutine that works until the end of the process. An exception that leaves it is logged, and it is started
/// again after a pause; it ends when it returns.
void spawnRestarting(const asio::any_io_executor&, std::function<asio::awaitable<void>()>);

/// Waits until the instant; returns early if the timer is cancelled.
asio::awaitable<void> waitUntil(asio::steady_timer&, Instant);

asio::awaitable<void> sleepFor(Duration);

} // namespace endiveroad::io
