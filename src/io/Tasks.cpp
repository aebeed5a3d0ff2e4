#include "io/Tasks.h"

#include "io/Clock.h"
#include "io/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endiveroad::io {

void spawn(const asio::any_io_executor& executor, std::function<asio::awaitable<void>()> body)
{
    asio::co_spawn(
        executor,
        [body = std::move(body)]() -> asio::awaitable<void> {
            try {
                co_await body();
            } catch (const std::exception& error) {
                log(Event::ProcessFailed, { { "task", error.what() } });
            }
        },
        asio::detached);
}

namespace {

/// Pause before a task that failed is started again.
constexpr Duration restartPause = std::chrono::milliseconds(200);

/// Returns whether the task ended as it should.
asio::awaitable<bool> runTask(const std::function<asio::awaitable<void>()>& body)
{
    try {
        co_await body();
        co_return true;
    } catch (const std::exception& error) {
        log(Event::TaskRestarted, { { "reason", error.what() } });
    }
    co_return false;
}

} // namespace

void spawnRestarting(const asio::any_io_executor& executor, std::function<asio::awaitable<void>()> body)
{
    asio::co_spawn(
        executor,
        [body = std::move(body)]() -> asio::awaitable<void> {
            while (!co_await runTask(body))
                co_await sleepFor(restartPause);
        },
        asio::detached);
}

namespace {

/// Registers a wait with the time source, and ends it also if the waiting coroutine is destroyed.
class Wait {
public:
    Wait(asio::steady_timer& timer, Instant instant)
        : timer_(timer)
    {
        timeSource().beginWait(timer_, instant);
    }
    Wait(const Wait&) = delete;
    Wait& operator=(const Wait&) = delete;
    ~Wait() { timeSource().endWait(timer_); }

private:
    asio::steady_timer& timer_;
};

} // namespace

asio::awaitable<void> waitUntil(asio::steady_timer& timer, Instant instant)
{
    const Wait wait(timer, instant);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    co_await waitUntil(timer, now() + duration);
}

} // namespace endiveroad::io
