#include <catch2/catch.hpp>
#include <endiveroad/BatchJob.h>
#include <endiveroad/FailedRuns.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 10s };

} // namespace

TEST_CASE("a failed run counts once, however often and from whomever its report comes", "[failures]")
{
    FailedRuns first;
    CHECK(first.add({ "i", 1, false }, start));
    CHECK_FALSE(first.add({ "i", 1, false }, start));
    CHECK(first.add({ "i", 2, false }, start));
    FailedRuns second;
    second.add({ "i", 2, false }, start);
    second.add({ "i", 3, true }, start);
    for (const FailedRun& failed : second.all(start))
        first.add(failed, start);
    CHECK(first.serverErrors("i", start) == 2);
    CHECK(first.isUnprocessable("i", start));
    CHECK(first.serverErrors("j", start) == 0);
    CHECK(first.all(start).size() == 3);
}

TEST_CASE("failed runs are forgotten in time, and kept for a bounded number of items", "[failures]")
{
    FailedRuns runs;
    runs.add({ "i", 1, false }, start);
    CHECK(runs.serverErrors("i", start + FailedRuns::lifetime - 1s) == 1);
    CHECK(runs.serverErrors("i", start + FailedRuns::lifetime) == 0);
    for (size_t i = 0; i < FailedRuns::maxItems + 10; ++i)
        runs.add({ "item-" + std::to_string(i), 1, false }, start);
    CHECK(runs.all(start).size() == FailedRuns::maxItems);
    for (size_t run = 0; run < 2 * FailedRuns::maxRunsOfItem; ++run)
        runs.add({ "busy", static_cast<int64_t>(run), false }, start + 1s);
    CHECK(runs.serverErrors("busy", start + 1s) == static_cast<int32_t>(FailedRuns::maxRunsOfItem));
}

TEST_CASE("failures for earlier owners and in earlier jobs count towards the termination of an item", "[failures]")
{
    BatchJobSpec spec;
    spec.id = "job";
    spec.items.resize(3);
    for (size_t i = 0; i < spec.items.size(); ++i)
        spec.items[i].id = "item-" + std::to_string(i);
    BatchJobPolicy policy;
    policy.maxFailedRuns = 3;
    policy.terminateAt = never;
    BatchJob job(spec, policy, 1);
    CHECK(job.onKnownFailures(0, 3, false) == ItemAction::Finished);
    CHECK(job.items()[0].result->state == ResultState::Terminated);
    CHECK(job.onKnownFailures(1, 0, true) == ItemAction::Finished);
    CHECK(job.onKnownFailures(2, 2, false) == ItemAction::None);
    const int64_t run = job.start(2, "agent", 1, { "engines", "v1" }, start);
    CHECK(job.onKnownFailures(2, 2, false) == ItemAction::None);
    RunProgress failed;
    failed.run = run;
    failed.state = RunState::Failed;
    failed.status = 500;
    CHECK(job.onProgress(2, failed, start) == ItemAction::Finished);
}
