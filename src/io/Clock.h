#pragma once

#include <boost/asio/steady_timer.hpp>
#include <endiveroad/Time.h>

/// The clocks of a process, mapped onto the core's types.
namespace endiveroad::io {

/// Where time comes from, and what ends the waits for an instant.
class TimeSource {
public:
    virtual ~TimeSource() = default;

    virtual Instant now() const = 0;
    virtual int64_t wallMs() const = 0;

    /// A wait on the timer begins, which ends at the instant or when the timer is cancelled.
    virtual void begin(boost::asio::steady_timer&, Instant) = 0;

    /// The wait has ended, or its coroutine goes.
    virtual void end(boost::asio::steady_timer&) = 0;
};

TimeSource& timeSource();

/// Puts another source in the place of the machine's clocks, which null puts back. Only while nothing waits.
void useTimeSource(TimeSource*);

/// Monotonic time; counts from an arbitrary start.
Instant now();

/// Wall time in ms since the epoch; may step in either direction.
int64_t wallMs();

/// The steady_clock point of an Instant, for timers of the machine's clock.
std::chrono::steady_clock::time_point steady(Instant);

/// Milliseconds until the deadline, at least 0.
int64_t millisecondsLeft(Instant deadline);

} // namespace endiveroad::io
