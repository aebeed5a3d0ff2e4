#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <endiveroad/Time.h>
#include <map>
#include <memory>

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

    /// Who waits. Coroutines are destroyed with their context, which may be after the signal.
    struct Waiting {
        /// In the order in which they came.
        std::map<uint64_t, asio::steady_timer*> timers;
        uint64_t last = 0;
    };

    asio::io_context& context_;
    std::shared_ptr<Waiting> waiting_ = std::make_shared<Waiting>();
};

} // namespace endiveroad::io
