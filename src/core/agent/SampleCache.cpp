#include <endiveroad/SampleCache.h>

namespace endiveroad {

namespace {

/// Upper end of the index range in lookups of a whole step.
constexpr uint32_t maxIndex = 1U << 20;

bool hasBit(std::string_view bits, uint32_t index)
{
    return index / 8 < bits.size() && (static_cast<uint8_t>(bits[index / 8]) >> (index % 8) & 1U);
}

} // namespace

SampleCache::SampleCache(uint64_t maxBytes)
    : maxBytes_(maxBytes)
{
}

void SampleCache::setMaxBytes(uint64_t maxBytes)
{
    maxBytes_ = maxBytes;
    evict();
}

uint64_t SampleCache::sizeOf(const Sample& sample)
{
    return sizeof(CachedSample) + sizeof(Key) + sample.text.size() + 2 * sample.job.size() + sample.agent.size()
        + sample.segments.size() * sizeof(Segment);
}

void SampleCache::add(Sample sample)
{
    Key key { sample.job, sample.step, sample.stepDigest, sample.index };
    if (const auto found = samples_.find(key); found != samples_.end())
        drop(found);
    bytes_ += sizeOf(sample);
    const uint64_t order = nextOrder_++;
    const auto position = samples_.emplace(std::move(key), CachedSample { std::move(sample), order, false }).first;
    unreceived_.emplace(order, position);
    evict();
}

std::vector<Sample> SampleCache::unreceivedSamples(
    const std::string& job, StepNumber step, uint64_t stepDigest, std::string_view receivedBits) const
{
    std::vector<Sample> result;
    const auto begin = samples_.lower_bound({ job, step, stepDigest, 0 });
    const auto end = samples_.upper_bound({ job, step, stepDigest, maxIndex });
    for (auto cached = begin; cached != end; ++cached) {
        if (!hasBit(receivedBits, cached->first.index))
            result.push_back(cached->second.sample);
    }
    return result;
}

const Sample* SampleCache::find(const std::string& job, StepNumber step, uint64_t stepDigest, uint32_t index) const
{
    const auto found = samples_.find({ job, step, stepDigest, index });
    return found == samples_.end() ? nullptr : &found->second.sample;
}

void SampleCache::onReceived(
    const std::string& job, StepNumber step, uint64_t stepDigest, std::string_view receivedBits)
{
    const auto begin = samples_.lower_bound({ job, step, stepDigest, 0 });
    const auto end = samples_.upper_bound({ job, step, stepDigest, maxIndex });
    for (auto cached = begin; cached != end; ++cached) {
        if (cached->second.isReceived || !hasBit(receivedBits, cached->first.index))
            continue;
        cached->second.isReceived = true;
        unreceived_.erase(cached->second.order);
        received_.emplace(cached->second.order, cached);
    }
}

void SampleCache::drop(Samples::iterator cached)
{
    bytes_ -= sizeOf(cached->second.sample);
    (cached->second.isReceived ? received_ : unreceived_).erase(cached->second.order);
    samples_.erase(cached);
}

void SampleCache::evict()
{
    while (bytes_ > maxBytes_ && !received_.empty())
        drop(received_.begin()->second);
    while (bytes_ > maxBytes_ && !unreceived_.empty())
        drop(unreceived_.begin()->second);
}

} // namespace endiveroad
