#include <catch2/catch.hpp>
#include <endiveroad/Error.h>
#include <endiveroad/UsageCounter.h>

using namespace endiveroad;
using namespace std::chrono_literals;

TEST_CASE("requests are counted once, in the window in which they began", "[usage]")
{
    UsageCounter counter(5s);
    CHECK(counter.count("a", "1", 4999) == CountOutcome::Counted);
    CHECK(counter.count("a", "2", 5000) == CountOutcome::Counted);
    CHECK(counter.count("b", "1", 5000) == CountOutcome::Counted);
    CHECK(counter.count("a", "1", 5100) == CountOutcome::Repeated);
    const UsageWindows expected { { 0, { { "a", 1 } } }, { 1, { { "a", 1 }, { "b", 1 } } } };
    CHECK(counter.windows() == expected);
}

TEST_CASE("only changed windows are sent, and all again after a change of the receiver", "[usage]")
{
    UsageCounter counter(5s);
    counter.count("a", "1", 1000);
    counter.count("a", "2", 6000);
    CHECK(counter.takeChanged().size() == 2);
    CHECK(counter.takeChanged().empty());
    counter.count("a", "3", 6000);
    const UsageWindows expected { { 1, { { "a", 2 } } } };
    CHECK(counter.takeChanged() == expected);
    counter.markAllChanged();
    CHECK(counter.takeChanged().size() == 2);
}

TEST_CASE("confirmed windows are dropped and count nothing more", "[usage]")
{
    UsageCounter counter(5s);
    counter.count("a", "1", 1000);
    counter.count("a", "2", 6000);
    counter.confirm(0);
    counter.confirm(-1);
    CHECK(counter.takeChanged().size() == 1);
    CHECK(counter.count("a", "3", 1000) == CountOutcome::Late);
    CHECK(counter.windows().size() == 1);
}

// Guards against an entry whose memory grows while nobody reports.
TEST_CASE("an entry keeps a bounded number of windows and requests", "[usage]")
{
    UsageCounter counter(5s);
    for (int64_t i = 0; i < 20'000; ++i)
        counter.count("a", std::to_string(i), i * 5000);
    CHECK(counter.windows().size() == UsageCounter::maxWindows);
    CHECK(counter.takeChanged().size() == UsageCounter::maxWindows);
}

TEST_CASE("counts of entries are added up whatever the order of their notices", "[usage]")
{
    UsageLedger ledger;
    ledger.add({ "e1", 1 }, 7, { { "a", 3 } });
    ledger.add({ "e1", 1 }, 7, { { "a", 2 } });
    ledger.add({ "e2", 1 }, 7, { { "a", 1 }, { "b", 1 } });
    // The entry started again, and counts from zero.
    ledger.add({ "e1", 2 }, 7, { { "a", 1 } });
    CHECK(ledger.sum(7) == UsageCounts { { "a", 5 }, { "b", 1 } });
    CHECK(ledger.sum(8).empty());
    CHECK(ledger.firstOpenWindow() == 7);
}

TEST_CASE("counts that come after their report was fixed are told", "[usage]")
{
    UsageLedger ledger;
    CHECK(ledger.add({ "e1", 1 }, 7, { { "a", 3 } }) == 0);
    ledger.fixThrough(7);
    CHECK(ledger.add({ "e1", 1 }, 7, { { "a", 3 } }) == 0);
    CHECK(ledger.add({ "e1", 1 }, 7, { { "a", 5 } }) == 2);
    CHECK(ledger.add({ "e1", 1 }, 8, { { "a", 5 } }) == 0);
    CHECK(ledger.openWindows().at({ "e1", 1 }).size() == 1);
    ledger.fixThrough(100);
    CHECK_FALSE(ledger.firstOpenWindow());
}

TEST_CASE("a call that waited at its server is estimated to have begun one running time before its answer", "[usage]")
{
    StartEstimate estimate;
    CHECK(estimate.startOf("r", Instant(0s), Instant(25ms)) == Instant(0s));
    CHECK(estimate.startOf("r", Instant(1s), Instant(1525ms)) == Instant(1500ms));
    CHECK(estimate.startOf("other", Instant(1s), Instant(1525ms)) == Instant(1s));
    // A server that has become slower is believed after two periods.
    CHECK(estimate.startOf("r", Instant(12s), Instant(12500ms)) == Instant(12475ms));
    CHECK(estimate.startOf("r", Instant(23s), Instant(23500ms)) == Instant(23s));
}

TEST_CASE("pending reports keep their counts in their stored form", "[usage]")
{
    PendingReports pending;
    CHECK(PendingReports::decode(pending.encode()) == pending);
    pending.fix({ 4, { { "a", 3 } } });
    pending.fix({ 5, {} });
    CHECK(PendingReports::decode(pending.encode()) == pending);
    CHECK_THROWS(pending.fix({ 5, { { "a", 1 } } }));
    pending.remove({ 4, 5 });
    CHECK(pending.reports().empty());
    CHECK(PendingReports::decode(pending.encode()).lastWindow() == 5);
    CHECK_THROWS_AS(PendingReports::decode("{}"), FrameInvalidError);
    CHECK_THROWS_AS(PendingReports::decode("["), FrameInvalidError);
}
