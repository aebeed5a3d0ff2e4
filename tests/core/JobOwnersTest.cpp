#include <catch2/catch.hpp>
#include <endiveroad/JobOwners.h>

using namespace endiveroad;

// Guards against reads at a partitioned former owner: an entry that starts hears of a job from both coordinators.
TEST_CASE("older news of a job's owner do not replace newer ones", "[jobs]")
{
    JobOwners owners;
    owners.update("job", "former", 3);
    owners.update("job", "present", 7);
    owners.update("job", "former", 3);
    CHECK(owners.owner("job") == "present");
    owners.update("job", "next", 9);
    CHECK(owners.owner("job") == "next");
    CHECK(owners.owner("other").empty());
}

TEST_CASE("an owner that does not answer is asked again once a record names it or another one", "[jobs]")
{
    JobOwners owners;
    owners.update("job", "a", 3);
    owners.forgetOwner("job");
    CHECK(owners.owner("job").empty());
    CHECK(owners.contains("job"));
    owners.update("job", "older", 2);
    CHECK(owners.owner("job").empty());
    owners.update("job", "a", 3);
    CHECK(owners.owner("job") == "a");
}

TEST_CASE("the number of jobs with a known owner is bounded", "[jobs]")
{
    JobOwners owners;
    for (size_t i = 0; i <= JobOwners::maxJobs; ++i)
        owners.update(std::to_string(i), "a", 1);
    CHECK_FALSE(owners.contains("0"));
    CHECK(owners.contains(std::to_string(JobOwners::maxJobs)));
}
