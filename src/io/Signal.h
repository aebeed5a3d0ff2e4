#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <endiveroad/Time.h>
#include <map>
#include <memory>

namespace endiveroad::io {

namespace asio = boost::asio;

/// Condition variable for coroutines: wakes all that wait for a change of some state. A waiter checks the state again
/// after each wake-up.
class Signal {
public:
    explicit Signal(asio::io_context& context)
        : context_(context)
    {
    }

    void notifyAll();

    /// Waits until the next notifyAll() or the deadline.
    asio::awaitable<void> wait(Instant deadline);

private:
    class Waiter;

    /// The waiting coroutines. Shared with them, because they are destroyed with their context, possibly after the
    /// signal.
    struct Waiting {
        /// Ordered by when the waits began.
        std::map<uint64_t, asio::steady_timer*> timers;
        uint64_t last = 0;
    };

    asio::io_context& context_;
    std::shared_ptr<Waiting> waiting_ = std::make_shared<Waiting>();
};

} // namespace endiveroad::io
