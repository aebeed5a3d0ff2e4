#include "JobHistory.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using endiveroad::io::test::JobHistory;

namespace {

/// RapidCheck draws 100 first seeds; each runs this many histories, with consecutive seeds.
constexpr int casesPerSeed = 15;
constexpr int caseCount = 100 * casesPerSeed;

} // namespace

TEST_CASE("one random history of batch jobs, with the seed in ENDIVEROAD_SEED", "[.job-history]")
{
    const char* seed = std::getenv("ENDIVEROAD_SEED");
    CHECK(JobHistory(seed ? std::strtoull(seed, nullptr, 10) : 1).run() == "");
}

// Guards against results that are missing in an owner's memory: the end of the job was stored, or may have been, while
// the outcome of an append was unknown, and another coordinator reads the results from the store.
TEST_CASE("histories of batch jobs that failed once", "[jobs]")
{
    for (const uint64_t seed : { 19944U, 136525521U })
        CHECK(JobHistory(seed).run() == "");
}

TEST_CASE("results of batch jobs keep their positions despite failing coordinators and store", "[jobs]")
{
    int accepted = 0;
    int listed = 0;
    int takeOvers = 0;
    int ends = 0;
    const bool hasPassed = rc::check("random histories of job ownership and result listing", [&](uint64_t first) {
        for (uint64_t seed = first; seed < first + casesPerSeed; ++seed) {
            JobHistory history(seed);
            const std::string violation = history.run();
            accepted += history.acceptedJobs();
            listed += history.listedItems();
            takeOvers += history.takeOvers();
            ends += history.ends();
            if (!violation.empty())
                RC_FAIL(std::to_string(seed) + ": " + violation);
        }
    });
    CHECK(hasPassed);
    // Guards against histories in which too little happens for the checks to mean anything.
    CHECK(accepted > caseCount);
    CHECK(listed > 2 * caseCount);
    CHECK(takeOvers > caseCount);
    CHECK(ends > caseCount / 10);
}
