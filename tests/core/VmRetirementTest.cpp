#include <catch2/catch.hpp>
#include <endiveroad/VmRetirement.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 10s };

VmRetirement requested(const std::string& name)
{
    VmRetirement retirement(name);
    retirement.onRequest(7);
    return retirement;
}

const SuccessorState ready { "b", false, true };
const SuccessorState notReady { "b", false, false };

} // namespace

// Guards against the removal of the last coordinator by its own word.
TEST_CASE("a coordinator without a ready successor stays, however long it takes", "[retirement]")
{
    VmRetirement retirement = requested("a");
    CHECK(retirement.next({}, 0, start) == RetirementAction::None);
    CHECK(retirement.next({ notReady }, 0, start + 1h) == RetirementAction::None);
    CHECK(retirement.isHeld());
    CHECK_FALSE(retirement.isLeaving());
    CHECK(retirement.next({ ready }, 0, start + 2h) == RetirementAction::AnnounceLeaving);
}

TEST_CASE("open jobs are handed over before the report, for a limited time", "[retirement]")
{
    VmRetirement retirement = requested("a");
    CHECK(retirement.next({ ready }, 2, start) == RetirementAction::AnnounceLeaving);
    CHECK(retirement.next({ ready }, 1, start + 100ms) == RetirementAction::None);
    SECTION("the successor has taken them over")
    {
        CHECK(retirement.next({ ready }, 0, start + 200ms) == RetirementAction::Report);
    }
    SECTION("the time is up")
    {
        CHECK(retirement.next({ ready }, 1, start + VmRetirement::handoverTime) == RetirementAction::Report);
    }
    CHECK(retirement.successor() == "b");
}

// Guards against a report that rests on a successor that has been lost since.
TEST_CASE("a coordinator that loses its successor before the report goes on working", "[retirement]")
{
    VmRetirement retirement = requested("a");
    CHECK(retirement.next({ ready }, 2, start) == RetirementAction::AnnounceLeaving);
    CHECK(retirement.next({ notReady }, 0, start + 1s) == RetirementAction::AnnounceReturn);
    CHECK_FALSE(retirement.isLeaving());
    CHECK(retirement.next({ notReady }, 0, start + 2s) == RetirementAction::None);
}

// Guards against two coordinators that count on each other and go at the same moment.
TEST_CASE("of coordinators that all retire, the last by name stays", "[retirement]")
{
    const SuccessorState a { "a", true, true };
    const SuccessorState b { "b", true, true };
    const SuccessorState c { "c", true, true };
    VmRetirement first = requested("a");
    VmRetirement second = requested("b");
    VmRetirement third = requested("c");
    CHECK(first.next({ b, c }, 0, start) == RetirementAction::AnnounceLeaving);
    CHECK(first.successor() == "b");
    CHECK(second.next({ a, c }, 0, start) == RetirementAction::AnnounceLeaving);
    CHECK(second.successor() == "c");
    CHECK(third.next({ a, b }, 0, start) == RetirementAction::None);
    CHECK(third.isHeld());
}

TEST_CASE("a successor whose own VM stays is preferred", "[retirement]")
{
    VmRetirement retirement = requested("a");
    retirement.next({ { "b", true, true }, { "c", false, true } }, 0, start);
    CHECK(retirement.successor() == "c");
}

TEST_CASE("a coordinator whose request is withdrawn goes on working", "[retirement]")
{
    VmRetirement retirement = requested("a");
    CHECK(retirement.next({ ready }, 0, start) == RetirementAction::AnnounceLeaving);
    SECTION("before the report") { }
    SECTION("after the report")
    {
        retirement.onReported();
        CHECK(retirement.next({ ready }, 0, start + 1s) == RetirementAction::None);
        CHECK(retirement.isLeaving());
    }
    retirement.onRequest(std::nullopt);
    CHECK(retirement.next({ ready }, 0, start + 2s) == RetirementAction::AnnounceReturn);
    CHECK_FALSE(retirement.isLeaving());
    CHECK(retirement.next({ ready }, 0, start + 3s) == RetirementAction::None);
}
