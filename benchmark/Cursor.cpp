#include "support/Counting.h"

#include <endiveroad/Cursor.h>

using namespace endiveroad;
using namespace endiveroad::benchmarks;

namespace {

/// A step of which every second sample was received: the largest form of a cursor.
Cursor halfReceived(int64_t samples)
{
    const auto size = static_cast<uint32_t>(samples);
    Cursor cursor("job");
    for (uint32_t index = 0; index < size; index += 2)
        cursor.receive(1, 7, size, index);
    return cursor;
}

void encodeCursor(benchmark::State& state)
{
    const Cursor cursor = halfReceived(state.range(0));
    countStateBytes(state, [&] { return halfReceived(state.range(0)); });
    timeAndCount(state, [&] { benchmark::DoNotOptimize(cursor.encode()); });
    state.counters["wire_bytes"] = static_cast<double>(cursor.encode().size());
}
BENCHMARK(encodeCursor)->Arg(16)->Arg(128)->Arg(1024)->Arg(8192);

void decodeCursor(benchmark::State& state)
{
    const std::string text = halfReceived(state.range(0)).encode();
    timeAndCount(state, [&] { benchmark::DoNotOptimize(Cursor::decode(text, "job")); });
}
BENCHMARK(decodeCursor)->Arg(16)->Arg(128)->Arg(1024)->Arg(8192);

/// All samples of a step are marked as received, one by one.
void receiveStep(benchmark::State& state)
{
    const auto size = static_cast<uint32_t>(state.range(0));
    timeAndCount(state, [&] {
        Cursor cursor("job");
        for (uint32_t index = 0; index < size; ++index)
            cursor.receive(1, 7, size, index);
        benchmark::DoNotOptimize(&cursor);
    });
}
BENCHMARK(receiveStep)->Arg(16)->Arg(128)->Arg(1024)->Arg(8192);

} // namespace
