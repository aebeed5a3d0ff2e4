#include <catch2/catch.hpp>
#include <endiveroad/TextLengths.h>

using namespace endiveroad;

// Guards against lengths in tokens being compared with speeds in events, which hold many tokens each.
TEST_CASE("Text lengths: the ratio of events to expected tokens is learned for each model")
{
    TextLengths lengths;
    for (size_t i = 0; i < TextLengths::minTexts; ++i) {
        CHECK_FALSE(lengths.eventsPerToken("a"));
        lengths.add("a", 600, 10);
    }
    REQUIRE(lengths.eventsPerToken("a"));
    CHECK(*lengths.eventsPerToken("a") == Approx(10.0 / 600));
    CHECK_FALSE(lengths.eventsPerToken("b"));
}

// Guards against a ratio that stays at its first value when the texts change.
TEST_CASE("Text lengths: the ratio follows the texts, and texts without a length are ignored")
{
    TextLengths lengths;
    for (int i = 0; i < 100; ++i)
        lengths.add("a", 600, 10);
    for (int i = 0; i < 2000; ++i)
        lengths.add("a", 600, 20);
    lengths.add("a", 0, 50);
    lengths.add("a", 600, 0);
    CHECK(*lengths.eventsPerToken("a") == Approx(20.0 / 600).epsilon(0.01));
}
