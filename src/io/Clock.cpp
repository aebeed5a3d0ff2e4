#include "io/Clock.h"

#include <algorithm>
#include <ctime>

namespace endiveroad::io {

namespace {

Duration sinceBoot(clockid_t clock)
{
    timespec time {};
    clock_gettime(clock, &time);
    return std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

class MachineTime : public TimeSource {
public:
    Instant now() const override
    {
        return Instant(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
    }

    int64_t wallMs() const override
    {
        using namespace std::chrono;
        return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    }

    Duration suspendedTime() const override { return sinceBoot(CLOCK_BOOTTIME) - sinceBoot(CLOCK_MONOTONIC); }

    void beginWait(boost::asio::steady_timer& timer, Instant instant) override
    {
        timer.expires_at(toSteadyTime(instant));
    }
    void endWait(boost::asio::steady_timer&) override { }
};

MachineTime machineTime;
TimeSource* currentSource = &machineTime;

} // namespace

TimeSource& timeSource()
{
    return *currentSource;
}

void useTimeSource(TimeSource* source)
{
    currentSource = source ? source : &machineTime;
}

Instant now()
{
    return currentSource->now();
}

Duration suspendedTime()
{
    return currentSource->suspendedTime();
}

int64_t wallMs()
{
    return currentSource->wallMs();
}

std::chrono::steady_clock::time_point toSteadyTime(Instant instant)
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
