#include "core/simulation/Simulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <sstream>

using namespace simulation;

namespace {

/// Generated histories for each test case. The environment variables ENDIVEROAD_HISTORIES and ENDIVEROAD_SEED override
/// count and seed, for soak tests.
constexpr int defaultHistories = 2500;
constexpr uint64_t defaultSeed = 20261203;
constexpr size_t actionsPerHistory = 1000;
constexpr uint32_t choiceCount = 1U << 16;

uint64_t numberFromEnvironment(const char* name, uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::stoull(text) : fallback;
}

using Delivered = std::map<std::pair<StepNumber, uint32_t>, uint32_t>;

/// Expected result: the tokens of each sample in a run without concurrency and faults.
Delivered serialReference(const std::vector<StepRequest>& steps)
{
    Delivered delivered;
    for (const StepRequest& step : steps) {
        for (uint32_t index = 0; index < step.samples.size(); ++index)
            delivered[{ step.step, index }] = step.samples[index].maxTokens;
    }
    return delivered;
}

Simulation::Counts runHistories(const SimulationOptions& options)
{
    Simulation::Counts total;
    const auto history = [&](const std::vector<uint32_t>& actions) {
        Simulation simulation(options);
        for (uint32_t action : actions)
            simulation.runAction(action);
        simulation.finishWithoutFaults();
        if (simulation.tokensBySample() != serialReference(simulation.steps()))
            throw Violation("the trainer's samples differ from the serial reference");
        total.accepted += simulation.counts().accepted;
        total.ignoredAnswers += simulation.counts().ignoredAnswers;
        total.mixedVersions += simulation.counts().mixedVersions;
        total.coordinatorCrashes += simulation.counts().coordinatorCrashes;
        total.restores += simulation.counts().restores;
        total.recovered += simulation.counts().recovered;
    };
    const auto action = rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0U, choiceCount));
    const auto actions = rc::gen::container<std::vector<uint32_t>>(actionsPerHistory, action);
    rc::detail::TestParams params;
    params.seed = numberFromEnvironment("ENDIVEROAD_SEED", defaultSeed);
    params.maxSuccess = static_cast<int>(numberFromEnvironment("ENDIVEROAD_HISTORIES", defaultHistories));
    const auto result = rc::detail::checkTestable([&] { history(*actions); }, rc::detail::TestMetadata(), params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO(text.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
    return total;
}

void checkFaultsOccurred(const Simulation::Counts& counts)
{
    CHECK(counts.ignoredAnswers > 0);
    CHECK(counts.coordinatorCrashes > 0);
    CHECK(counts.restores > 0);
    CHECK(counts.recovered > 0);
}

} // namespace

TEST_CASE("delivery with faults: whole groups are complete, unique, fresh and attributed, engines honour fencing",
    "[delivery]")
{
    checkFaultsOccurred(runHistories({ .stalenessBound = 1, .idleWeight = 0.2 }));
}

TEST_CASE("delivery with faults: single samples are complete, unique, fresh and attributed, engines ignore fencing",
    "[delivery]")
{
    const auto counts = runHistories(
        { .stalenessBound = 2, .idleWeight = 0.9, .wholeGroups = false, .isScored = false, .honoursFencing = false });
    checkFaultsOccurred(counts);
    CHECK(counts.mixedVersions > 0);
}

TEST_CASE("delivery with faults: no sample is stale under a staleness bound of 0", "[delivery]")
{
    checkFaultsOccurred(runHistories({ .stalenessBound = 0, .honoursFencing = false }));
}

TEST_CASE("delivery with faults: segments match tokens if engines state their version in each chunk", "[delivery]")
{
    checkFaultsOccurred(runHistories({ .stalenessBound = 3, .idleWeight = 1, .statesVersion = true }));
}
