#include <catch2/catch.hpp>
#include <endiveroad/RetryBudget.h>

using namespace endiveroad;
using namespace std::chrono_literals;

// Guards against hedges that multiply the calls to a service that is already full.
TEST_CASE("an overloaded service gets hedges for a share of the first attempts only", "[overload]")
{
    constexpr Instant start { 10s };
    RetryBudget budget;
    budget.onWaiting(start);
    CHECK_FALSE(budget.mayHedge(1, start));
    int hedges = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstAttempt();
        if (budget.mayHedge(0, start)) {
            budget.onRepeat();
            ++hedges;
        }
    }
    CHECK(hedges >= 99);
    CHECK(hedges <= 110);
}

// Guards against limits in deployments that are not overloaded.
TEST_CASE("hedges are not limited while no call has waited of late", "[overload]")
{
    constexpr Instant start { 10s };
    RetryBudget budget;
    for (int i = 0; i < 100; ++i)
        budget.onRepeat();
    CHECK(budget.mayHedge(0, start));
    budget.onWaiting(start);
    CHECK_FALSE(budget.mayHedge(0, start + RetryBudget::overloadTime - Duration(1)));
    CHECK(budget.mayHedge(0, start + RetryBudget::overloadTime));
}
