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

/// What a request with the content at server "s" is told.
CrashAdmission ask(CrashRegister& crashes, const ContentId& content, Instant now)
{
    return crashes.admit(content, "s", 7, now);
}

/// Announces a trial and sends it when it is due. Returns when it was sent.
Instant sendTrial(CrashRegister& crashes, const ContentId& content, Instant now)
{
    REQUIRE(ask(crashes, content, now) == CrashAdmission::Announced);
    const Instant sentAt = now + CrashRegister::announceTime;
    REQUIRE(ask(crashes, content, sentAt) == CrashAdmission::Trial);
    return sentAt;
}

/// Sends a trial under which a server ends at once. Returns when.
Instant failTrial(CrashRegister& crashes, const ContentId& content, Instant now)
{
    const Instant sentAt = sendTrial(crashes, content, now);
    const std::string server = fmt::format("t{}/1", crashes.record(content).failedTrials.size());
    crashes.onCrash({ content, server, sentAt, crashes.record(content).kind }, sentAt);
    return sentAt;
}

/// The content has ended three servers and one more under a trial. Returns when the last one ended.
Instant block(CrashRegister& crashes, const ContentId& content, Instant now)
{
    crash(crashes, content, 3, now);
    return failTrial(crashes, content, now);
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
    CHECK(ask(crashes, crashing, start) == CrashAdmission::Admitted);
    crash(crashes, crashing, 1, start);
    CHECK(crashes.isPending(crashing));
    Instant now = start;
    for (const Duration length : CrashRegister::callBlocks) {
        const Instant failedAt = failTrial(crashes, crashing, now);
        CHECK_FALSE(crashes.isPending(crashing));
        CHECK(ask(crashes, crashing, failedAt) == CrashAdmission::Blocked);
        CHECK(crashes.blockedUntil(crashing) == failedAt + length);
        now = failedAt + length;
    }
    now = failTrial(crashes, crashing, now);
    CHECK(crashes.blockedUntil(crashing) == now + CrashRegister::longestBlock);
    CHECK(ask(crashes, sound, now) == CrashAdmission::Admitted);
    CHECK(crashes.blockedCount(now) == 1);
}

TEST_CASE("an owed content waits less than 5 s for each of its first trials, and three are late in 5 min", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, crashing, 3, start, ContentKind::Owed);
    Instant now = start;
    int late = 0;
    for (int failures = 0; now < start + 5min; ++failures) {
        const Instant failedAt = failTrial(crashes, crashing, now);
        now = crashes.blockedUntil(crashing);
        if (failures < 3)
            CHECK(now < failedAt + 5s);
        late += failedAt > start + 3s ? 1 : 0;
    }
    CHECK(late <= 3);
}

TEST_CASE("a process that learns of a content later knows which trials are late", "[crashes]")
{
    CrashRegister first;
    CrashRegister second;
    crash(first, crashing, 3, start, ContentKind::Owed);
    const Instant later = start + CrashRegister::freeTrialTime;
    second.merge(first.record(crashing), later);
    const Instant failedAt = failTrial(second, crashing, later);
    CHECK(second.blockedUntil(crashing) == failedAt + CrashRegister::lateOwedBlocks.front());
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
        const Instant sentAt = sendTrial(crashes, crashing, now);
        CHECK(crashes.onCrash({ crashing, "s0/1", sentAt }, sentAt));
        CHECK(crashes.record(crashing).failedTrials.size() == failures);
        CHECK(crashes.blockedUntil(crashing) == sentAt + CrashRegister::callBlocks[failures - 1]);
        now = crashes.blockedUntil(crashing);
    }
}

TEST_CASE("one trial is admitted at a time, and an answer ends the block", "[crashes]")
{
    CrashRegister crashes;
    const Instant end = block(crashes, crashing, start) + CrashRegister::callBlocks.front();
    const Instant sentAt = sendTrial(crashes, crashing, end);
    CHECK(ask(crashes, crashing, sentAt) == CrashAdmission::Blocked);
    CHECK(ask(crashes, crashing, sentAt + CrashRegister::trialTime) == CrashAdmission::Announced);
    CHECK(crashes.onAnswered(crashing));
    CHECK(ask(crashes, crashing, end) == CrashAdmission::Admitted);
    CHECK_FALSE(crashes.isSuspect(crashing));
}

TEST_CASE("of two processes that announce a trial at the same moment only one sends it", "[crashes]")
{
    CrashRegister first;
    CrashRegister second;
    crash(first, crashing, 3, start);
    second.merge(first.record(crashing), start);
    CHECK(first.admit(crashing, "s", 20, start) == CrashAdmission::Announced);
    CHECK(second.admit(crashing, "s", 10, start) == CrashAdmission::Announced);
    CHECK(first.merge(second.record(crashing), start));
    CHECK_FALSE(second.merge(first.record(crashing), start));
    const Instant dueAt = start + CrashRegister::announceTime;
    CHECK(first.admit(crashing, "s", 30, dueAt) == CrashAdmission::Pending);
    CHECK(second.admit(crashing, "s", 40, dueAt) == CrashAdmission::Trial);
    CHECK(first.merge(second.record(crashing), dueAt));
    CHECK(first.admit(crashing, "s", 50, dueAt + 1s) == CrashAdmission::Pending);
    CHECK(first.blockedUntil(crashing) == dueAt + CrashRegister::trialTime);
}

TEST_CASE("a trial that its process does not send in time is announced by another one", "[crashes]")
{
    CrashRegister first;
    CrashRegister second;
    crash(first, crashing, 3, start);
    CHECK(first.admit(crashing, "s", 20, start) == CrashAdmission::Announced);
    second.merge(first.record(crashing), start);
    const Instant end = start + CrashRegister::announceTime + CrashRegister::announceGrace;
    CHECK(second.admit(crashing, "s", 30, end - 1ms) == CrashAdmission::Pending);
    CHECK(second.admit(crashing, "s", 30, end) == CrashAdmission::Announced);
    CHECK(first.merge(second.record(crashing), end));
    CHECK_FALSE(first.ownAnnouncement(crashing, end));
}

TEST_CASE("a server has one trial at a time, and one that moves is announced again", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, crashing, 3, start);
    CrashRecord other;
    other.content = sound;
    other.crashedServers = { "x/1", "y/1", "z/1" };
    crashes.merge(other, start);
    CHECK(crashes.admit(crashing, "s", 20, start) == CrashAdmission::Announced);
    CHECK(crashes.serversWithOtherTrials(sound, start) == std::set<std::string> { "s" });
    CHECK(crashes.admit(sound, "s", 10, start) == CrashAdmission::Announced);
    CHECK(crashes.isServerTaken(crashing, "s", start));
    CHECK_FALSE(crashes.isServerTaken(sound, "s", start));
    const Instant dueAt = start + CrashRegister::announceTime;
    CHECK(crashes.admit(crashing, "s", 30, dueAt) == CrashAdmission::Pending);
    CHECK(crashes.admit(crashing, "s2", 30, dueAt) == CrashAdmission::Announced);
    CHECK(crashes.admit(crashing, "s3", 31, dueAt) == CrashAdmission::Announced);
    CHECK(crashes.admit(sound, "s", 40, dueAt) == CrashAdmission::Trial);
}

TEST_CASE("a failed trial is excused once while another content that was there has not been answered", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, sound, 3, start);
    const Instant failedAt = failTrial(crashes, sound, start);
    CHECK_FALSE(crashes.isPending(sound));
    CrashRecord other;
    other.content = crashing;
    other.crashedServers = { "t0/1" };
    crashes.merge(other, failedAt);
    CHECK(crashes.isPending(sound));
    const Instant secondAt = failTrial(crashes, sound, failedAt);
    other.crashedServers.insert("t1/1");
    crashes.merge(other, secondAt);
    CHECK(ask(crashes, sound, secondAt) == CrashAdmission::Blocked);
}

TEST_CASE("a trial that fails late is not excused", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, sound, 3, start);
    const Instant failedAt = failTrial(crashes, sound, start + CrashRegister::freeTrialTime);
    CrashRecord other;
    other.content = crashing;
    other.crashedServers = { "t0/1" };
    crashes.merge(other, failedAt);
    CHECK(ask(crashes, sound, failedAt) == CrashAdmission::Blocked);
}

TEST_CASE("only the attempt that was sent as a trial fails it", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, sound, 3, start);
    crashes.onCrash({ sound, "t0/1", start }, start);
    CHECK(crashes.record(sound).failedTrials.empty());
    const Instant sentAt = sendTrial(crashes, sound, start);
    crashes.onCrash({ sound, "t1/1", start }, sentAt);
    CHECK(ask(crashes, sound, sentAt) == CrashAdmission::Pending);
    CHECK(crashes.record(sound).trial.phase == CrashTrial::Phase::Sent);
}

TEST_CASE("a content that many callers send goes on after one trial when its servers end together", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, sound, 5, start);
    CHECK(crashes.isPending(sound));
    const Instant sentAt = sendTrial(crashes, sound, start);
    CHECK(ask(crashes, sound, sentAt) == CrashAdmission::Pending);
    CHECK(crashes.onAnswered(sound));
    CHECK(ask(crashes, sound, sentAt) == CrashAdmission::Admitted);
}

TEST_CASE("a content that was answered just now is held back like any other once it crashes servers", "[crashes]")
{
    CrashRegister crashes;
    crashes.onAnswered(crashing);
    const Instant now = block(crashes, crashing, start);
    CHECK(ask(crashes, crashing, now) == CrashAdmission::Blocked);
}

TEST_CASE(
    "a trial that no server ran is repeated at once only soon after the crashes, or if it was not sent", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, sound, 3, start);
    Instant sentAt = sendTrial(crashes, sound, start);
    CHECK(crashes.onNotRun(sound, sentAt, true, sentAt));
    sentAt = sendTrial(crashes, sound, sentAt);
    const Instant later = start + CrashRegister::freeTrialTime;
    CHECK_FALSE(crashes.onNotRun(sound, sentAt, true, later));
    CHECK(ask(crashes, sound, later) == CrashAdmission::Pending);
    CHECK(crashes.onNotRun(sound, sentAt, false, later));
    sendTrial(crashes, sound, later);
    // An attempt that was sent before the third crash was none.
    CHECK_FALSE(crashes.onNotRun(sound, start - 1s, false, later));
    CHECK(ask(crashes, sound, later) == CrashAdmission::Pending);
}

TEST_CASE("a content that was there at some of another one's crashes is not blocked", "[crashes]")
{
    CrashRegister crashes;
    crash(crashes, crashing, 4, start);
    CrashRecord neighbour;
    neighbour.content = sound;
    neighbour.crashedServers = { "s1/1", "s2/1", "s3/1" };
    crashes.merge(neighbour, start);
    CHECK(ask(crashes, sound, start) == CrashAdmission::Admitted);
    const Instant failedAt = failTrial(crashes, crashing, start);
    CHECK(ask(crashes, crashing, failedAt) == CrashAdmission::Blocked);
    CHECK(crashes.blockedCount(failedAt) == 1);
    neighbour.crashedServers = { "s7/1", "s8/1", "s9/1" };
    crashes.merge(neighbour, start);
    CHECK(crashes.isPending(sound));
}

TEST_CASE("a block that has settled stays, whatever another content does", "[crashes]")
{
    CrashRegister crashes;
    block(crashes, crashing, start);
    const Instant later = start + CrashRegister::settleTime;
    CHECK(ask(crashes, crashing, later) == CrashAdmission::Blocked);
    crash(crashes, sound, 5, later);
    CHECK(ask(crashes, crashing, later) == CrashAdmission::Blocked);
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
    CHECK(ask(second, crashing, start) == CrashAdmission::Blocked);
    CHECK(first.onAnswered(crashing));
    CHECK(second.merge(first.record(crashing), start));
    CHECK_FALSE(second.merge(blocked, start));
    CHECK(ask(second, crashing, start) == CrashAdmission::Admitted);
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
