#include <catch2/catch.hpp>
#include <endiveroad/EventPace.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

/// Feeds events at a constant gap for the given time.
void run(EventPace& pace, Instant& now, Duration gap, Duration time)
{
    for (const Instant end = now + time; now < end;) {
        now += gap;
        pace.onEvent(gap, now);
    }
}

} // namespace

TEST_CASE("a replica that turned slow stays slow while nothing runs on it, for some seconds", "[placement]")
{
    EventPace pace;
    Instant now { 10s };
    CHECK(pace.meanMs(now) == 0);
    run(pace, now, 47ms, 4s);
    run(pace, now, 150ms, 3s);
    CHECK(pace.meanMs(now) > 120);
    // The runs have left it by now.
    CHECK(pace.meanMs(now + EventPace::recentLifetime + 1s) > 120);
    CHECK(pace.meanMs(now + EventPace::slowLifetime) == Approx(47).epsilon(0.01));
}

TEST_CASE("events at the usual pace show at once that a replica is no longer slow", "[placement]")
{
    EventPace pace;
    Instant now { 10s };
    run(pace, now, 47ms, 4s);
    run(pace, now, 150ms, 3s);
    run(pace, now, 47ms, 2s);
    CHECK(pace.meanMs(now) < 1.2 * 47);
}

TEST_CASE("an outdated mean of a replica that is not slow gives way to the long-term mean", "[placement]")
{
    EventPace pace;
    Instant now { 10s };
    run(pace, now, 47ms, 4s);
    run(pace, now, 60ms, 1s);
    CHECK(pace.meanMs(now) > 50);
    CHECK(pace.meanMs(now + EventPace::recentLifetime) < 50);
}
