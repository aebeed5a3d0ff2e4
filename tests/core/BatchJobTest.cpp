#include "core/FixedSeed.h"

#include <catch2/catch.hpp>
#include <endiveroad/BatchJob.h>
#include <endiveroad/GeneratedTextCache.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 10s };
const SoftwareVersion software { "engines", "v1" };
const SoftwareVersion newer { "engines", "v2" };

BatchJobSpec specOf(size_t groups, size_t size)
{
    BatchJobSpec spec;
    spec.id = "job";
    spec.model = "model";
    spec.oldestVersion = 3;
    for (size_t i = 0; i < groups * size; ++i) {
        BatchItem item;
        item.id = "item-" + std::to_string(i);
        item.group = "group-" + std::to_string(i / size);
        item.scoring = ScoringCall { "score-" + item.id, "host", "/score", {} };
        spec.items.push_back(item);
    }
    return spec;
}

BatchJobPolicy policy()
{
    BatchJobPolicy policy;
    policy.maxFailedRuns = 3;
    policy.maxFailedScorings = 4;
    policy.dueAt = start + 7s;
    policy.terminateAt = start + 40s;
    return policy;
}

BatchJob jobOf(size_t groups, size_t size)
{
    return { specOf(groups, size), policy(), 5 };
}

std::vector<GeneratedEvent> events(int64_t first, int64_t end, int64_t version = 3)
{
    std::vector<GeneratedEvent> result;
    for (int64_t id = first; id < end; ++id)
        result.push_back({ id, "e" + std::to_string(id), version });
    return result;
}

RunProgress progress(int64_t run, int64_t first, int64_t end, RunState state = RunState::Running, int32_t status = 200)
{
    return { run, static_cast<size_t>(first), events(first, end), state, status, software };
}

} // namespace

TEST_CASE("a completed and scored item is listed with its text, versions and score", "[batch]")
{
    BatchJob job = jobOf(1, 1);
    REQUIRE(job.waiting(start) == std::vector<size_t> { 0 });
    const int64_t run = job.start(0, "a0", 3, software, start);
    CHECK(job.onProgress(0, progress(run, 0, 2), start) == ItemAction::None);
    CHECK(job.onProgress(0, { run, 2, events(2, 3, 4), RunState::Completed, 200 }, start) == ItemAction::Score);
    CHECK(job.listable(start).empty());
    CHECK(job.onScored(0, "stamp") == ItemAction::Finished);
    REQUIRE(job.listable(start) == std::vector<size_t> { 0 });
    const BatchResult result = *job.items()[0].result;
    CHECK(result.text == "e0\ne1\ne2");
    CHECK(result.versions == std::vector<int64_t> { 3, 4 });
    CHECK(result.score == "stamp");
    job.onListed({ result });
    CHECK(job.isFinished());
    CHECK(job.listed().size() == 1);
}

TEST_CASE("progress that skips events withdraws the run and adds no events", "[batch]")
{
    BatchJob job = jobOf(1, 1);
    const int64_t run = job.start(0, "a0", 3, software, start);
    job.onProgress(0, progress(run, 0, 2), start);
    CHECK(job.onProgress(0, progress(run, 4, 6), start) == ItemAction::CancelRun);
    CHECK(job.items()[0].stage == ItemStage::Waiting);
    CHECK(job.items()[0].text.events.size() == 2);
}

TEST_CASE("late progress of a lost agent that lacks the first events is not adopted", "[batch]")
{
    BatchJob job = jobOf(1, 1);
    const int64_t run = job.start(0, "a0", 3, software, start);
    job.onProgress(0, progress(run, 0, 3), start);
    REQUIRE(job.onAgentLost("a0", start).size() == 1);
    CHECK(job.onAdopted(0, "a0", progress(run, 3, 8), start) == ItemAction::CancelRun);
    CHECK(job.onAdopted(0, "a0", progress(run, 3, 8, RunState::Completed), start) == ItemAction::None);
    CHECK(job.items()[0].text.events == events(0, 3));
}

TEST_CASE("a run of an earlier owner displaces a younger one that is behind it", "[batch]")
{
    // A restarted coordinator starts items again before all agents have connected to it and reported their runs.
    BatchJob job = jobOf(1, 1);
    const int64_t run = job.start(0, "a0", 3, software, start);
    job.onProgress(0, progress(run, 0, 2), start);
    CHECK(job.onAdopted(0, "a1", progress(77, 0, 2), start) == ItemAction::CancelRun);
    CHECK(job.items()[0].run == run);
    CHECK(job.onAdopted(0, "a1", progress(78, 1, 9), start) == ItemAction::CancelRun);
    CHECK(job.items()[0].run == run);
    CHECK(job.onAdopted(0, "a1", progress(79, 0, 9), start) == ItemAction::None);
    CHECK(job.items()[0].run == 79);
    CHECK(job.items()[0].agent == "a1");
    CHECK(job.items()[0].text.events == events(0, 9));
    CHECK(job.onProgress(0, progress(run, 2, 3), start) == ItemAction::CancelRun);
    CHECK(job.items()[0].text.events == events(0, 9));
}

TEST_CASE("a new owner adopts a reported run with all its events", "[batch]")
{
    BatchJob job = jobOf(1, 1);
    CHECK(job.onAdopted(0, "a0", progress(77, 0, 4), start) == ItemAction::None);
    CHECK(job.items()[0].stage == ItemStage::Running);
    CHECK(job.onProgress(0, progress(77, 4, 5, RunState::Completed), start) == ItemAction::Score);
    CHECK(job.items()[0].text.events == events(0, 5));
}

TEST_CASE("an item is terminated after three answers of 500 or one of 422, not by other failures", "[batch]")
{
    BatchJob job = jobOf(1, 2);
    for (int i = 0; i < 10; ++i) {
        const int64_t run = job.start(0, "a0", 3, software, start);
        CHECK(job.onProgress(0, progress(run, 0, 0, RunState::Failed, 0), start) == ItemAction::Restart);
        const int64_t again = job.start(0, "a0", 3, software, start);
        CHECK(job.onProgress(0, progress(again, 0, 0, RunState::NotRun, 503), start) == ItemAction::Restart);
    }
    for (int i = 0; i < 3; ++i) {
        const int64_t run = job.start(0, "a0", 3, software, start);
        const ItemAction expected = i < 2 ? ItemAction::Restart : ItemAction::Finished;
        CHECK(job.onProgress(0, progress(run, 0, 0, RunState::Failed, 500), start) == expected);
    }
    CHECK(job.items()[0].result->state == ResultState::Terminated);
    const int64_t run = job.start(1, "a0", 3, software, start);
    CHECK(job.onProgress(1, progress(run, 0, 0, RunState::Failed, 422), start) == ItemAction::Finished);
}

TEST_CASE("only answers of 500 to scoring calls count towards terminating an item", "[batch]")
{
    BatchJob job = jobOf(1, 1);
    const int64_t run = job.start(0, "a0", 3, software, start);
    job.onProgress(0, progress(run, 0, 1, RunState::Completed), start);
    for (int i = 0; i < 20; ++i)
        CHECK(job.onScoringFailed(0, 0) == ItemAction::Score);
    CHECK(job.onScoringFailed(0, 3) == ItemAction::Score);
    CHECK(job.onScoringFailed(0, 1) == ItemAction::Finished);
    CHECK(job.items()[0].result->state == ResultState::Terminated);
}

TEST_CASE("events of a version older than allowed are dropped and the item starts over", "[batch]")
{
    BatchJob job = jobOf(1, 1);
    const int64_t run = job.start(0, "a0", 2, software, start);
    CHECK(job.onProgress(0, { run, 0, events(0, 2, 2), RunState::Running, 200 }, start) == ItemAction::CancelRun);
    CHECK(job.items()[0].text.events.empty());
    CHECK(job.items()[0].stage == ItemStage::Waiting);
}

TEST_CASE("a single-version job drops text of another version when an item restarts", "[batch]")
{
    BatchJobPolicy single = policy();
    single.isSingleVersion = true;
    BatchJob job(specOf(1, 1), single, 5);
    const int64_t run = job.start(0, "a0", 3, software, start);
    job.onProgress(0, progress(run, 0, 2), start);
    job.withdraw(0, start);
    job.start(0, "a1", 4, software, start);
    CHECK(job.items()[0].text.events.empty());
}

TEST_CASE("finished groups are listed at once, single finished items only when the job is nearly due", "[batch]")
{
    BatchJob job = jobOf(2, 2);
    for (size_t item : { 0U, 2U, 3U }) {
        const int64_t run = job.start(item, "a0", 3, software, start);
        job.onProgress(item, progress(run, 0, 1, RunState::Completed), start);
        job.onScored(item, "stamp");
    }
    CHECK(job.listable(start) == std::vector<size_t> { 2, 3 });
    CHECK(job.listable(policy().dueAt) == std::vector<size_t> { 0, 2, 3 });
}

TEST_CASE("text of an earlier job is continued unless its version is too old", "[batch]")
{
    BatchJob job = jobOf(1, 3);
    CHECK(job.onEarlierText(0, { events(0, 4), false, {} }) == ItemAction::None);
    CHECK(job.items()[0].text.events.size() == 4);
    CHECK(job.onEarlierText(1, { events(0, 4), true, "stamp" }) == ItemAction::Finished);
    CHECK(job.onEarlierText(2, { events(0, 4, 2), true, "stamp" }) == ItemAction::None);
    CHECK(job.items()[2].text.events.empty());
}

TEST_CASE("texts of an ended job are kept until they expire, except those of terminated items", "[batch]")
{
    BatchJob job = jobOf(1, 3);
    const int64_t run = job.start(0, "a0", 3, software, start);
    job.onProgress(0, progress(run, 0, 4), start);
    const int64_t failing = job.start(1, "a0", 3, software, start);
    job.onProgress(1, progress(failing, 0, 2, RunState::Failed, 422), start);
    GeneratedTextCache texts;
    texts.keep(job, start);
    REQUIRE(texts.size() == 1);
    CHECK(texts.find("item-0", start)->events == events(0, 4));
    CHECK_FALSE(texts.find("item-1", start));
    CHECK_FALSE(texts.find("item-0", start + GeneratedTextCache::lifetime));
}

TEST_CASE("overdue items are terminated, and no item of an ended job starts", "[batch]")
{
    BatchJob job = jobOf(1, 2);
    CHECK(job.terminateOverdue(start).empty());
    CHECK(job.terminateOverdue(start + 40s).size() == 2);
    BatchJob ended = jobOf(1, 2);
    ended.end();
    CHECK(ended.waiting(start).empty());
}

TEST_CASE("no order of progress, agent losses and adoptions leaves a gap or a duplicate in a text", "[batch]")
{
    // A replica generates a fixed text. Its progress reports are cut, lost and repeated, and some are of former runs.
    static constexpr int64_t length = 12;
    checkProperty("texts are whole", 20261204, 3000, [](const std::vector<uint32_t>& choices) {
        BatchJob job = jobOf(1, 1);
        struct SentRun {
            int64_t run;
            int64_t first;
        };
        std::vector<SentRun> runs;
        Instant now = start;
        for (uint32_t choice : choices) {
            now += 100ms;
            const ItemState& item = job.items()[0];
            if (item.stage == ItemStage::Scoring)
                break;
            const auto known = static_cast<int64_t>(item.text.events.size());
            switch (choice % 5) {
            case 0:
                if (item.stage == ItemStage::Waiting)
                    runs.push_back({ job.start(0, "a0", 3, software, now), known });
                break;
            case 1:
                job.onAgentLost("a0", now);
                break;
            default:
                if (runs.empty())
                    break;
                const SentRun& sent = runs[choice / 5 % runs.size()];
                const int64_t first = choice % 5 == 2 ? 0 : std::min(length, sent.first + choice / 7 % 4);
                const int64_t end = std::min(length, first + 1 + choice / 11 % 6);
                const RunState state = end == length ? RunState::Completed : RunState::Running;
                if (choice % 5 == 4)
                    job.onAdopted(0, "a0", progress(sent.run, first, end, state), now);
                else
                    job.onProgress(0, progress(sent.run, first, end, state), now);
            }
            for (size_t i = 0; i < job.items()[0].text.events.size(); ++i)
                RC_ASSERT(job.items()[0].text.events[i].id == static_cast<int64_t>(i));
            if (job.items()[0].stage == ItemStage::Scoring)
                RC_ASSERT(job.items()[0].text.events.size() == static_cast<size_t>(length));
        }
    });
}

TEST_CASE("text goes on only at the software that wrote it", "[batch]")
{
    BatchJob job = jobOf(1, 1);
    const int64_t run = job.start(0, "a0", 3, software, start);
    job.onProgress(0, progress(run, 0, 4), start);
    job.withdraw(0, start);
    SECTION("the same software goes on")
    {
        job.start(0, "a1", 3, software, start);
        CHECK(job.items()[0].text.events.size() == 4);
    }
    SECTION("other software begins anew, and the item becomes whole")
    {
        const int64_t again = job.start(0, "a1", 3, newer, start);
        CHECK(job.items()[0].text.events.empty());
        RunProgress whole = progress(again, 0, 6, RunState::Completed);
        whole.software = newer;
        CHECK(job.onProgress(0, whole, start) == ItemAction::Score);
        CHECK(job.items()[0].text.software == newer);
    }
    SECTION("a server of the same version in another service begins anew")
    {
        job.start(0, "a1", 3, { "other", "v1" }, start);
        CHECK(job.items()[0].text.events.empty());
    }
    SECTION("a replica of an unknown version begins anew")
    {
        job.start(0, "a1", 3, { "engines", "" }, start);
        CHECK(job.items()[0].text.events.empty());
    }
    SECTION("events of other software than the run was started for are not added")
    {
        const int64_t again = job.start(0, "a1", 3, software, start);
        RunProgress other = progress(again, 4, 6);
        other.software = newer;
        CHECK(job.onProgress(0, other, start) == ItemAction::CancelRun);
        CHECK(job.items()[0].stage == ItemStage::Waiting);
        CHECK(job.items()[0].text.events.empty());
    }
}

TEST_CASE("a text of an unknown version is finished by its run or begins anew", "[batch]")
{
    BatchJob job = jobOf(1, 1);
    const int64_t run = job.start(0, "a0", 3, software, start);
    RunProgress begun = progress(run, 0, 4);
    begun.software = { "engines", "" };
    job.onProgress(0, begun, start);
    SECTION("its run goes on")
    {
        RunProgress rest = progress(run, 4, 6, RunState::Completed);
        rest.software = { "engines", "" };
        CHECK(job.onProgress(0, rest, start) == ItemAction::Score);
        CHECK(job.items()[0].text.events.size() == 6);
    }
    SECTION("no other run does")
    {
        job.withdraw(0, start);
        job.start(0, "a1", 3, software, start);
        CHECK(job.items()[0].text.events.empty());
    }
}

TEST_CASE("an adopted run brings the software that wrote its text", "[batch]")
{
    BatchJob job = jobOf(1, 1);
    RunProgress adopted = progress(77, 0, 4);
    adopted.software = newer;
    CHECK(job.onAdopted(0, "a0", adopted, start) == ItemAction::None);
    job.withdraw(0, start);
    job.start(0, "a1", 3, software, start);
    CHECK(job.items()[0].text.events.empty());
}

TEST_CASE("a text of an earlier job goes on only at the software that wrote it", "[batch]")
{
    GeneratedText text;
    text.events = events(0, 5);
    text.software = software;
    for (const SoftwareVersion& current : { software, newer }) {
        BatchJob job = jobOf(1, 1);
        job.onEarlierText(0, text);
        job.start(0, "a0", 3, current, start);
        CHECK(job.items()[0].text.events.size() == (current == software ? 5 : 0));
    }
}

// Guards against an item that is terminated a second time, or after it has a result.
TEST_CASE("an item is terminated once, and not if it has a result", "[batch]")
{
    BatchJob job = jobOf(1, 2);
    CHECK(job.terminate(0) == ItemAction::Finished);
    CHECK(job.terminate(0) == ItemAction::None);
    CHECK(job.items()[0].result->state == ResultState::Terminated);
    job.start(1, "agent", 3, software, start);
    CHECK(job.terminate(1) == ItemAction::Finished);
    CHECK(job.isFinished());
    CHECK(job.waiting(never).empty());
}
