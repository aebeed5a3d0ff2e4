#include "support/Counting.h"

#include <endiveroad/Admission.h>
#include <endiveroad/OutcomeTable.h>
#include <endiveroad/SampleCache.h>
#include <string>

using namespace endiveroad;
using namespace endiveroad::benchmarks;

namespace {

constexpr Duration retention = std::chrono::minutes(10);
constexpr uint64_t cacheBytes = 1ULL << 30;
const Instant start {};

const Instant hourLater = start + std::chrono::hours(1);
constexpr int64_t hourLaterMs = 3'600'000;

OutcomeTable outcomesOf(int64_t keys)
{
    OutcomeTable table(0, start);
    for (int64_t i = 0; i < keys; ++i) {
        const std::string key = "key-of-a-caller-" + std::to_string(i);
        table.begin({ key, 1, hourLaterMs }, 0, retention, hourLater);
        table.finish(
            key, { 200, { { "Content-Type", "application/json" } }, std::string(200, 'x') }, retention, hourLater);
    }
    return table;
}

/// A new key is decided, ends and is forgotten beside those that are kept.
void keyedCall(benchmark::State& state)
{
    OutcomeTable table = outcomesOf(state.range(0));
    countStateBytes(state, [&] { return outcomesOf(state.range(0)); });
    timeAndCount(state, [&] {
        table.begin({ "new-key", 1, hourLaterMs }, 0, retention, hourLater);
        table.finishUnknown("new-key", Duration::zero(), hourLater);
    });
}
BENCHMARK(keyedCall)->Arg(10)->Arg(100)->Arg(1000)->Arg(10000);

void admitCall(benchmark::State& state)
{
    Admission admission(static_cast<int32_t>(state.range(0)), 1);
    admission.setServerUp(true);
    timeAndCount(state, [&] {
        admission.admit("entry-a-1-1", true, never, start);
        admission.finish();
    });
}
BENCHMARK(admitCall)->Arg(8)->Arg(64);

Sample sampleOf(int64_t index)
{
    Sample sample;
    sample.job = "hazard-drafts";
    sample.step = 1;
    sample.index = static_cast<uint32_t>(index);
    sample.stepDigest = 7;
    sample.text.assign(2800, 'x');
    sample.tokens = 700;
    sample.segments = { { 0, 700, 1 } };
    sample.agent = "ledge-lm-0";
    return sample;
}

SampleCache cacheOf(int64_t samples)
{
    SampleCache cache(cacheBytes);
    for (int64_t i = 0; i < samples; ++i)
        cache.add(sampleOf(i));
    return cache;
}

void holdSamples(benchmark::State& state)
{
    countStateBytes(state, [&] { return cacheOf(state.range(0)); });
    timeAndCount(state, [&] { benchmark::DoNotOptimize(cacheOf(state.range(0))); });
}
BENCHMARK(holdSamples)->Arg(8)->Arg(64)->Arg(512)->Arg(4096);

/// A sample is added to a cache that is full, so that one has to go.
void evictSample(benchmark::State& state)
{
    SampleCache cache = cacheOf(state.range(0));
    cache.setMaxBytes(cache.bytes());
    int64_t next = state.range(0);
    timeAndCount(state, [&] { cache.add(sampleOf(next++)); });
}
BENCHMARK(evictSample)->Arg(8)->Arg(64)->Arg(512)->Arg(4096);

} // namespace
