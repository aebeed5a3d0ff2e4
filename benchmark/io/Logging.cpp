#include "io/Log.h"
#include "support/Counting.h"

#include <fcntl.h>
#include <unistd.h>

using namespace endiveroad;
using namespace endiveroad::benchmarks;

namespace {

/// A line of the kind that a coordinator writes most.
io::LogFields placementFields()
{
    return { { "job", "step-1041-caprock" }, { "item", "step-1041-caprock-17-3" }, { "run", "104112" },
        { "agent", "side-e17" }, { "running", "5" }, { "version", "1041" }, { "events", "118" },
        { "expected", "130" } };
}

/// The time that Log::maxTotalLinesPerSecond allows is that number of these.
void jsonLine(benchmark::State& state)
{
    const TimelineEntry entry { { 1'764'000'000'000, 1 }, "coordinator-1", Event::ItemPlaced, placementFields() };
    timeAndCount(state, [&] { benchmark::DoNotOptimize(io::toJsonLine(entry)); });
}
BENCHMARK(jsonLine);

/// A line as it is written, to an output that takes everything at once.
void writtenLine(benchmark::State& state)
{
    const int output = dup(STDOUT_FILENO);
    const int nowhere = open("/dev/null", O_WRONLY);
    dup2(nowhere, STDOUT_FILENO);
    timeAndCount(state, [] {
        // A new log each time, so that no line is over the bound.
        io::Log log;
        log.configure(io::LogFormat::Json, LogLevel::Info, "coordinator-1");
        log.write(Event::ItemPlaced, placementFields());
    });
    dup2(output, STDOUT_FILENO);
    close(output);
    close(nowhere);
}
BENCHMARK(writtenLine);

/// An event that is over the bound: counted and kept in the ring, not written.
void omittedLine(benchmark::State& state)
{
    io::Log log;
    log.configure(io::LogFormat::Json, LogLevel::Error, "coordinator-1");
    timeAndCount(state, [&] { log.write(Event::ItemPlaced, placementFields()); });
}
BENCHMARK(omittedLine);

} // namespace
