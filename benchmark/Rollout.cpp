#include "RolloutModel.h"

#include <benchmark/benchmark.h>

using namespace rollout_benchmark;

namespace {

enum Deployment { Caprock, Tatranet };

Scenario scenarioOf(const benchmark::State& state)
{
    Scenario scenario;
    scenario.isNaive = state.range(0) != 0;
    if (state.range(1) == Caprock) {
        scenario.replicas = 10;
        scenario.stalenessBound = 1;
        scenario.idleWeight = 0.3;
    } else {
        scenario.replicas = 8;
        scenario.stalenessBound = 3;
        scenario.idleWeight = 0.8;
    }
    scenario.trainers = static_cast<uint32_t>(state.range(2));
    scenario.crashed = static_cast<uint32_t>(state.range(3));
    return scenario;
}

void report(benchmark::State& state, const Scenario& scenario)
{
    Outcome outcome;
    for (auto _ : state)
        outcome = Model(scenario).run();
    state.counters["timeOverBound"] = outcome.timeOverBound;
    state.counters["idle"] = outcome.idleShare;
    state.counters["staleMean"] = outcome.meanStaleness;
    state.counters["staleWorst"] = outcome.worstStaleness;
    state.counters["wasted"] = outcome.wastedShare;
}

void rollout(benchmark::State& state)
{
    report(state, scenarioOf(state));
}
BENCHMARK(rollout)
    ->ArgNames({ "naive", "deployment", "trainers", "crashed" })
    ->ArgsProduct({ { 0, 1 }, { Caprock, Tatranet }, { 1, 4 }, { 0, 1, 3 } })
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

/// The same deployment under objectives from staleness only (0) to idle time only (10 tenths).
void objective(benchmark::State& state)
{
    Scenario scenario;
    scenario.stalenessBound = 3;
    scenario.idleWeight = static_cast<double>(state.range(0)) / 10;
    report(state, scenario);
}
BENCHMARK(objective)->ArgName("idleWeightTenths")->DenseRange(0, 10, 2)->Iterations(1)->Unit(benchmark::kMillisecond);

/// What the longest-first order gains when maxTokens says the true length.
void knownLengths(benchmark::State& state)
{
    Scenario scenario;
    scenario.areLengthsKnown = state.range(0) != 0;
    report(state, scenario);
}
BENCHMARK(knownLengths)->ArgName("known")->Arg(0)->Arg(1)->Iterations(1)->Unit(benchmark::kMillisecond);

} // namespace
