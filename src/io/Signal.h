#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <endiveroad/Time.h>
#include <map>

namespace endiveroad::io {

namespace asio = boost::asio;

/// Wakes all coroutines that wait for a change of some state. A waiter looks at the state again after each wake-up.
class Signal {
public:
    explicit Signal(asio::io_context& context)
        : context_(context)
    {
    }

    void notifyAll();

    /// Returns after the next notifyAll() or at the deadline.
    asio::awaitable<void> wait(Instant deadline);

private:
    class Waiter;

    asio::io_context& context_;
    /// In the order in which they came.
    std::map<uint64_t, asio::steady_timer*> waiting_;
    uint64_t lastWaiter_ = 0;
};

} // namespace endiveroad::io
