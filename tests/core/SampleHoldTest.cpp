#include <catch2/catch.hpp>
#include <endiveroad/Cursor.h>
#include <endiveroad/SampleHold.h>

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

TEST_CASE("a newer result replaces the held sample and is not counted twice in bytes", "[hold]")
{
    SampleHold hold(1U << 20);
    hold.add(sampleOf(0, 1));
    const uint64_t bytes = hold.bytes();
    hold.add(sampleOf(0, 2));
    CHECK(hold.find("job", 1, 7, 0)->oldestVersion() == 2);
    CHECK(hold.bytes() == bytes);
}

TEST_CASE("eviction keeps the memory limit and drops unreceived samples last, oldest first", "[hold]")
{
    SampleHold one(1U << 20);
    one.add(sampleOf(0, 1));
    const uint64_t sampleBytes = one.bytes();
    SampleHold hold(3 * sampleBytes);
    for (uint32_t index = 0; index < 3; ++index)
        hold.add(sampleOf(index, 1));
    hold.onReceived("job", 1, 7, bits(2));
    hold.add(sampleOf(3, 1));
    CHECK_FALSE(hold.find("job", 1, 7, 2));
    hold.add(sampleOf(4, 1));
    CHECK_FALSE(hold.find("job", 1, 7, 0));
    CHECK(hold.count() == 3);
    CHECK(hold.bytes() == 3 * sampleBytes);
    hold.setMaxBytes(0);
    CHECK(hold.count() == 0);
    CHECK(hold.bytes() == 0);
}
