#include <catch2/catch.hpp>
#include <endiveroad/Error.h>
#include <endiveroad/JobCoordinator.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr size_t noLimit = 1000;

JobDeclaration declaration(bool wholeGroups)
{
    JobDeclaration job;
    job.name = "job";
    job.rollout.stalenessBound = 1;
    job.rollout.wholeGroups = wholeGroups;
    return job;
}

StepRequest step(StepNumber number)
{
    return { number, 2, { { "p", 10 }, { "p", 40 }, { "q", 20 }, { "q", 30 } } };
}

Sample sampleOf(const StepRequest& step, uint32_t index, WeightVersion version)
{
    Sample sample;
    sample.job = "job";
    sample.step = step.step;
    sample.index = index;
    sample.stepDigest = step.digest();
    sample.tokens = 1;
    sample.text = "t";
    sample.segments = { { 0, 1, version } };
    return sample;
}

} // namespace

TEST_CASE("samples are dispatched once each, the largest token limit first", "[coordinator]")
{
    JobCoordinator coordinator(declaration(true));
    coordinator.submit(step(1), {});
    std::vector<uint32_t> order;
    while (const auto dispatch = coordinator.next({}))
        order.push_back(dispatch->index);
    CHECK(order == std::vector<uint32_t> { 1, 3, 2, 0 });
}

TEST_CASE("a job with whole groups gets no incomplete group", "[coordinator]")
{
    const StepRequest request = step(1);
    for (const bool wholeGroups : { true, false }) {
        JobCoordinator coordinator(declaration(wholeGroups));
        coordinator.submit(request, {});
        coordinator.onSample(sampleOf(request, 0, 0), {});
        CHECK(coordinator.fetch(Cursor("job"), {}, noLimit, {}).samples.size() == (wholeGroups ? 0 : 1));
        coordinator.onSample(sampleOf(request, 1, 0), {});
        CHECK(coordinator.fetch(Cursor("job"), {}, noLimit, {}).samples.size() == 2);
    }
}

TEST_CASE("samples without known versions for all tokens or with a different step digest are rejected", "[coordinator]")
{
    const StepRequest request = step(1);
    JobCoordinator coordinator(declaration(false));
    coordinator.submit(request, {});
    Sample gap = sampleOf(request, 0, 0);
    gap.tokens = 2;
    CHECK_FALSE(coordinator.onSample(gap, {}));
    CHECK_FALSE(coordinator.onSample(sampleOf(request, 0, unknownVersion), {}));
    Sample other = sampleOf(request, 0, 0);
    other.stepDigest ^= 1;
    CHECK_FALSE(coordinator.onSample(other, {}));
    CHECK(coordinator.fetch(Cursor("job"), {}, noLimit, {}).samples.empty());
}

TEST_CASE("a step number cannot be reused for different content", "[coordinator]")
{
    JobCoordinator coordinator(declaration(false));
    CHECK(coordinator.submit(step(1), {}));
    CHECK_FALSE(coordinator.submit(step(1), {}));
    StepRequest other = step(1);
    other.samples[0].prompt = "r";
    CHECK_THROWS_AS(coordinator.submit(other, {}), StepConflictError);
}

TEST_CASE("a rollback takes effect, and a delayed older policy does not", "[coordinator]")
{
    JobCoordinator coordinator(declaration(false));
    coordinator.onPolicy({ 9, 9 });
    coordinator.onPolicy({ 5, 8 });
    CHECK(coordinator.oldestUsableVersion() == 8);
    coordinator.onPolicy({ 5, 10 });
    CHECK(coordinator.oldestUsableVersion() == 4);
}

TEST_CASE("a straggler gets one duplicate attempt, and only the first result is accepted", "[coordinator]")
{
    const StepRequest request = step(1);
    JobCoordinator coordinator(declaration(false));
    coordinator.submit(request, {});
    const Instant start {};
    const auto late = coordinator.next(start);
    coordinator.next(start);
    Sample fast = sampleOf(request, 3, 0);
    fast.tokens = 30;
    fast.segments = { { 0, 30, 0 } };
    REQUIRE(coordinator.onSample(fast, start + 3s));
    // The rate is 10 tokens per second, so sample 1 with its 40 tokens is a straggler after 6 s (1.5 * 4 s).
    CHECK_FALSE(coordinator.nextDuplicate(start + 5s));
    const auto duplicate = coordinator.nextDuplicate(start + 7s);
    REQUIRE(duplicate);
    CHECK(duplicate->index == late->index);
    CHECK_FALSE(coordinator.nextDuplicate(start + 60s));
    coordinator.onAttemptFailed(*late, start + 8s, start + 8s);
    CHECK(coordinator.onSample(sampleOf(request, 1, 0), start + 9s));
    CHECK_FALSE(coordinator.onSample(sampleOf(request, 1, 0), start + 9s));
}

TEST_CASE("a failed attempt is not retried before its delay", "[coordinator]")
{
    JobCoordinator coordinator(declaration(false));
    coordinator.submit({ 1, 1, { { "p", 1 } } }, {});
    const Instant start {};
    const auto first = coordinator.next(start);
    coordinator.onAttemptFailed(*first, start + 1s, start);
    CHECK(coordinator.nextDeadline() == start + 1s);
    CHECK_FALSE(coordinator.next(start));
    CHECK(coordinator.next(start + 1s)->attempt == 2);
}

TEST_CASE("a failed scoring call is not retried before its delay, and its late score is ignored", "[coordinator]")
{
    const StepRequest request = step(1);
    JobDeclaration job = declaration(false);
    job.scoringPool = "scorer";
    JobCoordinator coordinator(job);
    coordinator.submit(request, {});
    const Instant start {};
    coordinator.onSample(sampleOf(request, 2, 0), start);
    CHECK(coordinator.nextScoring(noLimit, start).size() == 1);
    CHECK(coordinator.nextScoring(noLimit, start).empty());
    coordinator.onScoringFailed(1, 2, start + 1s, start);
    coordinator.onScore(1, 2, 0.5);
    CHECK(coordinator.nextScoring(noLimit, start).empty());
    CHECK(coordinator.fetch(Cursor("job"), {}, noLimit, start).samples.empty());
    REQUIRE(coordinator.nextScoring(noLimit, start + 1s).size() == 1);
    coordinator.onScore(1, 2, 0.75);
    CHECK(coordinator.fetch(Cursor("job"), {}, noLimit, start).samples.at(0).score == 0.75);
}
