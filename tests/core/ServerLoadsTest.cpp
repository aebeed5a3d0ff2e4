#include <catch2/catch.hpp>
#include <endiveroad/ServerLoads.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 10s };
const std::vector<ServerCandidate> servers { { "s0", 6 }, { "s1", 6 }, { "s2", 6 } };

} // namespace

TEST_CASE("a slow server gets fewer calls than the others", "[servers]")
{
    ServerLoads loads(1);
    std::map<std::string, int> calls;
    for (int i = 0; i < 300; ++i) {
        const std::string chosen = *loads.choose(servers, {}, start);
        ++calls[chosen];
        loads.onStart(chosen);
        loads.onAnswer(chosen, chosen == "s1" ? Duration(200ms) : Duration(25ms), start);
    }
    CHECK(calls["s1"] < 30);
    CHECK(calls["s0"] > 30);
}

TEST_CASE("calls in flight and reported load direct calls to other servers", "[servers]")
{
    ServerLoads loads(1);
    loads.onStart("s0");
    loads.onLoadReport("s1", 5, 2, start);
    CHECK(loads.choose(servers, {}, start) == "s2");
    CHECK(loads.choose({ { "s1", 6 }, { "s2", 6 } }, {}, start + ServerLoads::loadLifetime));
}

TEST_CASE("a server that failed is chosen last, and one that was tried never", "[servers]")
{
    ServerLoads loads(1);
    loads.onStart("s0");
    loads.onFailure("s0", start);
    for (int i = 0; i < 20; ++i)
        CHECK(loads.choose(servers, {}, start) != "s0");
    CHECK(loads.choose(servers, { "s1", "s2" }, start) == "s0");
    CHECK_FALSE(loads.choose(servers, { "s0", "s1", "s2" }, start));
}

TEST_CASE("a server that could not be reached gets no call for a while, even if no other is left", "[servers]")
{
    ServerLoads loads(1);
    loads.onUnreachable("s0", start);
    CHECK_FALSE(loads.choose(servers, { "s1", "s2" }, start + ServerLoads::unreachablePause - Duration(1)));
    CHECK(loads.choose(servers, { "s1", "s2" }, start + ServerLoads::unreachablePause) == "s0");
}

TEST_CASE("a process bounds its calls at each server and takes refusals for a smaller share of it", "[servers]")
{
    ServerLoads loads(1);
    const std::vector<ServerCandidate> one { { "s0", 6 } };
    const auto fill = [&](Instant now) {
        int sent = 0;
        for (; loads.choose(one, {}, now); ++sent)
            loads.onStart("s0");
        return sent;
    };
    CHECK(fill(start) == 3);
    for (int i = 0; i < 40; ++i) {
        loads.onAnswer("s0", 80ms, start);
        fill(start);
    }
    // All of its slots and the calls that queue.
    for (int i = 0; i < 6 + ServerLoads::queuedCalls; ++i)
        loads.onAnswer("s0", 80ms, start);
    CHECK(fill(start) == 6 + ServerLoads::queuedCalls);
    for (int i = 0; i < 4; ++i)
        loads.onRefused("s0", start);
    CHECK_FALSE(loads.choose(one, {}, start));
    const Instant later = start + ServerLoads::refusalPause;
    // Four calls are left, which is the new limit: one burst of refusals halves it once.
    CHECK_FALSE(loads.choose(one, {}, later));
    for (int i = 0; i < 4; ++i)
        loads.onAnswer("s0", 80ms, later);
    CHECK(fill(later) == 5);
}

TEST_CASE("the limit of a server recovers once it answers", "[servers]")
{
    ServerLoads loads(1);
    const std::vector<ServerCandidate> one { { "s0", 6 } };
    Instant now = start;
    for (int i = 0; i < 20; ++i) {
        now += ServerLoads::refusalPause;
        REQUIRE(loads.choose(one, {}, now));
        loads.onStart("s0");
        loads.onRefused("s0", now);
    }
    now += ServerLoads::refusalPause;
    for (int i = 0; i < 60; ++i) {
        REQUIRE(loads.choose(one, {}, now));
        loads.onStart("s0");
        loads.onAnswer("s0", 25ms, now);
    }
    int sent = 0;
    for (; loads.choose(one, {}, now); ++sent)
        loads.onStart("s0");
    CHECK(sent == 6 + ServerLoads::queuedCalls);
}

TEST_CASE("the rate of a service follows from the slots and the latencies", "[servers]")
{
    ServerLoads loads(1);
    CHECK(loads.rateOf({}).latency == Duration::max());
    for (int i = 0; i < 200; ++i) {
        for (const ServerCandidate& server : servers) {
            loads.choose(servers, {}, start);
            loads.onStart(server.id);
            loads.onAnswer(server.id, server.id == "s2" ? 60ms : 90ms, start);
        }
    }
    // 12 slots at 90 ms a call and 6 at 60 ms: 7 calls in 30 ms.
    const ServiceRate rate = loads.rateOf(servers);
    CHECK(std::chrono::round<std::chrono::milliseconds>(rate.latency) == 60ms);
    CHECK(std::chrono::round<std::chrono::milliseconds>(rate.interval * 70) == 300ms);
}

TEST_CASE("several processes share a full service without a storm of refusals", "[servers]")
{
    // Four processes each have 120 scoring calls of 80 ms at once for seven servers with 6 slots and 4 places to queue.
    constexpr int processes = 4;
    constexpr int callsEach = 120;
    constexpr int places = 6 + 4;
    constexpr Duration work = 80ms;
    std::vector<ServerCandidate> candidates;
    for (int i = 0; i < 7; ++i)
        candidates.push_back({ "s" + std::to_string(i), 6 });
    std::vector<ServerLoads> loads;
    for (int i = 0; i < processes; ++i)
        loads.emplace_back(i + 1);
    struct Running {
        Instant end;
        int process;
        Instant sentAt;
    };
    std::map<std::string, std::vector<Running>> running;
    std::vector<int> left(processes, callsEach);
    int refusals = 0;
    int answers = 0;
    Instant now = start;
    for (; answers < processes * callsEach && now < start + 10s; now += 1ms) {
        for (auto& [server, calls] : running) {
            std::erase_if(calls, [&](const Running& call) {
                if (call.end > now)
                    return false;
                loads[call.process].onAnswer(server, now - call.sentAt, now);
                ++answers;
                return true;
            });
        }
        for (int process = 0; process < processes; ++process) {
            while (left[process] > 0) {
                const auto chosen = loads[process].choose(candidates, {}, now);
                if (!chosen)
                    break;
                loads[process].onStart(*chosen);
                auto& calls = running[*chosen];
                if (calls.size() >= places) {
                    loads[process].onRefused(*chosen, now);
                    ++refusals;
                    continue;
                }
                const Instant begin = calls.size() < 6 ? now : calls[calls.size() - 6].end;
                calls.push_back({ begin + work, process, now });
                --left[process];
            }
        }
    }
    CHECK(answers == processes * callsEach);
    // 480 calls of 80 ms on 42 slots take 0.92 s at least.
    CHECK(now - start < 1500ms);
    CHECK(refusals < processes * callsEach / 4);
}

TEST_CASE("limited servers add to the rate what their limits leave this process", "[loads]")
{
    const ServerLoads loads(1);
    const ServerCandidate unlimited { "s0", 6 };
    const ServerCandidate limited { "s1", 6, PermitOutlook { start + 2s, 4s } };
    const ServiceRate alone = loads.rateOf({ limited });
    CHECK(alone.startAt == start + 2s);
    CHECK(alone.interval == 4s);
    CHECK(alone.uncertainty == ServerLoads::limitUncertainty);
    const ServiceRate both = loads.rateOf({ unlimited, limited });
    CHECK(both.startAt == Instant::min());
    CHECK(both.interval < 100ms);
    CHECK(both.uncertainty < 0.1);
}

// Guards against rates that count the time in which a full server gets no call as if it answered calls.
TEST_CASE("a process whose calls are refused again and again expects a lower rate", "[loads]")
{
    ServerLoads loads(1);
    const std::vector<ServerCandidate> one { { "s0", 6 } };
    Instant now = start;
    for (int i = 0; i < 100; ++i) {
        for (int refusals = 0; refusals < 3; ++refusals) {
            now += ServerLoads::refusalPause;
            loads.choose(one, {}, now);
            loads.onStart("s0");
            loads.onRefused("s0", now);
        }
        now += ServerLoads::refusalPause;
        loads.choose(one, {}, now);
        loads.onStart("s0");
        loads.onAnswer("s0", 25ms, now);
    }
    // Three pauses and an answer for each call at the least limit.
    CHECK(loads.rateOf(one).interval > 45ms);
    CHECK(loads.rateOf(one).latency == 25ms);
}

// Guards against calls with time in hand at servers that callers' calls of other processes have filled, and against
// calls that hold back because of their own process, or for long.
TEST_CASE("a call that yields avoids servers that others have just filled", "[loads]")
{
    ServerLoads loads(1);
    const std::vector<ServerCandidate> one { { "s0", 6 } };
    loads.onLoadReport("s0", 5, 0, start);
    CHECK(loads.choose(one, {}, start, true));
    loads.onLoadReport("s0", 6, 1, start);
    CHECK_FALSE(loads.choose(one, {}, start, true));
    CHECK(loads.choose(one, {}, start, false));
    CHECK(loads.choose(one, {}, start + ServerLoads::yieldTime, true));
    for (int i = 0; i < 7; ++i)
        loads.onStart("s0");
    loads.onLoadReport("s0", 6, 1, start);
    for (int i = 0; i < 5; ++i)
        loads.onAbandoned("s0");
    CHECK(loads.choose(one, {}, start, true));
}
