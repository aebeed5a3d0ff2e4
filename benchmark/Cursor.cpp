#include <benchmark/benchmark.h>
#include <endiveroad/Cursor.h>

using namespace endiveroad;

namespace {

Cursor halfReceived(uint32_t samples)
{
    Cursor cursor("job");
    for (uint32_t index = 0; index < samples; index += 2)
        cursor.receive(1, 7, samples, index);
    return cursor;
}

void encodeCursor(benchmark::State& state)
{
    const Cursor cursor = halfReceived(static_cast<uint32_t>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(cursor.encode());
    state.SetComplexityN(state.range(0));
}
BENCHMARK(encodeCursor)->RangeMultiplier(8)->Range(16, 8192)->Complexity(benchmark::oN);

void decodeCursor(benchmark::State& state)
{
    const std::string text = halfReceived(static_cast<uint32_t>(state.range(0))).encode();
    for (auto _ : state)
        benchmark::DoNotOptimize(Cursor::decode(text, "job"));
    state.SetComplexityN(state.range(0));
}
BENCHMARK(decodeCursor)->RangeMultiplier(8)->Range(16, 8192)->Complexity(benchmark::oN);

} // namespace
