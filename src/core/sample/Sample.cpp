#include <endiveroad/Sample.h>

#include <algorithm>
#include <xxhash.h>

namespace endiveroad {

namespace {

uint64_t mix(uint64_t seed, const void* data, size_t size)
{
    return XXH3_64bits_withSeed(data, size, seed);
}

uint64_t mix(uint64_t seed, uint64_t value)
{
    return mix(seed, &value, sizeof value);
}

} // namespace

uint64_t StepRequest::digest() const
{
    uint64_t hash = mix(step, samplesPerGroup);
    for (const SampleRequest& sample : samples) {
        hash = mix(hash, sample.maxTokens);
        hash = mix(hash, sample.prompt.data(), sample.prompt.size());
    }
    return hash;
}

WeightVersion Sample::oldestVersion() const
{
    if (segments.empty())
        return unknownVersion;
    return std::min_element(segments.begin(), segments.end(), [](const Segment& a, const Segment& b) {
        return a.version < b.version;
    })->version;
}

bool Sample::isAttributed() const
{
    if (tokens == 0)
        return segments.size() == 1 && segments[0].endToken == 0 && segments[0].version >= 0;
    uint32_t covered = 0;
    for (const Segment& segment : segments) {
        if (segment.firstToken != covered || segment.endToken <= segment.firstToken || segment.version < 0)
            return false;
        covered = segment.endToken;
    }
    return covered == tokens;
}

} // namespace endiveroad
