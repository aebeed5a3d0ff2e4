#include <catch2/catch.hpp>
#include <endiveroad/ReplicaTable.h>

using namespace endiveroad;
using namespace std::chrono_literals;

TEST_CASE("an agent whose connection is lost is not shown as up until it reports again", "[routing]")
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
