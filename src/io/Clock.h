#pragma once

#include <endiveroad/Time.h>

/// The clocks of a process, mapped onto the core's types.
namespace endiveroad::io {

/// Monotonic time; counts from an arbitrary start.
Instant now();

/// Wall time in ms since the epoch; may step in either direction.
int64_t wallMs();

/// The steady_clock point of an Instant, for timers.
std::chrono::steady_clock::time_point steady(Instant);

/// Milliseconds until the deadline, at least 0.
int64_t millisecondsLeft(Instant deadline);

} // namespace endiveroad::io
