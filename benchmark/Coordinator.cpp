#include "support/Counting.h"

#include <endiveroad/JobCoordinator.h>
#include <string>

using namespace endiveroad;
using namespace endiveroad::benchmarks;

namespace {

constexpr uint32_t tokensPerSample = 700;
constexpr size_t samplesPerFetch = 256;
const Instant start {};

StepRequest stepOf(int64_t samples)
{
    StepRequest step;
    step.step = 1;
    step.samplesPerGroup = 4;
    for (int64_t i = 0; i < samples; ++i)
        step.samples.push_back({ "prompt of group " + std::to_string(i / 4), tokensPerSample });
    return step;
}

JobCoordinator coordinatorOf(int64_t samples)
{
    JobCoordinator coordinator { JobDeclaration {} };
    coordinator.submit(stepOf(samples), start);
    return coordinator;
}

Sample sampleOf(const Dispatch& dispatch)
{
    Sample sample;
    sample.step = dispatch.step;
    sample.index = dispatch.index;
    sample.stepDigest = dispatch.stepDigest;
    sample.text.assign(size_t { tokensPerSample } * 4, 'x');
    sample.tokens = tokensPerSample;
    sample.segments = { { 0, tokensPerSample, 0 } };
    sample.agent = "ledge-lm-0";
    return sample;
}

JobCoordinator finishedOf(int64_t samples)
{
    JobCoordinator coordinator = coordinatorOf(samples);
    while (const auto dispatch = coordinator.next(start))
        coordinator.onSample(sampleOf(*dispatch), Instant {});
    return coordinator;
}

void submitStep(benchmark::State& state)
{
    const StepRequest step = stepOf(state.range(0));
    countStateBytes(state, [&] { return coordinatorOf(state.range(0)); });
    timeAndCount(state, [&] {
        JobCoordinator coordinator { JobDeclaration {} };
        coordinator.submit(step, start);
    });
}
BENCHMARK(submitStep)->Arg(64)->Arg(512)->Arg(2048)->Arg(8192);

/// A whole step is dispatched and its samples are taken, one by one.
void dispatchStep(benchmark::State& state)
{
    for (auto _ : state) {
        state.PauseTiming();
        JobCoordinator coordinator = coordinatorOf(state.range(0));
        state.ResumeTiming();
        while (const auto dispatch = coordinator.next(start))
            coordinator.onSample(sampleOf(*dispatch), Instant {});
    }
}
BENCHMARK(dispatchStep)->Arg(64)->Arg(512)->Arg(2048)->Arg(8192);

/// The trainer fetches a whole finished step, 256 samples at a time.
void fetchStep(benchmark::State& state)
{
    JobCoordinator coordinator = finishedOf(state.range(0));
    countStateBytes(state, [&] { return finishedOf(state.range(0)); });
    timeAndCount(state, [&] {
        Cursor cursor("");
        while (!cursor.isComplete(1))
            cursor = coordinator.fetch(cursor, {}, samplesPerFetch, Instant {}).next;
    });
}
BENCHMARK(fetchStep)->Arg(64)->Arg(512)->Arg(2048)->Arg(8192);

/// A fetch that finds nothing finished, as a waiting trainer repeats it.
void emptyFetch(benchmark::State& state)
{
    JobCoordinator coordinator = coordinatorOf(state.range(0));
    const Cursor cursor("");
    timeAndCount(state, [&] { benchmark::DoNotOptimize(coordinator.fetch(cursor, {}, samplesPerFetch, Instant {})); });
}
BENCHMARK(emptyFetch)->Arg(64)->Arg(512)->Arg(2048)->Arg(8192);

} // namespace
