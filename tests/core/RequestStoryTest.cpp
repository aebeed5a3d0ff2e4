#include <catch2/catch.hpp>
#include <endiveroad/RequestStory.h>

using namespace endiveroad;

namespace {

TimelineEntry line(int64_t wallMs, Event event, std::vector<std::pair<std::string, std::string>> fields)
{
    return { { wallMs, 0 }, "node", event, std::move(fields) };
}

} // namespace

TEST_CASE(
    "a call that failed after failed attempts is attributed to the replica, without lines of other calls", "[story]")
{
    const RequestStory story = tellStory(
        { line(3, Event::CallGivenUp, { { "request", "r" }, { "code", "deadline_unknown" }, { "reason", "late" } }),
            line(1, Event::CallAttemptFailed, { { "request", "r" }, { "reason", "reset" } }),
            line(2, Event::CallGivenUp, { { "request", "other" }, { "code", "not_ready" } }) },
        "r");
    REQUIRE(story.lines.size() == 2);
    CHECK(story.lines.front().event == Event::CallAttemptFailed);
    CHECK(story.blame == Blame::Replica);
    CHECK(story.isExplained);
}

TEST_CASE("the diagnosis of an item includes events of its whole job but not of other items", "[story]")
{
    const std::vector<TimelineEntry> log { line(1, Event::BatchJobAccepted, { { "job", "j" } }),
        line(2, Event::ItemPlaced, { { "job", "j" }, { "item", "i" } }),
        line(2, Event::ItemPlaced, { { "job", "j" }, { "item", "k" } }),
        line(3, Event::BatchJobClaimed, { { "job", "j" }, { "from", "c1" } }),
        line(4, Event::ItemTerminated, { { "job", "j" }, { "item", "k" }, { "reason", "its runs always fail" } }) };
    const RequestStory story = tellStory(log, "i");
    CHECK(story.lines.size() == 3);
    CHECK(story.blame == Blame::System);
    CHECK(tellStory(log, "k").blame == Blame::Replica);
    CHECK(tellStory(log, "nobody").lines.empty());
    CHECK_FALSE(tellStory(log, "nobody").isExplained);
}

TEST_CASE(
    "a job whose results waited for the store is attributed to the store even if its owner was lost later", "[story]")
{
    const RequestStory story = tellStory({ line(1, Event::BatchJobAccepted, { { "job", "j" } }),
                                             line(2, Event::ListingDelayed, { { "job", "j" }, { "reason", "503" } }),
                                             line(3, Event::BatchJobClaimed, { { "job", "j" } }) },
        "j");
    CHECK(story.blame == Blame::Store);
}

TEST_CASE("each failed request, item or job is listed once, and no successful one", "[story]")
{
    const LogIndex logs({ line(1, Event::CallGivenUp, { { "request", "r" }, { "code", "not_ready" } }),
        line(2, Event::CallGivenUp, { { "request", "r" }, { "code", "not_ready" } }),
        line(3, Event::CallAnswered, { { "request", "fine" } }),
        line(4, Event::ItemTerminated, { { "job", "j" }, { "item", "i" } }),
        line(5, Event::BatchJobRefused, { { "job", "k" }, { "code", "store_unavailable" } }) });
    CHECK(logs.failed() == std::vector<std::string> { "r", "i", "k" });
    CHECK(logs.story("r").blame == Blame::System);
    CHECK(logs.story("k").blame == Blame::Store);
}
