#include <endiveroad/SampleHold.h>

namespace endiveroad {

namespace {

constexpr uint32_t maxIndex = 1U << 20;

bool hasBit(std::string_view bits, uint32_t index)
{
    return index / 8 < bits.size() && (static_cast<uint8_t>(bits[index / 8]) >> (index % 8) & 1U);
}

} // namespace

SampleHold::SampleHold(uint64_t maxBytes)
    : maxBytes_(maxBytes)
{
}

void SampleHold::setMaxBytes(uint64_t maxBytes)
{
    maxBytes_ = maxBytes;
    evict();
}

uint64_t SampleHold::sizeOf(const Sample& sample)
{
    return sizeof(Held) + sizeof(Key) + sample.text.size() + 2 * sample.job.size() + sample.agent.size()
        + sample.segments.size() * sizeof(Segment);
}

void SampleHold::add(Sample sample)
{
    Key key { sample.job, sample.step, sample.stepDigest, sample.index };
    if (const auto found = samples_.find(key); found != samples_.end())
        drop(found);
    bytes_ += sizeOf(sample);
    const uint64_t order = nextOrder_++;
    const auto position = samples_.emplace(std::move(key), Held { std::move(sample), order, false }).first;
    wanted_.emplace(order, position);
    evict();
}

std::vector<Sample> SampleHold::missingFrom(
    const std::string& job, StepNumber step, uint64_t digest, std::string_view receivedBits) const
{
    std::vector<Sample> result;
    const auto begin = samples_.lower_bound({ job, step, digest, 0 });
    const auto end = samples_.upper_bound({ job, step, digest, maxIndex });
    for (auto held = begin; held != end; ++held) {
        if (!hasBit(receivedBits, held->first.index))
            result.push_back(held->second.sample);
    }
    return result;
}

const Sample* SampleHold::find(const std::string& job, StepNumber step, uint64_t digest, uint32_t index) const
{
    const auto found = samples_.find({ job, step, digest, index });
    return found == samples_.end() ? nullptr : &found->second.sample;
}

void SampleHold::onReceived(const std::string& job, StepNumber step, uint64_t digest, std::string_view receivedBits)
{
    const auto begin = samples_.lower_bound({ job, step, digest, 0 });
    const auto end = samples_.upper_bound({ job, step, digest, maxIndex });
    for (auto held = begin; held != end; ++held) {
        if (held->second.isReceived || !hasBit(receivedBits, held->first.index))
            continue;
        held->second.isReceived = true;
        wanted_.erase(held->second.order);
        received_.emplace(held->second.order, held);
    }
}

void SampleHold::drop(Samples::iterator held)
{
    bytes_ -= sizeOf(held->second.sample);
    (held->second.isReceived ? received_ : wanted_).erase(held->second.order);
    samples_.erase(held);
}

void SampleHold::evict()
{
    while (bytes_ > maxBytes_ && !received_.empty())
        drop(received_.begin()->second);
    while (bytes_ > maxBytes_ && !wanted_.empty())
        drop(wanted_.begin()->second);
}

} // namespace endiveroad
