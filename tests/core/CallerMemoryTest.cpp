#include <catch2/catch.hpp>
#include <endiveroad/CallerMemory.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 10s };
constexpr uint64_t megabyte = 1U << 20;

CallerBounds bounds(uint64_t bytes, uint64_t largeBytes, size_t connections = 0)
{
    CallerBounds result;
    result.bytes = bytes;
    result.largeBytes = largeBytes;
    result.connections = connections;
    return result;
}

CallerId addReceiving(CallerMemory& memory, Instant at, uint64_t bytes)
{
    const CallerId id = memory.add(at);
    memory.setPhase(id, CallerPhase::Receiving, at);
    REQUIRE(memory.hold(id, bytes).isGranted);
    return id;
}

} // namespace

// Guards against a crowd of stalled bodies that shuts out callers whose bodies arrive.
TEST_CASE("the body that has stalled the longest yields to one that makes progress", "[callers]")
{
    CallerMemory memory(bounds(10 * megabyte, 10 * megabyte));
    const CallerId stalled = addReceiving(memory, start, 4 * megabyte);
    const CallerId slow = addReceiving(memory, start + 1s, 4 * megabyte);
    const CallerId active = addReceiving(memory, start + 2s, megabyte);
    memory.onProgress(stalled, CallerMemory::progressBytes - 1, start + 3s);
    memory.onProgress(slow, CallerMemory::progressBytes, start + 3s);
    memory.onProgress(active, CallerMemory::progressBytes, start + 4s);
    const auto decision = memory.hold(active, 4 * megabyte);
    CHECK(decision.isGranted);
    CHECK(decision.yielding == std::vector { stalled });
    CHECK(memory.heldBytes() == 8 * megabyte + 2 * CallerMemory::connectionBytes);
}

TEST_CASE("a body that has made less progress than all others is refused itself", "[callers]")
{
    CallerMemory memory(bounds(6 * megabyte, 6 * megabyte));
    const CallerId stalled = addReceiving(memory, start, megabyte);
    addReceiving(memory, start + 1s, 4 * megabyte);
    CHECK(memory.hold(stalled, 4 * megabyte) == CallerMemory::Decision { false, {} });
    CHECK(memory.heldBytes() == 5 * megabyte + 2 * CallerMemory::connectionBytes);
}

// Guards against an answer 503 to a request that runs.
TEST_CASE("a request that is served does not yield, and nobody yields in vain", "[callers]")
{
    CallerMemory memory(bounds(6 * megabyte, 6 * megabyte));
    const CallerId served = addReceiving(memory, start, 4 * megabyte);
    memory.setPhase(served, CallerPhase::Served, start);
    addReceiving(memory, start + 1s, megabyte);
    const CallerId late = memory.add(start + 2s);
    memory.setPhase(late, CallerPhase::Receiving, start + 2s);
    CHECK(memory.hold(late, 4 * megabyte) == CallerMemory::Decision { false, {} });
    memory.setPhase(served, CallerPhase::Answering, start + 1s);
    CHECK(memory.hold(late, 4 * megabyte).yielding == std::vector { served });
}

TEST_CASE("large bodies leave a share to small requests", "[callers]")
{
    CallerMemory memory(bounds(10 * megabyte, 8 * megabyte));
    const CallerId large = addReceiving(memory, start, 8 * megabyte);
    memory.setPhase(large, CallerPhase::Served, start);
    const CallerId further = memory.add(start + 1s);
    memory.setPhase(further, CallerPhase::Receiving, start + 1s);
    CHECK_FALSE(memory.hold(further, megabyte).isGranted);
    CHECK(memory.hold(further, CallerMemory::smallBytes).isGranted);
}

TEST_CASE("of too many connections, those without progress yield and served ones stay", "[callers]")
{
    CallerMemory memory(bounds(0, 0, 2));
    const CallerId served = memory.add(start);
    memory.setPhase(served, CallerPhase::Served, start);
    const CallerId idle = memory.add(start + 1s);
    CHECK(memory.isFull());
    const CallerId newest = memory.add(start + 2s);
    CHECK(memory.excess() == std::vector { idle });
    memory.setPhase(newest, CallerPhase::Served, start + 3s);
    CHECK(memory.excess().empty());
    memory.remove(served);
    CHECK_FALSE(memory.isFull());
}

TEST_CASE(
    "nothing is bounded without memory and descriptors, and the smallest entry holds a batch job twice", "[callers]")
{
    CHECK(CallerBounds::of(0, 0) == CallerBounds());
    CallerMemory unbounded { CallerBounds() };
    CHECK(unbounded.hold(unbounded.add(start), 1000 * megabyte).isGranted);
    const CallerBounds smallest = CallerBounds::of(120 * megabyte, 3075);
    CHECK(smallest.largeBytes > 64 * megabyte);
    CHECK(smallest.connections == 1200);
    CHECK(CallerBounds::of(0, 3075).connections == 2050);
}
