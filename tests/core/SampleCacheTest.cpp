#include <catch2/catch.hpp>
#include <endiveroad/Cursor.h>
#include <endiveroad/SampleCache.h>

using namespace endiveroad;

namespace {

Sample sampleOf(uint32_t index, WeightVersion version)
{
    Sample sample;
    sample.job = "job";
    sample.step = 1;
    sample.index = index;
    sample.stepDigest = 7;
    sample.tokens = 1;
    sample.text = std::string(100, 't');
    sample.segments = { { 0, 1, version } };
    return sample;
}

std::string bits(uint32_t index)
{
    IndexSet set(32);
    set.insert(index);
    return set.bytes();
}

} // namespace

TEST_CASE("a newer result replaces the held sample and is not counted twice in bytes", "[sample-cache]")
{
    SampleCache cache(1U << 20);
    cache.add(sampleOf(0, 1));
    const uint64_t bytes = cache.bytes();
    cache.add(sampleOf(0, 2));
    CHECK(cache.find("job", 1, 7, 0)->oldestVersion() == 2);
    CHECK(cache.bytes() == bytes);
}

TEST_CASE("eviction keeps the memory limit and drops unreceived samples last, oldest first", "[sample-cache]")
{
    SampleCache one(1U << 20);
    one.add(sampleOf(0, 1));
    const uint64_t sampleBytes = one.bytes();
    SampleCache cache(3 * sampleBytes);
    for (uint32_t index = 0; index < 3; ++index)
        cache.add(sampleOf(index, 1));
    cache.onReceived("job", 1, 7, bits(2));
    cache.add(sampleOf(3, 1));
    CHECK_FALSE(cache.find("job", 1, 7, 2));
    cache.add(sampleOf(4, 1));
    CHECK_FALSE(cache.find("job", 1, 7, 0));
    CHECK(cache.count() == 3);
    CHECK(cache.bytes() == 3 * sampleBytes);
    cache.setMaxBytes(0);
    CHECK(cache.count() == 0);
    CHECK(cache.bytes() == 0);
}
