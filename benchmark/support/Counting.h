#pragma once

#include "support/Allocations.h"

#include <benchmark/benchmark.h>
#include <functional>

namespace endiveroad::benchmarks {

/// Adds the counter "state_bytes": bytes that stay allocated by the state that make() builds.
template <typename Make>
void countStateBytes(benchmark::State& state, Make make)
{
    const int64_t before = Allocations::now().liveBytes;
    const auto built = make();
    benchmark::DoNotOptimize(&built);
    state.counters["state_bytes"] = static_cast<double>(Allocations::now().liveBytes - before);
}

/// Runs the timed loop and adds the counter "allocations": calls of operator new per iteration.
template <typename Body>
void timeAndCount(benchmark::State& state, Body body)
{
    const uint64_t before = Allocations::now().count;
    for (auto _ : state)
        body();
    const auto allocations = static_cast<double>(Allocations::now().count - before);
    state.counters["allocations"] = allocations / static_cast<double>(state.iterations());
}

} // namespace endiveroad::benchmarks
