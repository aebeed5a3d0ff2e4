#include "io/hosted/DirectorySync.h"

#include "VirtualTime.h"
#include "io/Clock.h"
#include "io/ProcessMetrics.h"
#include "io/Tasks.h"
#include "wire/Codec.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <endiveroad/Error.h>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace std::chrono_literals;

namespace {

/// Decodes each server's key as its id and ignores the values.
class KeyOnlyDirectoryProtocol : public DirectoryProtocol {
public:
    std::string operatorPrefix() const override { return "routes/"; }
    std::string serverPrefix() const override { return "servers/"; }
    Directory decode(const DocumentSet& documents, std::vector<std::string>&) const override
    {
        Directory directory;
        for (const Document* document : documents.find("servers/"))
            directory.servers[document->key].id = document->key;
        return directory;
    }
    bool isEquivalent(const Document& a, const Document& b) const override { return a.isRemoved == b.isRemoved; }
    StorePut makeRetirementReport(const std::string&) const override { return {}; }
};

/// Lists a fixed set of keys, or fails as unreachable.
class KeyListStore : public MetadataStore {
public:
    asio::awaitable<std::optional<Document>> read(std::string, Instant) override { co_return std::nullopt; }
    asio::awaitable<StoreListing> list(std::string prefix, bool, Instant) override
    {
        if (isUnreachable)
            throw StoreUnavailableError("away");
        StoreListing listing;
        listing.asOf = ++revision;
        for (const std::string& key : keys) {
            if (key.starts_with(prefix))
                listing.documents.push_back({ key, revision, {}, false });
        }
        co_return listing;
    }
    asio::awaitable<StoreChanges> watch(std::string, int64_t, std::chrono::milliseconds, Instant) override
    {
        co_await sleepFor(50ms);
        if (isUnreachable)
            throw StoreUnavailableError("away");
        co_return StoreChanges {};
    }
    asio::awaitable<CommitResult> commit(StoreTransaction, Instant) override { co_return CommitResult {}; }
    asio::awaitable<int64_t> grantLease(std::chrono::milliseconds, Instant) override { co_return 1; }
    asio::awaitable<bool> renewLease(int64_t, Instant) override { co_return true; }
    asio::awaitable<void> endLease(int64_t, Instant) override { co_return; }

    std::vector<std::string> keys { "servers/a", "servers/b" };
    int64_t revision = 10;
    bool isUnreachable = false;
};

class Listener : public DirectoryListener {
public:
    void onDirectory(std::shared_ptr<const Directory>, std::shared_ptr<const Directory> current) override
    {
        servers = current->servers.size();
    }
    void publish(const std::string& update) override
    {
        freshUpdates += wire::decode<wire::DirectoryUpdate>(update).isFresh ? 1 : 0;
    }

    size_t servers = 0;
    int freshUpdates = 0;
};

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
