#include "JobHistory.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using endiveroad::io::test::JobHistory;

namespace {

/// RapidCheck draws a hundred first seeds; each stands for this many histories.
constexpr int historiesOfOneDraw = 15;
constexpr int histories = 100 * historiesOfOneDraw;

} // namespace

TEST_CASE("one history of jobs, of the seed in ENDIVEROAD_SEED", "[.job-history]")
{
    const char* seed = std::getenv("ENDIVEROAD_SEED");
    CHECK(JobHistory(seed ? std::strtoull(seed, nullptr, 10) : 1).run() == "");
}

TEST_CASE("positions of batch jobs last whatever coordinators and store do", "[jobs]")
{
    int accepted = 0;
    int listed = 0;
    int takeOvers = 0;
    int ends = 0;
    const bool isHeld = rc::check("histories of ownership and listing", [&](uint64_t first) {
        for (uint64_t seed = first; seed < first + historiesOfOneDraw; ++seed) {
            JobHistory history(seed);
            const std::string broken = history.run();
            accepted += history.acceptedJobs();
            listed += history.listedItems();
            takeOvers += history.takeOvers();
            ends += history.ends();
            if (!broken.empty())
                RC_FAIL(std::to_string(seed) + ": " + broken);
        }
    });
    CHECK(isHeld);
    // Histories in which nothing happens would prove nothing.
    CHECK(accepted > histories);
    CHECK(listed > 2 * histories);
    CHECK(takeOvers > histories);
    CHECK(ends > histories / 10);
}
