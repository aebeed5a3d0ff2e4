#include "core/FixedSeed.h"

#include <catch2/catch.hpp>
#include <endiveroad/Timeline.h>

using namespace endiveroad;

namespace {

constexpr uint64_t seed = 20261203;
constexpr int caseCount = 2000;

TimelineEntry entry(
    int64_t wallMs, const std::string& node, std::vector<std::pair<std::string, std::string>> fields = {})
{
    return { { wallMs, 0 }, node, Event::CallStarted, std::move(fields) };
}

} // namespace

TEST_CASE(
    "an event after a received message has a later timestamp than its cause even if wall clocks differ or step back",
    "[timeline]")
{
    checkProperty("cause before effect", seed, caseCount, [] {
        constexpr size_t processes = 4;
        std::vector<HybridClock> clocks(processes);
        // Wall clocks differ and step back, but never by more than observe() accepts.
        const auto wallMs = [] { return *rc::gen::inRange<int64_t>(1'000'000, 1'000'000 + HybridClock::maxAheadMs); };
        const auto steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            const auto from = *rc::gen::inRange<size_t>(0, processes);
            const auto to = *rc::gen::inRange<size_t>(0, processes);
            const HybridTimestamp cause = clocks[from].tick(wallMs());
            RC_ASSERT(clocks[to].observe(clocks[from].last(), wallMs()));
            RC_ASSERT(clocks[to].tick(wallMs()) > cause);
        }
    });
}

TEST_CASE("a received timestamp too far ahead of the wall clock does not advance the local clock", "[timeline]")
{
    HybridClock clock;
    const HybridTimestamp before = clock.tick(1000);
    CHECK_FALSE(clock.observe({ 1000 + HybridClock::maxAheadMs + 1, 0 }, 1000));
    CHECK(clock.last() == before);
    CHECK(clock.observe({ 1000 + HybridClock::maxAheadMs, 7 }, 1000));
    CHECK(clock.tick(1000) == HybridTimestamp { 1000 + HybridClock::maxAheadMs, 8 });
}

TEST_CASE("merged events are ordered by timestamp and keep the order within each process", "[timeline]")
{
    const auto a1 = entry(1, "a", { { "n", "1" } });
    const auto a2 = entry(1, "a", { { "n", "2" } });
    const auto a3 = entry(9, "a");
    const auto b = entry(5, "b");
    CHECK(mergeTimelines({ { b }, { a1, a2, a3 } }) == std::vector<TimelineEntry> { a1, a2, b, a3 });
}

TEST_CASE("the event ring returns the latest events that match a query", "[timeline]")
{
    EventRing ring(5);
    const auto first = entry(1, "a", { { "request", "job/1/0/0-1" } });
    const auto other = entry(2, "a", { { "request", "job/1/01/0-1" } });
    const auto second = entry(3, "a", { { "request", "job/1/0/1-2" } });
    const auto call = entry(4, "a", { { "request", "entry-7" }, { "callerRequest", "x" } });
    for (const auto& each : { entry(0, "a"), first, other, second, call, entry(5, "a", { { "job", "job" } }) })
        ring.add(each);
    CHECK(ring.find({}).size() == 5);
    CHECK(ring.find({ 3, "", "", 100 }).size() == 3);
    CHECK(ring.find({ 0, "", "job/1/0", 100 }) == std::vector<TimelineEntry> { first, second });
    CHECK(ring.find({ 0, "", "x", 100 }) == std::vector<TimelineEntry> { call });
    CHECK(ring.find({ 0, "job", "", 100 }).size() == 4);
    CHECK(ring.find({ 0, "job", "", 2 }).front() == second);
    CHECK(ring.find({ 0, "jo", "", 100 }).empty());
}
