#include "DirectoryFakes.h"
#include "VirtualTime.h"
#include "io/Clock.h"
#include "io/ProcessMetrics.h"
#include "io/Tasks.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace endiveroad::test;
using namespace std::chrono_literals;

namespace {

/// Time after the start in which a process that is not a coordinator waits for a reader.
constexpr Duration readerTimeout = 150ms;

struct Fixture {
    explicit Fixture(std::optional<std::string> coordinator)
        : directorySync(protocol, store, listener, ReaderElection(std::move(coordinator), now() + readerTimeout))
    {
        spawn(context.get_executor(), [this] { return directorySync.readServers(); });
        spawn(context.get_executor(), [this] { return directorySync.watchOperatorDocuments(); });
    }

    void runFor(Duration duration) { time.runFor(context, duration); }

    VirtualTime time;
    asio::io_context context;
    KeyOnlyDirectoryProtocol protocol;
    KeyListStore store;
    Listener listener;
    DirectorySync directorySync;
};

std::string encodeUpdate(bool isFresh)
{
    wire::DirectoryUpdate update;
    update.isFresh = isFresh;
    return wire::encode(update);
}

} // namespace

TEST_CASE("a coordinator that reads the store marks its updates as fresh", "[directory]")
{
    Fixture fixture("c1");
    fixture.runFor(1200ms);
    CHECK(fixture.listener.servers == 2);
    CHECK(fixture.listener.freshUpdates > 0);
    CHECK(fixture.directorySync.isFresh());
}

TEST_CASE("updates of an entry that reads the store itself are never marked as fresh", "[directory]")
{
    Fixture fixture(std::nullopt);
    fixture.runFor(5000ms);
    CHECK(fixture.listener.servers == 2);
    CHECK(fixture.listener.freshUpdates == 0);
}

TEST_CASE("registrations that are missing just after a store outage are not removed at once", "[directory]")
{
    Fixture fixture("c1");
    fixture.runFor(300ms);
    REQUIRE(fixture.listener.servers == 2);
    fixture.store.isUnreachable = true;
    fixture.runFor(1000ms);
    fixture.store.isUnreachable = false;
    fixture.store.keys = { "servers/a" };
    fixture.runFor(1500ms);
    CHECK(fixture.listener.servers == 2);
    fixture.runFor(2500ms);
    CHECK(fixture.listener.servers == 1);
}

TEST_CASE("an entry without a reachable coordinator reads the directory soon after its start", "[directory]")
{
    Fixture fixture(std::nullopt);
    fixture.runFor(readerTimeout - 10ms);
    CHECK(fixture.listener.servers == 0);
    fixture.runFor(60ms);
    CHECK(fixture.listener.servers == 2);
}

TEST_CASE("an entry that reads the store itself does not alternate between reading and not reading", "[directory]")
{
    const uint64_t countBefore = processMetrics().value(Event::DirectoryReader);
    Fixture fixture(std::nullopt);
    fixture.runFor(10s);
    CHECK(processMetrics().value(Event::DirectoryReader) == countBefore + 1);
}

TEST_CASE("secrets of the operator's documents are replaced before they are kept or sent", "[directory]")
{
    Fixture fixture("c1");
    fixture.store.keys = { "routes/listed" };
    fixture.store.value = "secret";
    fixture.runFor(1000ms);
    fixture.store.changes = { { "routes/watched", 90, "secret", false } };
    fixture.runFor(1000ms);
    for (const std::string& sent : { fixture.listener.published, fixture.directorySync.encodeDocuments() }) {
        CHECK(sent.find("secret") == std::string::npos);
        CHECK(sent.find("routes/listed") != std::string::npos);
        CHECK(sent.find("routes/watched") != std::string::npos);
        CHECK(sent.find("digest") != std::string::npos);
    }
}

TEST_CASE("the configuration is confirmed by own reads, and no longer once the store is away", "[directory]")
{
    Fixture fixture("c1");
    CHECK_FALSE(fixture.directorySync.isConfirmedWithin(5s));
    fixture.runFor(10s);
    CHECK(fixture.directorySync.isConfirmedWithin(100ms));
    fixture.store.isUnreachable = true;
    fixture.runFor(4900ms);
    CHECK(fixture.directorySync.isConfirmedWithin(5s));
    fixture.runFor(200ms);
    CHECK_FALSE(fixture.directorySync.isConfirmedWithin(5s));
    fixture.store.isUnreachable = false;
    fixture.runFor(600ms);
    CHECK(fixture.directorySync.isConfirmedWithin(5s));
}

TEST_CASE("the configuration is confirmed by fresh updates of a peer, not by others", "[directory]")
{
    Fixture fixture(std::nullopt);
    fixture.store.isUnreachable = true;
    fixture.directorySync.onPeerUpdate("c1", encodeUpdate(false));
    CHECK_FALSE(fixture.directorySync.isConfirmedWithin(5s));
    fixture.directorySync.onPeerUpdate("c1", encodeUpdate(true));
    CHECK(fixture.directorySync.isConfirmedWithin(5s));
    fixture.runFor(4900ms);
    fixture.directorySync.onPeerUpdate("c1", encodeUpdate(false));
    CHECK(fixture.directorySync.isConfirmedWithin(5s));
    fixture.runFor(100ms);
    CHECK_FALSE(fixture.directorySync.isConfirmedWithin(5s));
}

TEST_CASE("a change of which the watch's answer is lost is read again within 2.5 s", "[directory]")
{
    Fixture fixture("c1");
    fixture.runFor(1000ms);
    // A watch that has just begun takes the longest to time out.
    fixture.store.isWatchSilent = true;
    fixture.store.keys.emplace_back("routes/changed");
    fixture.runFor(2500ms);
    CHECK(fixture.listener.published.find("routes/changed") != std::string::npos);
}
