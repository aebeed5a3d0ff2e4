#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <endiveroad/Time.h>
#include <functional>

/// Coroutines of a process and their timers.
namespace endiveroad::io {

namespace asio = boost::asio;

/// Starts a coroutine whose exceptions are logged and end only itself.
void spawn(const asio::any_io_executor&, std::function<asio::awaitable<void>()>);

/// Waits until the instant; returns early if the timer is cancelled.
asio::awaitable<void> waitUntil(asio::steady_timer&, Instant);

/// Sleeps for the given time.
asio::awaitable<void> sleepFor(Duration);

} // namespace endiveroad::io
