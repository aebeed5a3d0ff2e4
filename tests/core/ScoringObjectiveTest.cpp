#include <catch2/catch.hpp>
#include <endiveroad/BatchJob.h>
#include <endiveroad/ScoringObjective.h>

using namespace endiveroad;
using namespace std::chrono_literals;

// Guards against scoring calls of a step with seconds left that make callers' calls late, and against scoring calls
// that wait without a bound.
TEST_CASE("the objective of a scoring call follows from the time that its job has left", "[overload]")
{
    constexpr Instant now { 10s };
    const auto objective = [now](Instant dueAt) { return scoringObjective(now, 150ms, now + 1500ms, dueAt); };
    CHECK(objective(now + 7500ms) == now + 750ms);
    CHECK(objective(never) == now + 750ms);
    CHECK(objective(now + BatchJob::flushLeadTime + 300ms) == now + 300ms);
    CHECK(objective(now + BatchJob::flushLeadTime) == now + 150ms);
    CHECK(objective(now - 5s) == now + 150ms);
    CHECK(shouldYield(now, 150ms, now + 750ms));
    CHECK_FALSE(shouldYield(now + 600ms, 150ms, now + 750ms));
    CHECK_FALSE(shouldYield(now, 150ms, now + 150ms));
}
