#include "io/Signal.h"

#include "io/Tasks.h"

namespace endiveroad::io {

/// Registers one waiting coroutine, and unregisters it also if the coroutine is destroyed during its wait.
class Signal::Waiter {
public:
    explicit Waiter(const Signal& signal)
        : waiting_(signal.waiting_)
        , timer_(signal.context_)
        , number_(++waiting_->last)
    {
        waiting_->timers[number_] = &timer_;
    }
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;
    ~Waiter() { waiting_->timers.erase(number_); }

    asio::steady_timer& timer() { return timer_; }

private:
    std::shared_ptr<Waiting> waiting_;
    asio::steady_timer timer_;
    uint64_t number_;
};

void Signal::notifyAll()
{
    for (const auto& [number, timer] : waiting_->timers)
        timer->cancel();
}

asio::awaitable<void> Signal::wait(Instant deadline)
{
    Waiter waiter(*this);
    co_await waitUntil(waiter.timer(), deadline);
}

} // namespace endiveroad::io
