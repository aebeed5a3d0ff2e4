#include <catch2/catch.hpp>
#include <endiveroad/RequestDiagnosis.h>
#include <endiveroad/WaitingCalls.h>

using namespace endiveroad;

namespace {

TimelineEntry line(int64_t wallMs, Event event, std::vector<std::pair<std::string, std::string>> fields)
{
    return { { wallMs, 0 }, "node", event, std::move(fields) };
}

} // namespace

TEST_CASE("a call that failed after failed attempts is attributed to the replica, without lines of other calls",
    "[diagnosis]")
{
    const RequestDiagnosis diagnosis = diagnoseRequest(
        { line(3, Event::CallGivenUp, { { "request", "r" }, { "code", "deadline_unknown" }, { "reason", "late" } }),
            line(1, Event::CallAttemptFailed, { { "request", "r" }, { "reason", "reset" } }),
            line(2, Event::CallGivenUp, { { "request", "other" }, { "code", "not_ready" } }) },
        "r");
    REQUIRE(diagnosis.lines.size() == 2);
    CHECK(diagnosis.lines.front().event == Event::CallAttemptFailed);
    CHECK(diagnosis.responsibleParty == ResponsibleParty::Replica);
    CHECK(diagnosis.isExplained);
}

TEST_CASE("a call that is blocked for its content is attributed to the servers that ended under it", "[diagnosis]")
{
    const RequestDiagnosis diagnosis
        = diagnoseRequest({ line(1, Event::CallGivenUp, { { "request", "r" }, { "code", "poison_request" } }) }, "r");
    CHECK(diagnosis.responsibleParty == ResponsibleParty::Replica);
    CHECK(diagnosis.isExplained);
}

TEST_CASE("the diagnosis of an item includes events of its whole job but not of other items", "[diagnosis]")
{
    const std::vector<TimelineEntry> log { line(1, Event::BatchJobAccepted, { { "job", "j" } }),
        line(2, Event::ItemPlaced, { { "job", "j" }, { "item", "i" } }),
        line(2, Event::ItemPlaced, { { "job", "j" }, { "item", "k" } }),
        line(3, Event::BatchJobClaimed, { { "job", "j" }, { "from", "c1" } }),
        line(4, Event::ItemTerminated, { { "job", "j" }, { "item", "k" }, { "reason", "its runs always fail" } }) };
    const RequestDiagnosis diagnosis = diagnoseRequest(log, "i");
    CHECK(diagnosis.lines.size() == 3);
    CHECK(diagnosis.responsibleParty == ResponsibleParty::System);
    CHECK(diagnoseRequest(log, "k").responsibleParty == ResponsibleParty::Replica);
    CHECK(diagnoseRequest(log, "nobody").lines.empty());
    CHECK_FALSE(diagnoseRequest(log, "nobody").isExplained);
}

TEST_CASE("a job whose results waited for the store is attributed to the store even if its owner was lost later",
    "[diagnosis]")
{
    const RequestDiagnosis diagnosis
        = diagnoseRequest({ line(1, Event::BatchJobAccepted, { { "job", "j" } }),
                              line(2, Event::ListingDelayed, { { "job", "j" }, { "reason", "503" } }),
                              line(3, Event::BatchJobClaimed, { { "job", "j" } }) },
            "j");
    CHECK(diagnosis.responsibleParty == ResponsibleParty::Store);
}

TEST_CASE("each failed request, item or job is listed once, and no successful one", "[diagnosis]")
{
    const LogIndex logs({ line(1, Event::CallGivenUp, { { "request", "r" }, { "code", "not_ready" } }),
        line(2, Event::CallGivenUp, { { "request", "r" }, { "code", "not_ready" } }),
        line(3, Event::CallAnswered, { { "request", "fine" } }),
        line(4, Event::ItemTerminated, { { "job", "j" }, { "item", "i" } }),
        line(5, Event::BatchJobRefused, { { "job", "k" }, { "code", "store_unavailable" } }) });
    CHECK(logs.failedIds() == std::vector<std::string> { "r", "i", "k" });
    CHECK(logs.diagnose("r").responsibleParty == ResponsibleParty::System);
    CHECK(logs.diagnose("k").responsibleParty == ResponsibleParty::Store);
}

// Guards against rejections whose diagnosis does not say what would have let the call in.
TEST_CASE("the diagnosis of a rejected call says how many calls wait and when there is room", "[diagnosis]")
{
    WaitingOutlook outlook;
    outlook.remaining = 14;
    outlook.roomAt = Instant(std::chrono::milliseconds(310));
    const std::string reason = describeRejection(outlook, { std::chrono::milliseconds(12) }, Instant());
    const RequestDiagnosis diagnosis = diagnoseRequest(
        { line(1, Event::CallGivenUp, { { "request", "r" }, { "code", "not_run" }, { "reason", reason } }) }, "r");
    CHECK(diagnosis.responsibleParty == ResponsibleParty::System);
    CHECK(diagnosis.cause
        == "node answered 503 (not_run) after 0 failed attempts: the servers of the route are full: 14 calls wait, one "
           "begins each 12.0 ms, there is room in 310 ms");
}
