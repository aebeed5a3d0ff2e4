#pragma once

#include <chrono>

/// Time types of the core library. The core never reads a clock: callers pass the current Instant to every function
/// that needs it. State machines store deadlines as Instants, never as durations.
namespace endiveroad {

/// Span of time with microsecond resolution.
using Duration = std::chrono::microseconds;

/// Clock type of Instant. It has no now(): the I/O layer converts its monotonic clock, and tests choose any time.
struct CoreClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true;
};

/// Point in monotonic time of one process. Instants of different processes are not comparable.
using Instant = CoreClock::time_point;

/// A deadline that never passes.
inline constexpr Instant never = Instant::max();

} // namespace endiveroad
