#include "FixedSeed.h"

#include <catch2/catch.hpp>
#include <endiveroad/CrashRegister.h>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <random>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };

ContentId contentNumber(uint64_t number)
{
    return { 7, number };
}

const ContentId crashing = contentNumber(1);
const ContentId sound = contentNumber(2);

/// Lets servers end under the content, one each time; it was sent before any of them ended.
void crash(
    CrashRegister& crashes, const ContentId& content, int count, Instant now, ContentKind kind = ContentKind::Call)
{
    for (int i = 0; i < count; ++i) {
        const std::string server = fmt::format("s{}/1", crashes.record(content).crashedServers.size());
        crashes.onCrash({ content, server, now - 1s, kind }, now);
    }
}

/// Sends a trial under which a server ends.
void failTrial(CrashRegister& crashes, const ContentId& content, Instant now)
{
    REQUIRE(crashes.admit(content, "s", 0s, now) == CrashAdmission::Trial);
    const std::string server = fmt::format("t{}/1", crashes.record(content).failedTrials.size());
    crashes.onCrash({ content, server, now, crashes.record(content).kind }, now);
}

/// The content has ended three servers and one more under a trial.
void block(CrashRegister& crashes, const ContentId& content, Instant now)
{
    crash(crashes, content, 3, now);
    failTrial(crashes, content, now);
}

} // namespace

TEST_CASE("a content id differs with method, host, target and body, and survives its text", "[crashes]")
{
    const ContentId id = ContentId::of("POST", "a.example", "/x", "body");
    CHECK(id == ContentId::of("POST", "a.example", "/x", "body"));
    CHECK(id != ContentId::of("PUT", "a.example", "/x", "body"));
    CHECK(id != ContentId::of("POST", "b.example", "/x", "body"));
    CHECK(id != ContentId::of("POST", "a.example", "/y", "body"));
    CHECK(id != ContentId::of("POST", "a.example", "/x", "other"));
    CHECK(ContentId::parse(id.text()) == id);
    CHECK_THROWS_AS(ContentId::parse("12"), BadRequestError);
    CHECK_THROWS_AS(ContentId::parse(std::string(31, '0') + "x"), BadRequestError);
}

TEST_CASE("from the third crash on only trials are sent, and each one that fails makes the block longer", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, crashing, 2, start);
    CHECK(crashes.admit(crashing, "s", 0s, start) == CrashAdmission::Admitted);
    crash(crashes, crashing, 1, start);
    CHECK(crashes.isPending(crashing));
    Instant now = start;
    for (const Duration length : CrashRegister::callBlocks) {
        failTrial(crashes, crashing, now);
        CHECK_FALSE(crashes.isPending(crashing));
        CHECK(crashes.admit(crashing, "s", 0s, now) == CrashAdmission::Blocked);
        CHECK(crashes.blockedUntil(crashing) == now + length);
        now += length;
    }
    failTrial(crashes, crashing, now);
    CHECK(crashes.blockedUntil(crashing) == now + CrashRegister::longestBlock);
    CHECK(crashes.admit(sound, "s", 0s, now) == CrashAdmission::Admitted);
    CHECK(crashes.blockedCount(now) == 1);
}

TEST_CASE("an owed content waits less than 5 s for each of its first trials", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, crashing, 3, start, ContentKind::Owed);
    Instant now = start;
    for (int failures = 0; failures < 3; ++failures) {
        failTrial(crashes, crashing, now);
        CHECK(crashes.blockedUntil(crashing) < now + 5s);
        now = crashes.blockedUntil(crashing);
    }
    failTrial(crashes, crashing, now);
    failTrial(crashes, crashing, crashes.blockedUntil(crashing));
    CHECK(crashes.blockedUntil(crashing) - now > 5min);
}

TEST_CASE("two processes that report the end of one server count one crash", "[crashes]")
{
    CrashRegister crashes;
    CHECK(crashes.onCrash({ crashing, "s0/1", start }, start));
    CHECK_FALSE(crashes.onCrash({ crashing, "s0/1", start }, start));
    CHECK(crashes.onCrash({ crashing, "s0/2", start }, start));
    CHECK(crashes.record(crashing).crashedServers.size() == 2);
}

TEST_CASE("each failed trial counts, also at a server whose new start is not known", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, crashing, 3, start);
    Instant now = start;
    for (size_t failures = 1; failures <= CrashRegister::callBlocks.size(); ++failures) {
        REQUIRE(crashes.admit(crashing, "s0", 0s, now) == CrashAdmission::Trial);
        CHECK(crashes.onCrash({ crashing, "s0/1", now }, now));
        CHECK(crashes.record(crashing).failedTrials.size() == failures);
        CHECK(crashes.blockedUntil(crashing) == now + CrashRegister::callBlocks[failures - 1]);
        now = crashes.blockedUntil(crashing);
    }
}

TEST_CASE("one trial is admitted at a time, and an answer ends the block", "[crashes]")
{
    CrashRegister crashes;
    block(crashes, crashing, start);
    const Instant end = start + CrashRegister::callBlocks.front();
    CHECK(crashes.admit(crashing, "s", 0s, end) == CrashAdmission::Trial);
    CHECK(crashes.admit(crashing, "s", 0s, end) == CrashAdmission::Blocked);
    CHECK(crashes.admit(crashing, "s", 0s, end + CrashRegister::trialTime) == CrashAdmission::Trial);
    CHECK(crashes.onAnswered(crashing));
    CHECK(crashes.admit(crashing, "s", 0s, end) == CrashAdmission::Admitted);
    CHECK_FALSE(crashes.isSuspect(crashing));
}

TEST_CASE("a trial begins after the delay that its process has drawn, unless another one was first", "[crashes]")
{
    CrashRegister first;
    CrashRegister second;
    crash(first, crashing, 3, start);
    second.merge(first.record(crashing), start);
    CHECK(first.admit(crashing, "s", 10ms, start) == CrashAdmission::Pending);
    CHECK(second.admit(crashing, "s", 20ms, start) == CrashAdmission::Pending);
    CHECK(first.admit(crashing, "s", 500ms, start + 10ms) == CrashAdmission::Trial);
    CHECK(second.merge(first.record(crashing), start + 12ms));
    CHECK(second.admit(crashing, "s", 0s, start + 20ms) == CrashAdmission::Pending);
    CHECK(second.blockedUntil(crashing) == start + 10ms + CrashRegister::trialTime);
}

TEST_CASE("a content that many callers send goes on after one trial when its servers end together", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, sound, 5, start);
    CHECK(crashes.isPending(sound));
    CHECK(crashes.admit(sound, "s", 0s, start) == CrashAdmission::Trial);
    CHECK(crashes.admit(sound, "s", 0s, start) == CrashAdmission::Pending);
    CHECK(crashes.onAnswered(sound));
    CHECK(crashes.admit(sound, "s", 0s, start) == CrashAdmission::Admitted);
}

TEST_CASE("a content that was answered just now is held back like any other once it crashes servers", "[crashes]")
{
    CrashRegister crashes;
    crashes.onAnswered(crashing);
    block(crashes, crashing, start);
    CHECK(crashes.admit(crashing, "s", 0s, start) == CrashAdmission::Blocked);
}

TEST_CASE(
    "a trial that no server ran is repeated at once only soon after the crashes, or if it was not sent", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, sound, 3, start);
    REQUIRE(crashes.admit(sound, "s", 0s, start) == CrashAdmission::Trial);
    crashes.onNotRun(sound, start, true, start);
    CHECK(crashes.admit(sound, "s", 0s, start) == CrashAdmission::Trial);
    const Instant later = start + CrashRegister::freeTrialTime;
    crashes.onNotRun(sound, start, true, later);
    CHECK(crashes.admit(sound, "s", 0s, later) == CrashAdmission::Pending);
    crashes.onNotRun(sound, start, false, later);
    CHECK(crashes.admit(sound, "s", 0s, later) == CrashAdmission::Trial);
    // An attempt that was sent before the third crash was none.
    crashes.onNotRun(sound, start - 1s, false, later);
    CHECK(crashes.admit(sound, "s", 0s, later) == CrashAdmission::Pending);
}

TEST_CASE("a content that was there at some of another one's crashes is not blocked", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, crashing, 4, start);
    CrashRecord neighbour;
    neighbour.content = sound;
    neighbour.crashedServers = { "s1/1", "s2/1", "s3/1" };
    crashes.merge(neighbour, start);
    CHECK(crashes.admit(sound, "s", 0s, start) == CrashAdmission::Admitted);
    failTrial(crashes, crashing, start);
    CHECK(crashes.admit(crashing, "s", 0s, start) == CrashAdmission::Blocked);
    CHECK(crashes.blockedCount(start) == 1);
    neighbour.crashedServers = { "s7/1", "s8/1", "s9/1" };
    crashes.merge(neighbour, start);
    CHECK(crashes.isPending(sound));
}

TEST_CASE("a block that has settled stays, whatever another content does", "[crashes]")
{
    CrashRegister crashes;
    block(crashes, crashing, start);
    const Instant later = start + CrashRegister::settleTime;
    CHECK(crashes.admit(crashing, "s", 0s, later) == CrashAdmission::Blocked);
    crash(crashes, sound, 5, later);
    CHECK(crashes.admit(crashing, "s", 0s, later) == CrashAdmission::Blocked);
}

TEST_CASE("a suspect is kept apart from other suspects", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, crashing, 2, start);
    crash(crashes, sound, 2, start);
    crashes.onStart(crashing, "s9");
    CHECK(crashes.serversWithOtherSuspects(sound) == std::set<std::string> { "s9" });
    CHECK(crashes.serversWithOtherSuspects(crashing).empty());
    crashes.onEnd(crashing, "s9");
    CHECK(crashes.serversWithOtherSuspects(sound).empty());
}

TEST_CASE("an answer makes crashes void in every process, in whatever order the records arrive", "[crashes]")
{
    CrashRegister first;
    CrashRegister second;
    block(first, crashing, start);
    const CrashRecord blocked = first.record(crashing);
    CHECK(second.merge(blocked, start));
    CHECK_FALSE(second.merge(blocked, start));
    CHECK(second.admit(crashing, "s", 0s, start) == CrashAdmission::Blocked);
    CHECK(first.onAnswered(crashing));
    CHECK(second.merge(first.record(crashing), start));
    CHECK_FALSE(second.merge(blocked, start));
    CHECK(second.admit(crashing, "s", 0s, start) == CrashAdmission::Admitted);
}

TEST_CASE("records are forgotten some time after the last crash, and beyond their number", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, crashing, 3, start);
    for (uint64_t i = 0; i < CrashRegister::maxRecords; ++i)
        crash(crashes, contentNumber(100 + i), 1, start + 1s);
    CHECK(crashes.records().size() == CrashRegister::maxRecords);
    CHECK_FALSE(crashes.isSuspect(crashing));
    crash(crashes, sound, 1, start + 1s + CrashRegister::recordLifetime);
    CHECK(crashes.records().size() == 1);
}

TEST_CASE("registers that exchange all records agree, whatever the order and number of merges", "[crashes]")
{
    checkProperty("merge order", 21, 500, [] {
        std::vector<CrashRegister> nodes(3);
        std::vector<CrashRecord> sent;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
        for (int step : steps) {
            CrashRegister& node = nodes[static_cast<size_t>(step) % nodes.size()];
            if (step % 10 == 9)
                node.onAnswered(crashing);
            else if (step % 10 == 8 && !sent.empty())
                node.merge(sent[static_cast<size_t>(step) % sent.size()], start);
            else
                node.onCrash({ crashing, fmt::format("s{}/{}", step % 7, step % 3), start }, start);
            sent.push_back(node.record(crashing));
        }
        for (CrashRegister& node : nodes) {
            auto order = sent;
            std::shuffle(order.begin(), order.end(), std::minstd_rand(static_cast<uint32_t>(&node - nodes.data()) + 1));
            for (const CrashRecord& record : order)
                node.merge(record, start);
        }
        bool isSettled = false;
        for (size_t round = 0; round < nodes.size() + 1 && !isSettled; ++round) {
            isSettled = true;
            for (CrashRegister& from : nodes) {
                for (CrashRegister& to : nodes)
                    isSettled = !to.merge(from.record(crashing), start) && isSettled;
            }
        }
        RC_ASSERT(isSettled);
        RC_ASSERT(nodes[0].record(crashing) == nodes[1].record(crashing));
        RC_ASSERT(nodes[0].record(crashing) == nodes[2].record(crashing));
    });
}
