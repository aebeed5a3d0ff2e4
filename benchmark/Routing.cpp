#include "support/Counting.h"

#include <endiveroad/Rendezvous.h>
#include <endiveroad/ReplicaTable.h>
#include <string>

using namespace endiveroad;
using namespace endiveroad::benchmarks;

namespace {

const Instant start {};

ReplicaReport reportOf(int64_t number, int64_t sequence)
{
    ReplicaReport report;
    report.agent = "ledge-lm-replica-" + std::to_string(number);
    report.failureDomain = "domain-" + std::to_string(number % 20);
    report.incarnation = 1;
    report.sequence = sequence;
    report.freeSlots = 8;
    report.version = 3;
    report.isServerUp = true;
    return report;
}

ReplicaTable tableOf(int64_t replicas)
{
    ReplicaTable table;
    for (int64_t i = 0; i < replicas; ++i)
        table.onReport(reportOf(i, 1), start);
    return table;
}

void routingDecision(benchmark::State& state)
{
    ReplicaTable table = tableOf(state.range(0));
    countStateBytes(state, [&] { return tableOf(state.range(0)); });
    ReplicaDemand demand;
    demand.minVersion = 2;
    timeAndCount(state, [&] { table.release(*table.acquire(start, demand)); });
}
BENCHMARK(routingDecision)->Arg(10)->Arg(24)->Arg(1000)->Arg(12000);

void takeReport(benchmark::State& state)
{
    ReplicaTable table = tableOf(state.range(0));
    int64_t sequence = 1;
    timeAndCount(state, [&] {
        ++sequence;
        table.onReport(reportOf(sequence % state.range(0), sequence), start);
    });
}
BENCHMARK(takeReport)->Arg(10)->Arg(24)->Arg(1000)->Arg(12000);

/// Home of a key among the replicas, or of a job among the entries.
void rendezvousOwner(benchmark::State& state)
{
    std::vector<std::string> names;
    for (int64_t i = 0; i < state.range(0); ++i)
        names.push_back(reportOf(i, 1).agent);
    timeAndCount(state, [&] { benchmark::DoNotOptimize(rendezvousOwners("key-1", names, 1)); });
}
BENCHMARK(rendezvousOwner)->Arg(3)->Arg(24)->Arg(100)->Arg(490)->Arg(1000)->Arg(12000);

} // namespace
