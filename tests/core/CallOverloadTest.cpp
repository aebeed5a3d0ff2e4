#include "core/CallReplay.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace endiveroad;
using namespace endiveroad::replay;

namespace {

constexpr Policy before {};
constexpr Policy byObjective { true, false, false };
constexpr Policy withoutHedges { true, true, false };
constexpr Policy yielding { true, true, true };

Arrivals between(Arrivals arrivals, Duration begin, Duration end, double perSecond)
{
    arrivals.begin = begin;
    arrivals.end = end;
    arrivals.perSecond = perSecond;
    return arrivals;
}

/// Status calls at 60 a second and 553 a second in a burst of three seconds, beside scoring calls that come in batches
/// and are 2.4 times as many in the burst.
std::vector<Arrivals> burst()
{
    const Arrivals status { 0, 21ms, 150ms, 1500ms, 0s, 0s, 0ms, 0s, "status" };
    const Arrivals scoring { 0, 30ms, 150ms, 1500ms, 0s, 0s, 500ms, 6s, "scoring" };
    return { between(status, 0s, 2s, 60), between(status, 2s, 5s, 553), between(status, 5s, 9s, 60),
        between(scoring, 0s, 2s, 75), between(scoring, 2s, 5s, 180) };
}

std::map<std::string, Figures> play(int senders, Policy policy)
{
    return Replay(senders, policy).run(burst(), 12s);
}

} // namespace

// `core_tests '[.replay]'` prints the figures of docs/design/0062-calls-under-overload.md.
TEST_CASE("figures of the replayed burst", "[.replay]")
{
    const std::map<std::string, Policy> policies { { "1 before", before }, { "2 by objective", byObjective },
        { "3 hedges withheld", withoutHedges }, { "4 scoring yields", yielding } };
    for (const int senders : { 3, 9, 27 }) {
        for (const auto& [name, policy] : policies) {
            for (const auto& [kind, figures] : play(senders, policy))
                fmt::print("{} senders, {}, {}: in time {} late {} rejected {} (after {} ms) lost {}, requests {} "
                           "refused {} hedges {}, repeats {}\n",
                    senders, name, kind, figures.inTime, figures.late, figures.rejected,
                    figures.meanWaitOfRejected() / 1ms, figures.lost, figures.requests, figures.refusals,
                    figures.hedges, figures.repeats);
        }
    }
}

// Guards against a queue in which each call waits until it is late, so that only late work is done.
TEST_CASE("in a burst calls that can be in time go before those that cannot", "[overload]")
{
    for (const int senders : { 3, 9, 27 }) {
        const Figures old = play(senders, before)["status"];
        const Figures figures = play(senders, byObjective)["status"];
        CHECK(figures.inTime * 2 > old.inTime * 3);
        CHECK(figures.value() > old.value() * 1.3);
    }
}

// Guards against second copies of calls that take the capacity that calls without any copy wait for.
TEST_CASE("in a burst calls are not copied while others wait", "[overload]")
{
    for (const int senders : { 3, 9, 27 }) {
        const Figures hedged = play(senders, byObjective)["status"];
        const Figures figures = play(senders, withoutHedges)["status"];
        CHECK(figures.hedges < hedged.hedges / 2);
        CHECK(figures.value() > hedged.value());
        CHECK(figures.requests < hedged.requests);
    }
}

// Guards against scoring calls with time in hand that make callers' calls late, and against scoring calls that starve.
TEST_CASE("in a burst scoring calls with time in hand leave full servers to callers' calls", "[overload]")
{
    for (const int senders : { 3, 9, 27 }) {
        auto competing = play(senders, withoutHedges);
        auto figures = play(senders, yielding);
        CHECK(figures["status"].inTime > competing["status"].inTime * 1.05);
        // All of them are scored before their jobs are due.
        CHECK(figures["scoring"].inTime + figures["scoring"].late == 652);
    }
}
