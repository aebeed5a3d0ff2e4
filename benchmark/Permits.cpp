#include "support/Counting.h"

#include <endiveroad/PermitQueue.h>
#include <fmt/format.h>

using namespace endiveroad;
using namespace endiveroad::benchmarks;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
constexpr int prioritiesPerProcess = 3;

/// A queue in which each process waits with a demand of each priority, none of which can be decided yet.
PermitQueue fullQueue(int64_t processes)
{
    PermitQueue queue(3, 0, start);
    for (int64_t number = 0; number < processes; ++number) {
        for (int priority = 0; priority < prioritiesPerProcess; ++priority) {
            const Instant latestStart = start + 400s + std::chrono::seconds(number * 7 % 400);
            queue.add({ fmt::format("process-{}", number), priority, 1, latestStart }, start);
        }
    }
    return queue;
}

void decidePermits(benchmark::State& state)
{
    PermitQueue queue = fullQueue(state.range(0));
    timeAndCount(state, [&] { benchmark::DoNotOptimize(queue.decide(start + 1ms)); });
}
BENCHMARK(decidePermits)->Arg(25)->Arg(50)->Arg(100)->Arg(200)->Arg(400);

} // namespace
