#include <catch2/catch.hpp>
#include <endiveroad/ReplicaTable.h>

using namespace endiveroad;
using namespace std::chrono_literals;

TEST_CASE("an agent whose connection was lost is down and gets no requests until it reports again", "[routing]")
{
    constexpr Instant now { 1s };
    ReplicaTable table;
    ReplicaReport report;
    report.agent = "a0";
    report.incarnation = 1;
    report.sequence = 1;
    report.freeSlots = 4;
    report.isServerUp = true;
    table.onReport(report, now);
    REQUIRE(table.reports().front().isServerUp);
    table.onLost("a0");
    CHECK_FALSE(table.reports().front().isServerUp);
    CHECK_FALSE(table.acquire(now));
    table.onReport(report, now);
    CHECK(table.reports().front().isServerUp);
    CHECK(table.acquire(now) == "a0");
}

namespace {

ReplicaReport upReport(size_t number, int32_t freeSlots)
{
    ReplicaReport report;
    report.agent = "a" + std::to_string(number);
    report.incarnation = 1;
    report.sequence = 1;
    report.freeSlots = freeSlots;
    report.isServerUp = true;
    return report;
}

} // namespace

TEST_CASE("the only free replica among many is found, and none of its slots is taken twice", "[routing]")
{
    constexpr Instant now { 1s };
    constexpr size_t replicas = 1000;
    ReplicaTable table;
    for (size_t i = 0; i < replicas; ++i)
        table.onReport(upReport(i, i == 617 ? 3 : 0), now);
    for (int slot = 0; slot < 3; ++slot)
        CHECK(table.acquire(now) == "a617");
    CHECK_FALSE(table.acquire(now));
    table.release("a617");
    CHECK(table.acquire(now) == "a617");
}

TEST_CASE("two random choices balance the load over the replicas", "[routing]")
{
    constexpr Instant now { 1s };
    constexpr int32_t slots = 16;
    ReplicaTable table;
    for (size_t i = 0; i < 100; ++i)
        table.onReport(upReport(i, slots), now);
    std::map<std::string, int32_t> taken;
    for (int i = 0; i < 100 * slots / 2; ++i)
        ++taken[table.acquire(now).value()];
    for (const auto& [agent, count] : taken)
        CHECK(count <= slots * 3 / 4);
    CHECK(taken.size() == 100);
}
