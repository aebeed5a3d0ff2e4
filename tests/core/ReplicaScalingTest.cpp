#include <catch2/catch.hpp>
#include <endiveroad/ReplicaScaling.h>

using namespace endiveroad;

namespace {

const ScalingSubject subject { "pool", "domain-a" };
const ReplicaBounds bounds { 2, 12, std::chrono::seconds(4) };

/// Demand in steps of five seconds, each followed by a pause of five.
ScalingObservation demandAt(int second, double busy)
{
    ScalingObservation observation;
    observation.bounds = bounds;
    observation.replicas = 4;
    observation.slotsPerReplica = 6;
    observation.busySlots = second % 10 < 5 ? busy : 0;
    return observation;
}

Instant at(int second)
{
    return Instant::min() + std::chrono::hours(1) + std::chrono::seconds(second);
}

/// Lets the platform accept every decision; returns all of them.
std::vector<ScalingDecision> play(ReplicaScaling& scaling, int from, int to, double busy)
{
    std::vector<ScalingDecision> all;
    for (int second = from; second < to; ++second) {
        scaling.observe(subject, demandAt(second, busy), std::chrono::seconds(10), at(second));
        for (const ScalingDecision& decision : scaling.decide(at(second))) {
            scaling.onAccepted(decision, at(second));
            all.push_back(decision);
        }
    }
    return all;
}

} // namespace

// Guards against replicas that are removed in each pause between two steps and ordered again for the next one.
TEST_CASE("Replica scaling: replicas that each step needs are kept between steps")
{
    ReplicaScaling scaling;
    const auto decisions = play(scaling, 0, 200, 40);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().replicas == 8);
}

// Guards against replicas that are billed for ever after the demand has gone.
TEST_CASE("Replica scaling: replicas that no step of a whole period needs are removed")
{
    ReplicaScaling scaling;
    play(scaling, 0, 60, 40);
    const auto decisions = play(scaling, 60, 120, 8);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().replicas == bounds.min);
}

// Guards against an order that is taken back at once after a single short peak.
TEST_CASE("Replica scaling: a new replica is kept for its boot time and a period")
{
    ReplicaScaling scaling;
    play(scaling, 0, 40, 8);
    scaling.observe(subject, demandAt(40, 60), std::chrono::seconds(10), at(40));
    const auto increase = scaling.decide(at(40));
    REQUIRE(increase.size() == 1);
    CHECK(increase.front().replicas == bounds.max);
    scaling.onAccepted(increase.front(), at(40));
    CHECK(play(scaling, 41, 58, 0).empty());
    CHECK_FALSE(play(scaling, 58, 90, 0).empty());
}

// Guards against waiting work that is due within its time being left to the replicas that run.
TEST_CASE("Replica scaling: work that waits counts by the time until it is due")
{
    ReplicaScaling scaling;
    ScalingObservation observation = demandAt(0, 20);
    observation.waitingWork = std::chrono::seconds(160);
    observation.waitingDueAt = at(8);
    scaling.observe(subject, observation, std::chrono::seconds(10), at(0));
    const auto decisions = scaling.decide(at(0));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().replicas == 8);
}

// Guards against an order whose answer was lost and that nobody repeats.
TEST_CASE("Replica scaling: an order without an answer is repeated")
{
    ReplicaScaling scaling;
    scaling.observe(subject, demandAt(0, 40), std::chrono::seconds(10), at(0));
    const auto first = scaling.decide(at(0));
    REQUIRE(first.size() == 1);
    scaling.onUnconfirmed(first.front());
    CHECK(scaling.decide(at(1)) == first);
    scaling.onAccepted(first.front(), at(1));
    CHECK(scaling.decide(at(2)).empty());
}

// Guards against orders outside the operator's bounds.
TEST_CASE("Replica scaling: orders stay within the bounds")
{
    ReplicaScaling scaling;
    const auto decisions = play(scaling, 0, 5, 1000);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().replicas == bounds.max);
}
