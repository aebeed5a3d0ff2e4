#include <catch2/catch.hpp>
#include <endiveroad/WeightPlan.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

std::vector<ReplicaReport> reports(size_t count, WeightVersion version)
{
    std::vector<ReplicaReport> result;
    for (size_t i = 0; i < count; ++i) {
        ReplicaReport report;
        report.agent = "agent" + std::to_string(i);
        report.version = version;
        report.isServerUp = true;
        result.push_back(report);
    }
    return result;
}

} // namespace

TEST_CASE("no more replicas swap at once than the share allows", "[weights]")
{
    WeightPlan plan;
    CHECK(plan.agentsToSwap(reports(6, 0), 0.34, {}).empty());
    plan.announce({ { 1, 1 }, "w" });
    CHECK(plan.agentsToSwap(reports(6, 0), 0.34, {}).size() == 2);
    CHECK(plan.agentsToSwap(reports(6, 0), 0.34, {}).empty());
    plan.onLoadOrderEnded("agent0", true, {});
    CHECK(plan.agentsToSwap(reports(6, 0), 0.34, {}) == std::vector<std::string> { "agent2" });
}

TEST_CASE("a hung swap does not block the roll-out, but no more than twice the share swaps", "[weights]")
{
    WeightPlan plan;
    plan.announce({ { 1, 1 }, "" });
    Instant now {};
    auto seen = reports(6, 0);
    REQUIRE(plan.agentsToSwap(seen, 0.2, now) == std::vector<std::string> { "agent0" });
    now += WeightPlan::overdueTimeout - 1us;
    CHECK(plan.agentsToSwap(seen, 0.2, now).empty());
    now += 1us;
    CHECK(plan.agentsToSwap(seen, 0.2, now) == std::vector<std::string> { "agent1" });
    now += WeightPlan::overdueTimeout;
    CHECK(plan.agentsToSwap(seen, 0.2, now).empty());
    plan.onLoadOrderEnded("agent1", true, now);
    seen[1].version = 1;
    CHECK(plan.agentsToSwap(seen, 0.2, now) == std::vector<std::string> { "agent2" });
}

TEST_CASE("a delayed older announcement is ignored, a rollback with a higher order is not", "[weights]")
{
    WeightPlan plan;
    CHECK(plan.announce({ { 5, 5 }, "" }));
    CHECK_FALSE(plan.announce({ { 4, 4 }, "" }));
    CHECK(plan.announce({ { 3, 6 }, "" }));
    CHECK(plan.newest().policy.version == 3);
    CHECK(plan.agentsToSwap(reports(1, 5), 1, {}).size() == 1);
}

TEST_CASE("a replica that keeps failing is reported as set aside once, and retried later", "[weights]")
{
    WeightPlan plan;
    plan.announce({ { 1, 1 }, "" });
    Instant now {};
    uint32_t failures = 0;
    bool isSetAside = false;
    while (!isSetAside && failures < 100) {
        REQUIRE(plan.agentsToSwap(reports(1, 0), 1, now).size() == 1);
        isSetAside = plan.onLoadOrderEnded("agent0", false, now);
        ++failures;
        CHECK(plan.agentsToSwap(reports(1, 0), 1, now).empty());
        now += WeightPlan::maxRetryDelay;
    }
    CHECK(failures == WeightPlan::failuresUntilSetAside);
    CHECK(plan.isSetAside("agent0"));
    CHECK(plan.agentsToSwap(reports(1, 0), 1, now).size() == 1);
    plan.onLoadOrderEnded("agent0", true, now);
    CHECK_FALSE(plan.isSetAside("agent0"));
}
