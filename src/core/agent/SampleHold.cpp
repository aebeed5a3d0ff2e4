#include <algorithm>
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
    const Key key { sample.job, sample.step, sample.stepDigest, sample.index };
    const uint64_t size = sizeOf(sample);
    const auto [position, isNew] = samples_.try_emplace(key, Held { std::move(sample), nextOrder_++, false });
    if (isNew)
        bytes_ += size;
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
    for (auto held = begin; held != end; ++held)
        held->second.isReceived = held->second.isReceived || hasBit(receivedBits, held->first.index);
}

void SampleHold::evict()
{
    while (bytes_ > maxBytes_ && !samples_.empty()) {
        const auto victim = std::min_element(samples_.begin(), samples_.end(), [](const auto& a, const auto& b) {
            return std::pair(!a.second.isReceived, a.second.order) < std::pair(!b.second.isReceived, b.second.order);
        });
        bytes_ -= sizeOf(victim->second.sample);
        samples_.erase(victim);
    }
}

} // namespace endiveroad
