#include "io/Frame.h"
#include "support/Counting.h"
#include "wire/Codec.h"

#include <endiveroad_types.h>

using namespace endiveroad;
using namespace endiveroad::benchmarks;

namespace {

void frameCodec(benchmark::State& state)
{
    const std::string payload(static_cast<size_t>(state.range(0)), 'x');
    io::FrameHeader header;
    header.type = io::MessageType::Call;
    timeAndCount(state, [&] {
        const std::string frame = io::encodeFrame(header, payload);
        const std::string_view bytes(frame);
        io::decodeHeader(bytes.substr(0, io::FrameHeader::size));
        io::checkPayload(bytes.substr(0, io::FrameHeader::size), bytes.substr(io::FrameHeader::size));
    });
    state.counters["wire_bytes"] = static_cast<double>(io::encodeFrame(header, payload).size());
}
BENCHMARK(frameCodec)->Arg(1)->Arg(256)->Arg(4096)->Arg(65536);

wire::AgentReport agentReport()
{
    wire::AgentReport report;
    report.agent = "ledge-lm-replica-11999";
    report.pool = "ledge-lm";
    report.incarnation = 1'700'000'000'000;
    report.sequence = 1'000'000;
    report.freeSlots = 8;
    report.running = 8;
    report.version = 1000;
    report.settingsRevision = 100'000;
    report.heldBytes = 1 << 24;
    report.isServerUp = true;
    report.region = "tx-panhandle";
    report.failureDomain = "rim-a";
    return report;
}

void agentReportCodec(benchmark::State& state)
{
    const wire::AgentReport report = agentReport();
    timeAndCount(
        state, [&] { benchmark::DoNotOptimize(wire::decode<wire::AgentReport>(wire::encode(report)).freeSlots); });
    state.counters["wire_bytes"] = static_cast<double>(wire::encode(report).size() + io::FrameHeader::size);
}
BENCHMARK(agentReportCodec);

void callCodec(benchmark::State& state)
{
    wire::CallRequest request;
    request.requestId = "entry-a-1700000000000-1000";
    request.pool = "closure-api";
    request.method = "POST";
    request.target = "/notices/1000";
    request.body.assign(static_cast<size_t>(state.range(0)), 'x');
    timeAndCount(
        state, [&] { benchmark::DoNotOptimize(wire::decode<wire::CallRequest>(wire::encode(request)).fingerprint); });
    state.counters["wire_bytes"] = static_cast<double>(wire::encode(request).size() + io::FrameHeader::size);
}
BENCHMARK(callCodec)->Arg(1)->Arg(256)->Arg(4096)->Arg(65536);

} // namespace
