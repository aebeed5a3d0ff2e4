#include <catch2/catch.hpp>
#include <endiveroad/SavedTexts.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 10s };

BatchJob jobOf(int items)
{
    BatchJobSpec spec;
    spec.id = "job";
    spec.model = "m";
    for (int i = 0; i < items; ++i) {
        BatchItem item;
        item.id = "i" + std::to_string(i);
        spec.items.push_back(std::move(item));
    }
    return { spec, {}, 1 };
}

void generate(BatchJob& job, size_t item, size_t first, size_t events, RunState state = RunState::Running,
    Instant now = start)
{
    RunProgress news { job.items()[item].run, first, {}, state, state == RunState::Completed ? 200 : 0 };
    for (size_t i = first; i < first + events; ++i)
        news.events.push_back({ static_cast<int64_t>(i), std::string(100, 'x'), 1 });
    job.onProgress(item, news, now);
}

} // namespace

TEST_CASE("the longest texts of old runs and finished items are saved, young and listed ones are not", "[texts]")
{
    BatchJob job = jobOf(6);
    for (size_t item : { 0U, 1U, 3U, 4U, 5U })
        job.start(item, "a", 1, start);
    generate(job, 0, 0, 3);
    generate(job, 1, 0, 9);
    generate(job, 3, 0, 2, RunState::Completed, start + SavedTexts::leastAge);
    generate(job, 4, 0, 4, RunState::Completed, start + SavedTexts::leastAge);
    generate(job, 5, 0, 4, RunState::Completed);
    job.onListed({ *job.items()[4].result });
    job.start(2, "a", 1, start + SavedTexts::leastAge);
    generate(job, 2, 0, 1);
    const auto texts = SavedTexts().due(job, start + SavedTexts::leastAge);
    REQUIRE(texts.size() == 3);
    CHECK(texts[0].item == "i1");
    CHECK(texts[1].item == "i0");
    CHECK(texts[2].item == "i3");
    CHECK(texts[2].text.isComplete);
    CHECK(SavedTexts().due(job, start + SavedTexts::leastAge / 2).size() == 1);
}

TEST_CASE("texts are saved again only when one has grown", "[texts]")
{
    BatchJob job = jobOf(2);
    job.start(0, "a", 1, start);
    job.start(1, "a", 1, start);
    generate(job, 0, 0, 9);
    generate(job, 1, 0, 3);
    const Instant later = start + SavedTexts::leastAge;
    SavedTexts saved;
    const auto first = saved.due(job, later);
    REQUIRE(first.size() == 2);
    saved.onSaved(first);
    CHECK(saved.due(job, later).empty());
    // The longest one leaves; what is left has grown, though there is less of it.
    generate(job, 0, 9, 0, RunState::Completed);
    job.onListed({ *job.items()[0].result });
    CHECK(saved.due(job, later).empty());
    generate(job, 1, 3, 1);
    CHECK(saved.due(job, later).size() == 1);
}

TEST_CASE("a text that went on elsewhere is saved, however young its present run is", "[texts]")
{
    BatchJob job = jobOf(1);
    job.start(0, "a", 1, start);
    generate(job, 0, 0, 5);
    job.withdraw(0, start);
    job.start(0, "b", 1, start + 1s);
    CHECK(SavedTexts().due(job, start + 1s).size() == 1);
}

TEST_CASE("what is saved of a job is bounded", "[texts]")
{
    constexpr int items = 100;
    constexpr size_t events = 100;
    BatchJob job = jobOf(items);
    for (size_t i = 0; i < items; ++i) {
        job.start(i, "a", 1, start);
        generate(job, i, 0, events);
    }
    const auto texts = SavedTexts().due(job, start + SavedTexts::leastAge);
    CHECK(texts.size() * events * 100 <= SavedTexts::maxBytes);
    CHECK(texts.size() > 10);
}

TEST_CASE("a new owner goes on from saved texts, unless an agent knows more", "[texts]")
{
    BatchJob lost = jobOf(2);
    lost.start(0, "a", 1, start);
    lost.start(1, "a", 1, start);
    generate(lost, 0, 0, 5);
    generate(lost, 1, 0, 7, RunState::Completed, start + SavedTexts::leastAge);
    const auto texts = SavedTexts().due(lost, start + SavedTexts::leastAge);
    BatchJob found(lost.spec(), {}, 2);
    for (const SavedText& saved : texts)
        found.onCarried(*found.indexOf(saved.item), saved.text);
    CHECK(found.items()[0].text == lost.items()[0].text);
    CHECK(found.items()[1].stage == ItemStage::Finished);
    RunProgress more { 77, 0, {}, RunState::Running, 0 };
    for (int64_t i = 0; i < 6; ++i)
        more.events.push_back({ i, std::string(100, 'x'), 1 });
    found.onAdopted(0, "a", more, start);
    CHECK(found.items()[0].text.events.size() == 6);
    CHECK(found.items()[0].stage == ItemStage::Running);
}
