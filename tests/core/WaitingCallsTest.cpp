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
    CHECK(waiting.isFirst("s", urgent, start));
    CHECK_FALSE(waiting.isFirst("s", early, start));
    waiting.remove("s", urgent);
    CHECK(waiting.isFirst("s", early, start));
    waiting.remove("s", early);
    CHECK(waiting.isFirst("s", late, start));
    CHECK(waiting.first("s", start) == late);
    CHECK(waiting.count("s") == 1);
}

TEST_CASE("calls of one service do not wait for those of another", "[servers]")
{
    WaitingCalls waiting;
    waiting.add("s", 0, start);
    const CallTicket other = waiting.add("t", 9, start + 9s);
    CHECK(waiting.isFirst("t", other, start));
    CHECK(waiting.isFirst("u", { 9, start + 9s, 0 }, start));
    CHECK_FALSE(waiting.isFirst("s", { 9, start + 9s, 0 }, start));
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

// Guards against a queue that serves late calls while others become late.
TEST_CASE("calls that can still meet their objective go first, by their latest start", "[waiting]")
{
    WaitingCalls calls;
    const CallTicket late = calls.add("s", 1, start + 500ms, start + 30ms);
    const CallTicket soon = calls.add("s", 1, start + 1s, start + 100ms);
    const CallTicket later = calls.add("s", 1, start + 900ms, start + 150ms);
    const CallTicket urgent = calls.add("s", 0, start + 2s, start - 1s);
    calls.setRate("s", { 10ms, 50ms, start, 0, 50ms });
    CHECK(calls.first("s", start) == urgent);
    calls.remove("s", urgent);
    CHECK(calls.first("s", start) == soon);
    // The order follows the time: at 60 ms only the last can be in time, at 110 ms none, so that deadlines decide.
    CHECK(calls.first("s", start + 60ms) == later);
    CHECK(calls.first("s", start + 110ms) == late);
    CHECK_FALSE(calls.isFirst("s", soon, start + 60ms));
}

// Guards against rejections of late calls that leftover capacity would serve, and against calls that are held although
// the share of late calls leaves them no capacity.
TEST_CASE("late calls keep their chance while the share of late calls allows it", "[waiting]")
{
    WaitingCalls calls;
    const ServiceRate rate { 10ms, 20ms };
    for (int i = 0; i < 10; ++i)
        calls.add("s", 1, start + 500ms, start);
    CHECK(calls.outlook("s", rate, start).hopeless.empty());
    CHECK(calls.outlook("s", rate, start).roomAt == start + 100ms);
    const CallTicket prompt = calls.add("s", 1, start + 1s, start + 150ms);
    for (int i = 0; i < 100; ++i)
        calls.onStart("s", prompt, start);
    // One of ten calls that begin is a late one, each 100 ms.
    const WaitingOutlook outlook = calls.outlook("s", rate, start);
    CHECK(outlook.hopeless.size() == 5);
    CHECK(outlook.remaining == 6);
    CHECK(outlook.roomAt == start + 500ms);
    CHECK(describeRejection(outlook, rate, start)
        == "the servers of the route are full: 6 calls wait, one begins each 10.0 ms, there is room in 500 ms");
}

// Guards against an organisation whose burst takes the capacity of others.
TEST_CASE("organisations of equal priority are served in turn", "[waiting]")
{
    WaitingCalls calls;
    for (int i = 0; i < 20; ++i)
        calls.add("s", 1, start + 1s, start + 500ms, "large");
    for (int i = 0; i < 3; ++i)
        calls.add("s", 1, start + 1s, start + 600ms, "small");
    // Ten calls begin in time, at least three of each organisation.
    const auto hopeless = calls.hopeless("s", { 100ms, 50ms }, start);
    CHECK(hopeless.size() == 13);
    std::string order;
    for (int i = 0; i < 8; ++i) {
        const CallTicket first = *calls.first("s", start);
        calls.onStart("s", first, start);
        calls.remove("s", first);
        order += first.organisation.front();
    }
    CHECK(order == "lslslsll");
}

TEST_CASE("one organisation alone has the whole capacity", "[waiting]")
{
    WaitingCalls named;
    WaitingCalls unnamed;
    for (int i = 0; i < 20; ++i) {
        named.add("s", i % 3, start + 100ms * i, start + 50ms * i, "only");
        unnamed.add("s", i % 3, start + 100ms * i, start + 50ms * i);
    }
    while (const auto first = named.first("s", start)) {
        CHECK(first->number == unnamed.first("s", start)->number);
        const auto other = *unnamed.first("s", start);
        named.onStart("s", *first, start);
        named.remove("s", *first);
        unnamed.onStart("s", other, start);
        unnamed.remove("s", other);
    }
}

// Guards against calls that wait for long before they are rejected, since later ones that can still meet their
// objective keep going before them on permits whose times are only estimated.
TEST_CASE("waiting calls of servers with request limits go by deadline")
{
    WaitingCalls waiting;
    const CallTicket early = waiting.add("service", 0, start + 1s, start + 10ms);
    const CallTicket prompt = waiting.add("service", 0, start + 2s, start + 1500ms);
    ServiceRate rate { 10ms, 20ms, start, 0, 20ms };
    waiting.setRate("service", rate);
    CHECK(waiting.first("service", start) == prompt);
    rate.uncertainty = ServerLoads::limitUncertainty;
    waiting.setRate("service", rate);
    CHECK(waiting.first("service", start) == early);
    rate.interval = 700ms;
    CHECK(waiting.hopeless("service", rate, start).empty());
    CHECK(waiting.hopeless("service", rate, start + 400ms, prompt) == std::vector<CallTicket> { prompt });
}
