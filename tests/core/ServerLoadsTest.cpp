#include <catch2/catch.hpp>
#include <endiveroad/ServerLoads.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 10s };
const std::vector<std::string> servers { "s0", "s1", "s2" };

} // namespace

TEST_CASE("a slow server gets fewer calls than the others", "[servers]")
{
    ServerLoads loads(1);
    std::map<std::string, int> calls;
    for (int i = 0; i < 300; ++i) {
        const std::string chosen = *loads.choose(servers, {}, start);
        ++calls[chosen];
        loads.onStart(chosen);
        loads.onAnswer(chosen, chosen == "s1" ? Duration(200ms) : Duration(25ms), start);
    }
    CHECK(calls["s1"] < 30);
    CHECK(calls["s0"] > 30);
}

TEST_CASE("calls in flight and reported load direct calls to other servers", "[servers]")
{
    ServerLoads loads(1);
    loads.onStart("s0");
    loads.onLoadReport("s1", 5, 2, start);
    CHECK(loads.choose(servers, {}, start) == "s2");
    CHECK(loads.choose({ "s1", "s2" }, {}, start + ServerLoads::loadLifetime));
}

TEST_CASE("a server that failed is chosen last, and one that was tried never", "[servers]")
{
    ServerLoads loads(1);
    loads.onStart("s0");
    loads.onFailure("s0", start);
    for (int i = 0; i < 20; ++i)
        CHECK(loads.choose(servers, {}, start) != "s0");
    CHECK(loads.choose(servers, { "s1", "s2" }, start) == "s0");
    CHECK_FALSE(loads.choose(servers, { "s0", "s1", "s2" }, start));
}
