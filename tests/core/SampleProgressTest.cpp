#include <catch2/catch.hpp>
#include <endiveroad/SampleProgress.h>

using namespace endiveroad;

namespace {

VersionTracker::EngineStatus statusOf(uint64_t loads, WeightVersion version, const std::string& boot = "a")
{
    return { boot, loads, false, version, 0 };
}

VersionTracker trackerAt(WeightVersion version)
{
    VersionTracker tracker;
    tracker.onStatus(statusOf(1, version));
    return tracker;
}

} // namespace

TEST_CASE("a delayed load before the swap's status request: the stream's tokens are dropped, not misattributed",
    "[attribution]")
{
    VersionTracker tracker = trackerAt(3);
    SampleProgress progress({}, 10);
    progress.openStream(tracker);
    REQUIRE(progress.onTokens("ab", 2, unknownVersion, tracker));
    // A load that timed out earlier takes effect here; then the swap begins and requests the engine's status.
    REQUIRE(tracker.beginSwap(5, 5));
    tracker.onStatus(statusOf(2, 4));
    CHECK_FALSE(progress.isInEpoch(tracker));
    CHECK(progress.closeStream(progress.isInEpoch(tracker)) == 0);
    CHECK(progress.sample().tokens == 0);
}

TEST_CASE("a swap does not lose the tokens that the engine's status confirms", "[attribution]")
{
    VersionTracker tracker = trackerAt(3);
    SampleProgress progress({}, 10);
    progress.openStream(tracker);
    REQUIRE(progress.onTokens("ab", 2, unknownVersion, tracker));
    REQUIRE(tracker.beginSwap(5, 5));
    CHECK_FALSE(progress.onTokens("c", 1, unknownVersion, tracker));
    REQUIRE(tracker.onStatus(statusOf(1, 3)));
    CHECK(progress.closeStream(progress.isInEpoch(tracker)) == 2);
    CHECK(progress.sample().segments == std::vector<Segment> { { 0, 2, 3 } });
}

TEST_CASE("a chunk that states another version is dropped", "[attribution]")
{
    const VersionTracker tracker = trackerAt(3);
    SampleProgress progress({}, 10);
    progress.openStream(tracker);
    CHECK(progress.onTokens("a", 1, 3, tracker));
    CHECK_FALSE(progress.onTokens("b", 1, 4, tracker));
}

TEST_CASE("a sample without tokens still has a version", "[attribution]")
{
    const VersionTracker tracker = trackerAt(3);
    SampleProgress progress({}, 10);
    progress.openStream(tracker);
    progress.onEnd("stop");
    progress.closeStream(true);
    CHECK(progress.isFinished());
    CHECK(progress.sample().isAttributed());
    CHECK(progress.sample().oldestVersion() == 3);
}

TEST_CASE("no swap begins for an older or repeated order, or while the engine's status is unknown or loading",
    "[attribution]")
{
    VersionTracker tracker;
    CHECK_FALSE(tracker.beginSwap(1, 1));
    tracker.onStatus({ "a", 1, true, 1, 0 });
    CHECK_FALSE(tracker.beginSwap(1, 1));
    tracker.onStatus(statusOf(1, 0));
    REQUIRE(tracker.beginSwap(7, 9));
    tracker.startLoad();
    tracker.finishSwap();
    tracker.onStatus(statusOf(2, 7));
    CHECK(tracker.isCurrent(7, 9));
    CHECK_FALSE(tracker.beginSwap(8, 8));
    CHECK_FALSE(tracker.beginSwap(7, 9));
    // Rollback: a lower version with a higher order.
    CHECK(tracker.beginSwap(5, 10));
}

TEST_CASE("the fencing token is higher than every token in the engine's status", "[attribution]")
{
    VersionTracker tracker;
    tracker.onStatus({ "a", 1, false, 0, 41 });
    REQUIRE(tracker.beginSwap(1, 1));
    CHECK(tracker.startLoad() == 42);
}

TEST_CASE("the objective decides between restarting and continuing a sample", "[attribution]")
{
    const RolloutObjective idle { 3, 0.9 };
    const RolloutObjective fresh { 3, 0.1 };
    CHECK_FALSE(idle.prefersRestart(4, 5, 500, 1000));
    CHECK(fresh.prefersRestart(4, 5, 500, 1000));
    CHECK(idle.oldestToStart(9) == 7);
    CHECK(fresh.oldestToStart(9) == 9);
}

TEST_CASE("a reload of the same version, or a load in progress, ends the epoch", "[attribution]")
{
    VersionTracker tracker = trackerAt(3);
    const uint64_t epoch = tracker.epoch();
    REQUIRE(tracker.onStatus(statusOf(1, 3)));
    CHECK(tracker.epoch() == epoch);
    CHECK_FALSE(tracker.onStatus(statusOf(2, 3)));
    CHECK_FALSE(tracker.onStatus({ "a", 2, true, 3, 0 }));
    CHECK(tracker.version() == unknownVersion);
}

TEST_CASE("after a load order the version is unknown until the engine's status shows it", "[attribution]")
{
    VersionTracker tracker = trackerAt(3);
    REQUIRE(tracker.beginSwap(4, 4));
    tracker.startLoad();
    tracker.finishSwap();
    CHECK(tracker.version() == unknownVersion);
    CHECK_FALSE(tracker.onStatus(statusOf(2, 4)));
    CHECK(tracker.version() == 4);
}

TEST_CASE("generation does not continue tokens that are too old", "[attribution]")
{
    VersionTracker tracker = trackerAt(3);
    SampleProgress progress({}, 10);
    progress.openStream(tracker);
    progress.onTokens("ab", 2, unknownVersion, tracker);
    progress.closeStream(true);
    const RolloutObjective idle { 5, 1 };
    CHECK(progress.discardForRestart(tracker, 3, idle) == 0);
    CHECK(progress.discardForRestart(tracker, 4, idle) == 2);
    CHECK(progress.tokensLeft() == 10);
}

TEST_CASE("the objective does not restart a sample at every swap, only once", "[attribution]")
{
    const RolloutObjective fresh { 9, 0 };
    SampleProgress progress({}, 100);
    uint32_t restarts = 0;
    for (WeightVersion version = 1; version <= 5; ++version) {
        const VersionTracker tracker = trackerAt(version);
        restarts += progress.discardForRestart(tracker, 0, fresh) > 0 ? 1 : 0;
        progress.openStream(tracker);
        REQUIRE(progress.onTokens("a", 1, unknownVersion, tracker));
        progress.closeStream(true);
    }
    CHECK(restarts == 1);
    CHECK(progress.sample().tokens == 4);
}

namespace {

VersionTracker::EngineStatus softwareStatus(const std::string& boot, const std::string& software)
{
    return { boot, 1, false, 3, 0, software };
}

/// Tokens left of a sample of two, once the engine has started again with the given status.
uint32_t tokensAfter(const VersionTracker::EngineStatus& first, const VersionTracker::EngineStatus& second)
{
    VersionTracker tracker;
    tracker.onStatus(first);
    SampleProgress progress({}, 10);
    progress.openStream(tracker);
    progress.onTokens("ab", 2, unknownVersion, tracker);
    progress.closeStream(true);
    tracker.onStatus(second);
    progress.discardForRestart(tracker, 3, { 4, 1.0 });
    return progress.sample().tokens;
}

} // namespace

TEST_CASE("tokens go on only at the software that wrote them", "[attribution]")
{
    CHECK(tokensAfter(softwareStatus("a", "v1"), softwareStatus("b", "v1")) == 2);
    CHECK(tokensAfter(softwareStatus("a", "v1"), softwareStatus("b", "v2")) == 0);
    CHECK(tokensAfter(softwareStatus("a", "v1"), softwareStatus("b", "")) == 0);
    CHECK(tokensAfter(softwareStatus("a", ""), softwareStatus("a", "")) == 2);
    // Which software a start runs that does not say so is not known.
    CHECK(tokensAfter(softwareStatus("a", ""), softwareStatus("b", "")) == 0);
}
