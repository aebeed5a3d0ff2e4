#include <catch2/catch.hpp>
#include <endiveroad/PermitQueue.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 10s };

/// Number of permits issued in decisions.
int issued(const std::vector<PermitDecision>& decisions)
{
    int count = 0;
    for (const PermitDecision& decision : decisions)
        count += decision.count;
    return count;
}

/// Permits issued to processes that ask again as soon as they have an answer, by process.
std::map<std::string, int> play(PermitQueue& queue, int processes, int32_t count, Duration time)
{
    std::map<std::string, int> permits;
    std::map<uint64_t, std::string> asked;
    for (Instant now = start; now < start + time; now += 5ms) {
        for (int i = 0; i < processes; ++i) {
            const std::string process = "p" + std::to_string(i);
            const bool isWaiting = std::any_of(
                asked.begin(), asked.end(), [&process](const auto& entry) { return entry.second == process; });
            if (!isWaiting)
                asked[queue.add({ process, 1, count, never }, now)] = process;
        }
        for (const PermitDecision& decision : queue.decide(now)) {
            permits[asked.at(decision.ticket)] += decision.count;
            asked.erase(decision.ticket);
        }
    }
    return permits;
}

} // namespace

TEST_CASE(
    "permits of all processes together come at the rate of the limit, and each process gets its share", "[limits]")
{
    for (const double limit : { 1.0, 4.0, 25.0, 300.0 }) {
        PermitQueue queue(limit, 0, start);
        int all = 0;
        int least = 1000000;
        for (const auto& [process, permits] : play(queue, 5, 100, 40s)) {
            all += permits;
            least = std::min(least, permits);
        }
        CHECK(all <= limit * 40 + 1);
        CHECK(all >= 0.95 * limit * 40);
        CHECK(least >= 0.15 * all);
    }
}

TEST_CASE("permits that nobody asks for do not accumulate beyond a short burst", "[limits]")
{
    PermitQueue slow(2.0, 0, start);
    slow.add({ "p", 1, 100, never }, start + 60s);
    CHECK(issued(slow.decide(start + 60s)) == 2);
    PermitQueue fast(50.0, 0, start);
    fast.add({ "p", 1, 100, never }, start + 60s);
    CHECK(issued(fast.decide(start + 60s)) == 50);
}

TEST_CASE("a demand that cannot be served in time is denied at once and holds up nobody", "[limits]")
{
    PermitQueue queue(1.0, 0, start);
    const uint64_t first = queue.add({ "p", 1, 1, start + 1500ms }, start);
    const uint64_t tooLate = queue.add({ "q", 1, 1, start + 1900ms }, start);
    const uint64_t patient = queue.add({ "r", 1, 1, start + 2100ms }, start);
    const std::vector<PermitDecision> denied = queue.decide(start);
    REQUIRE(denied.size() == 1);
    CHECK(denied.front() == PermitDecision { tooLate, 0, start + 2s });
    CHECK(queue.nextDecisionAt() == start + 1s);
    CHECK(queue.decide(start + 1s) == std::vector<PermitDecision> { { first, 1, start + 1s } });
    CHECK(queue.decide(start + 2s) == std::vector<PermitDecision> { { patient, 1, start + 2s } });
    CHECK(queue.nextDecisionAt() == never);
}

TEST_CASE("urgent demands go first, but the oldest is not passed over for ever", "[limits]")
{
    PermitQueue queue(1.0, 0, start);
    const uint64_t old = queue.add({ "old", 9, 1, never }, start);
    std::vector<uint64_t> granted;
    for (int second = 1; second <= 4; ++second) {
        queue.add({ "urgent", 0, 1, never }, start + 1s * second);
        for (const PermitDecision& decision : queue.decide(start + 1s * second))
            granted.push_back(decision.ticket);
    }
    REQUIRE(granted.size() == 4);
    CHECK(std::find(granted.begin(), granted.end(), old) == granted.begin() + 3);
}

TEST_CASE("a server that takes nothing is tried now and then, since only its answers end the limit", "[limits]")
{
    PermitQueue queue(0.0, 0, start);
    const auto permits = play(queue, 3, 10, 40s);
    int all = 0;
    for (const auto& [process, count] : permits)
        all += count;
    CHECK(all >= 9);
    CHECK(all <= 11);
}

TEST_CASE("a process that no longer waits gets no permit, and the others share what is left", "[limits]")
{
    PermitQueue queue(1.0, 0, start);
    const uint64_t gone = queue.add({ "p", 1, 1, never }, start);
    const uint64_t waiting = queue.add({ "q", 1, 1, never }, start);
    CHECK(queue.askers(start) == 2);
    CHECK(queue.intervalOfProcess(start) == 2s);
    queue.remove(gone);
    CHECK(queue.decide(start + 1s) == std::vector<PermitDecision> { { waiting, 1, start + 1s } });
    CHECK(queue.askers(start + 2500ms) == 1);
}

TEST_CASE("a changed limit holds from its change on", "[limits]")
{
    PermitQueue queue(100.0, 0, start);
    queue.setLimit(1.0, start + 10s);
    queue.add({ "p", 1, 100, never }, start + 10s);
    CHECK(issued(queue.decide(start + 11s)) == 1);
    CHECK(queue.limit() == 1.0);
}

TEST_CASE("a demand that was accepted keeps its place if an urgent one that can wait comes later", "[limits]")
{
    PermitQueue queue(1.0, 0, start);
    const uint64_t waiting = queue.add({ "caller", 1, 1, start + 1100ms }, start);
    CHECK(queue.decide(start).empty());
    const uint64_t urgent = queue.add({ "agent", 0, 1, start + 12s }, start + 500ms);
    const uint64_t late = queue.add({ "other", 1, 1, start + 2500ms }, start + 600ms);
    CHECK(queue.decide(start + 600ms) == std::vector<PermitDecision> { { late, 0, start + 3s } });
    CHECK(queue.decide(start + 1s) == std::vector<PermitDecision> { { waiting, 1, start + 1s } });
    CHECK(queue.decide(start + 2s) == std::vector<PermitDecision> { { urgent, 1, start + 2s } });
}
