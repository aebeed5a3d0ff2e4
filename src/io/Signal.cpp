#include "io/Signal.h"

#include "io/Tasks.h"

namespace endiveroad::io {

void Signal::notifyAll()
{
    for (asio::steady_timer* timer : waiting_)
        timer->cancel();
}

asio::awaitable<void> Signal::wait(Instant deadline)
{
    asio::steady_timer timer(context_);
    waiting_.insert(&timer);
    co_await waitUntil(timer, deadline);
    waiting_.erase(&timer);
}

} // namespace endiveroad::io
