#pragma once

#include <boost/asio/steady_timer.hpp>
#include <endiveroad/Time.h>

/// The clocks of a process in the types of the core.
namespace endiveroad::io {

/// Provides the time and ends waits for an instant. Tests replace it with a virtual one.
class TimeSource {
public:
    virtual ~TimeSource() = default;

    virtual Instant now() const = 0;
    virtual int64_t wallMs() const = 0;

    /// Total time for which the machine has been suspended, which now() does not count.
    virtual Duration suspendedTime() const { return Duration::zero(); }

    /// Called before a coroutine waits on the timer. Must make the wait end at the instant.
    virtual void beginWait(boost::asio::steady_timer&, Instant) = 0;

    /// Called when the wait has ended or its coroutine is destroyed.
    virtual void endWait(boost::asio::steady_timer&) = 0;
};

TimeSource& timeSource();

/// Replaces the machine's clocks by another source; null restores them. Call only while nothing waits.
void useTimeSource(TimeSource*);

/// Monotonic time since an arbitrary start.
Instant now();

/// Total time for which the machine has been suspended since it booted; now() does not count it.
Duration suspendedTime();

/// Wall-clock time in ms since the epoch; may jump forwards or backwards.
int64_t wallMs();

/// Converts an Instant of the machine's clock to a time point for Boost.Asio timers.
std::chrono::steady_clock::time_point toSteadyTime(Instant);

/// Milliseconds until the deadline, at least 0.
int64_t millisecondsLeft(Instant deadline);

} // namespace endiveroad::io
