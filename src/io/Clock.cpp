#include "io/Clock.h"

#include <algorithm>

namespace endiveroad::io {

Instant now()
{
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

int64_t wallMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

std::chrono::steady_clock::time_point steady(Instant instant)
{
    if (instant == never)
        return std::chrono::steady_clock::time_point::max();
    return std::chrono::steady_clock::time_point(instant.time_since_epoch());
}

int64_t millisecondsLeft(Instant deadline)
{
    const Duration left = std::max(deadline - now(), Duration::zero());
    return std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
}

} // namespace endiveroad::io
