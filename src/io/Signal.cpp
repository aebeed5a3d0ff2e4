#include "io/Signal.h"

#include "io/Tasks.h"

namespace endiveroad::io {

/// One waiting coroutine, which may be destroyed in the middle of its wait.
class Signal::Waiter {
public:
    explicit Waiter(Signal& signal)
        : signal_(signal)
        , timer_(signal.context_)
        , number_(++signal.lastWaiter_)
    {
        signal_.waiting_[number_] = &timer_;
    }
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;
    ~Waiter() { signal_.waiting_.erase(number_); }

    asio::steady_timer& timer() { return timer_; }

private:
    Signal& signal_;
    asio::steady_timer timer_;
    uint64_t number_;
};

void Signal::notifyAll()
{
    for (const auto& [number, timer] : waiting_)
        timer->cancel();
}

asio::awaitable<void> Signal::wait(Instant deadline)
{
    Waiter waiter(*this);
    co_await waitUntil(waiter.timer(), deadline);
}

} // namespace endiveroad::io
