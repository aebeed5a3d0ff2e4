#include <catch2/catch.hpp>
#include <endiveroad/DrainSchedule.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant toldAt { 100s };

} // namespace

// Guards against streams that a process begins when they can't end before it does.
TEST_CASE("a stream begins early in a drain, or if its caller waits no longer than the process lasts", "[drain]")
{
    const DrainSchedule schedule = DrainSchedule::within(toldAt, 8s);
    const Instant late = toldAt + 20s;
    CHECK(schedule.mayBeginStream(toldAt, late));
    CHECK(schedule.mayBeginStream(schedule.streamsUntil() - 1ms, late));
    CHECK_FALSE(schedule.mayBeginStream(schedule.streamsUntil(), late));
    CHECK_FALSE(schedule.mayBeginStream(toldAt + 3s, late));
    CHECK(schedule.mayBeginStream(toldAt + 3s, schedule.endsAt()));
    CHECK_FALSE(schedule.mayBeginStream(toldAt + 3s, schedule.endsAt() + 1ms));
}

// Guards against calls that wait for their own deadline while the process ends before it.
TEST_CASE("a request that is answered as a whole has until the last answers of the process", "[drain]")
{
    const DrainSchedule schedule = DrainSchedule::within(toldAt, 8s);
    CHECK(schedule.answerBy(toldAt + 1s) == toldAt + 1s);
    CHECK(schedule.answerBy(toldAt + 20s) == schedule.answersDueAt());
    CHECK(schedule.endsAt() - schedule.answersDueAt() == DrainSchedule::answerTime);
    CHECK(toldAt + 8s - schedule.endsAt() == DrainSchedule::graceMargin);
}

// Guards against a process that still accepts connections when it is killed.
TEST_CASE("the steps of a drain keep their order within any grace time", "[drain]")
{
    for (const Duration graceTime : { 0ms, 10ms, 300ms, 1000ms, 2000ms, 4000ms, 8000ms, 60000ms }) {
        const DrainSchedule schedule = DrainSchedule::within(toldAt, graceTime);
        CHECK(schedule.streamsUntil() >= toldAt);
        CHECK(schedule.streamsUntil() <= schedule.connectionsUntil());
        CHECK(schedule.connectionsUntil() <= schedule.answersDueAt());
        CHECK(schedule.answersDueAt() <= schedule.endsAt());
        CHECK(schedule.endsAt() <= toldAt + graceTime);
    }
}
