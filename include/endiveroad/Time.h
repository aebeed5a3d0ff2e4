#pragma once

#include <chrono>

/// Time as the core sees it. The core never reads a clock: every entry point takes the present Instant, and state
/// machines store deadlines (Instants), never durations.
namespace endiveroad {

/// Span of time with microsecond resolution.
using Duration = std::chrono::microseconds;

/// Tag for Instants of the core. It has no now(): the I/O layer maps its monotonic clock onto it, tests choose freely.
struct CoreClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true;
};

/// Point in monotonic time of one process. Instants of different processes are not comparable.
using Instant = CoreClock::time_point;

/// A deadline that never comes.
inline constexpr Instant never = Instant::max();

} // namespace endiveroad
