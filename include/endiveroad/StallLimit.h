#pragma once

#include <cstdint>
#include <endiveroad/Time.h>

/// How long a run may deliver nothing before it counts as stalled.
namespace endiveroad {

/// Doublings of the limit; further stalls do not raise it.
inline constexpr int32_t maxStallDoublings = 4;

/// The limit of an item of which this many runs have stalled without an event: twice as long for each. Load pattern: a
/// replica that hangs is to be left soon, but a sound one may be slower than the limit, all replicas of the model may
/// be, and then an item that starts elsewhere again and again never ends.
constexpr Duration stallLimitAfter(Duration firstLimit, int32_t stalls)
{
    const int32_t doublings = stalls < 0 ? 0 : stalls > maxStallDoublings ? maxStallDoublings : stalls;
    return firstLimit * (1 << doublings);
}

} // namespace endiveroad
