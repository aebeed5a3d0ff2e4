#include <catch2/catch.hpp>
#include <endiveroad/WaitingCalls.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 10s };

} // namespace

TEST_CASE("urgent calls wait before others, and among equals the one whose caller gives up first", "[servers]")
{
    WaitingCalls waiting;
    const CallTicket late = waiting.add("s", 1, start + 2s);
    const CallTicket early = waiting.add("s", 1, start + 1s);
    const CallTicket urgent = waiting.add("s", 0, start + 3s);
    CHECK(waiting.isFirst("s", urgent));
    CHECK_FALSE(waiting.isFirst("s", early));
    waiting.remove("s", urgent);
    CHECK(waiting.isFirst("s", early));
    waiting.remove("s", early);
    CHECK(waiting.isFirst("s", late));
    CHECK(waiting.first("s") == late);
    CHECK(waiting.count("s") == 1);
}

TEST_CASE("calls of one service do not wait for those of another", "[servers]")
{
    WaitingCalls waiting;
    waiting.add("s", 0, start);
    const CallTicket other = waiting.add("t", 9, start + 9s);
    CHECK(waiting.isFirst("t", other));
    CHECK(waiting.isFirst("u", { 9, start + 9s, 0 }));
    CHECK_FALSE(waiting.isFirst("s", { 9, start + 9s, 0 }));
    waiting.remove("u", other);
    waiting.remove("s", other);
    CHECK(waiting.count("s") == 1);
    CHECK(waiting.count("t") == 1);
}

TEST_CASE("calls that cannot be answered in time are known before their time is over", "[servers]")
{
    // A call begins each 10 ms and takes 80 ms: of a hundred calls with 500 ms each, 42 begin in time.
    WaitingCalls waiting;
    for (int i = 0; i < 100; ++i)
        waiting.add("s", 0, start + 500ms);
    const auto hopeless = waiting.hopeless("s", { 10ms, 80ms }, start);
    REQUIRE(hopeless.size() == 58);
    for (const CallTicket& ticket : hopeless)
        waiting.remove("s", ticket);
    CHECK(waiting.hopeless("s", { 10ms, 80ms }, start).empty());
    // One that is left out does not delay an urgent one or those behind it.
    CHECK(waiting.hopeless("s", { 10ms, 80ms }, start + 450ms).size() == 42);
    CHECK(waiting.hopeless("s", { 20ms, 80ms }, start).size() == 21);
    CHECK(waiting.hopeless("s", { Duration::max(), Duration::max() }, start).size() == 42);
    CHECK(waiting.hopeless("t", { 10ms, 80ms }, start).empty());
}

TEST_CASE("a call that begins to wait for limited servers needs more time in hand than one that waits", "[waiting]")
{
    const Instant start { 10s };
    const ServiceRate rate { 300ms, 20ms, start + 100ms, 1.0 };
    WaitingCalls calls;
    const CallTicket waiting = calls.add("s", 1, start + 150ms);
    const CallTicket newcomer = calls.add("s", 1, start + 600ms);
    CHECK(calls.hopeless("s", rate, start).empty());
    // It begins at 400 ms if all goes as worked out, at 1,100 ms if others take more.
    CHECK(calls.hopeless("s", rate, start, newcomer) == std::vector<CallTicket> { newcomer });
    CHECK(calls.lastDeadline("s") == start + 600ms);
    calls.remove("s", waiting);
    CHECK(calls.hopeless("s", rate, start, newcomer).empty());
    CHECK(calls.services() == std::vector<std::string> { "s" });
}
