#include "io/WireValues.h"

namespace endiveroad::io {

wire::Sample toWire(const Sample& sample)
{
    wire::Sample result;
    result.job = sample.job;
    result.step = static_cast<int64_t>(sample.step);
    result.index = static_cast<int32_t>(sample.index);
    result.stepDigest = static_cast<int64_t>(sample.stepDigest);
    result.text = sample.text;
    result.tokens = static_cast<int32_t>(sample.tokens);
    result.agent = sample.agent;
    result.finishReason = sample.finishReason;
    for (const Segment& segment : sample.segments) {
        wire::Segment copy;
        copy.firstToken = static_cast<int32_t>(segment.firstToken);
        copy.endToken = static_cast<int32_t>(segment.endToken);
        copy.version = segment.version;
        result.segments.push_back(copy);
    }
    return result;
}

Sample fromWire(const wire::Sample& sample)
{
    Sample result;
    result.job = sample.job;
    result.step = static_cast<StepNumber>(sample.step);
    result.index = static_cast<uint32_t>(sample.index);
    result.stepDigest = static_cast<uint64_t>(sample.stepDigest);
    result.text = sample.text;
    result.tokens = static_cast<uint32_t>(sample.tokens);
    result.agent = sample.agent;
    result.finishReason = sample.finishReason;
    for (const wire::Segment& segment : sample.segments) {
        result.segments.push_back(
            { static_cast<uint32_t>(segment.firstToken), static_cast<uint32_t>(segment.endToken), segment.version });
    }
    return result;
}

ReplicaReport fromWire(const wire::AgentReport& report)
{
    return { report.agent, report.failureDomain, report.incarnation, report.sequence, report.freeSlots, report.running,
        report.version, report.isDraining, report.isSwapping, report.isServerUp };
}

} // namespace endiveroad::io
