#include "io/hosted/RetirementReporter.h"
#include "DirectoryFakes.h"
#include "UnreliableStore.h"
#include "VirtualTime.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace endiveroad::test;
using namespace std::chrono_literals;

namespace {

constexpr const char* reportKey = "retired/a";
constexpr const char* ownKey = "endiveroad/coordinators/a";
constexpr const char* successorKey = "endiveroad/coordinators/b";

/// A store in which another process writes a key between the reading of the registrations and the report.
class RacingStore : public UnreliableStore {
public:
    RacingStore(StoreContents& contents, std::mt19937_64& random, const unsigned& faultPercent)
        : UnreliableStore(contents, random, faultPercent, [](Instant, const std::function<void()>&) {})
        , contents_(contents)
    {
    }

    asio::awaitable<StoreListing> list(std::string prefix, bool isStaleAllowed, Instant deadline) override
    {
        StoreListing listing = co_await UnreliableStore::list(std::move(prefix), isStaleAllowed, deadline);
        for (const std::string& key : rewrittenKeys)
            contents_.apply({ {}, { { key, "", 1 } }, {} });
        for (const std::string& key : removedKeys)
            contents_.apply({ {}, {}, { key } });
        co_return listing;
    }

    std::vector<std::string> rewrittenKeys;
    std::vector<std::string> removedKeys;

private:
    StoreContents& contents_;
};

/// The coordinator "a", whose VM is to be retired, and "b", which says that it is ready.
struct Fixture : RetirementPeers {
    Fixture()
        : store(contents, random, faultPercent)
        , reporter("a", protocol, store, *this, [this] { return directory; })
    {
        contents.apply({ {}, { { ownKey, "", 1 }, { successorKey, "", 1 } }, {} });
        Directory requested;
        requested.retirements["a"] = 1;
        directory = std::make_shared<const Directory>(requested);
        spawn(context.get_executor(), [this] { return reporter.run(); });
    }

    std::vector<std::string> stayingCoordinators() const override { return { "b" }; }
    asio::awaitable<wire::SuccessionAnswer> askSuccession(std::string, Instant) override { co_return answer; }
    wire::SuccessionAnswer ownSuccession() const override { return own; }
    bool isConnected(const std::string&) const override { return isOtherConnected; }
    bool actsForAll() const override { return true; }
    size_t openJobs() const override { return 0; }
    void onLeaving() override { ++departures; }
    void onReturn() override { ++returns; }

    void runFor(Duration duration) { time.runFor(context, duration); }

    bool isCompleted(const char* key = reportKey) const
    {
        const auto report = contents.read(key);
        return report && report->value == "completed";
    }

    /// The operator retires only the VM "x".
    void requestOther(int64_t revision)
    {
        Directory requested;
        requested.retirements["x"] = revision;
        directory = std::make_shared<const Directory>(requested);
    }

    VirtualTime time;
    asio::io_context context;
    std::mt19937_64 random;
    unsigned faultPercent = 0;
    StoreContents contents;
    KeyOnlyDirectoryProtocol protocol;
    RacingStore store;
    std::shared_ptr<const Directory> directory;
    wire::SuccessionAnswer answer = serving(2);
    wire::SuccessionAnswer own = serving(2);
    int departures = 0;
    int returns = 0;
    bool isOtherConnected = true;
    RetirementReporter reporter;

    static wire::SuccessionAnswer serving(int32_t entries)
    {
        wire::SuccessionAnswer state;
        state.isServing = true;
        state.entries = entries;
        return state;
    }
};

} // namespace

TEST_CASE("a VM with a successor is reported, and its registration ends with the report", "[retirement]")
{
    Fixture fixture;
    fixture.runFor(1s);
    CHECK(fixture.isCompleted());
    CHECK_FALSE(fixture.contents.read(ownKey));
    CHECK_FALSE(fixture.reporter.mayRegister());
    CHECK(fixture.departures == 1);
}

// Guards against a report that rests on a successor that was itself reported in the same moment.
TEST_CASE("a VM is not reported while its successor's registration changes", "[retirement]")
{
    Fixture fixture;
    SECTION("it has ended")
    {
        fixture.store.removedKeys = { successorKey };
    }
    SECTION("it is written again")
    {
        fixture.store.rewrittenKeys = { successorKey };
    }
    fixture.runFor(5s);
    CHECK_FALSE(fixture.isCompleted());
    CHECK(fixture.contents.read(ownKey));
}

// Guards against a report in doubt that takes effect after the coordinator has decided to stay.
TEST_CASE("a report is void once the VM's own registration is written again", "[retirement]")
{
    Fixture fixture;
    fixture.store.rewrittenKeys = { ownKey };
    fixture.runFor(5s);
    CHECK_FALSE(fixture.isCompleted());
}

// Guards against a successor to which entries and agents are not connected yet.
TEST_CASE("a successor that fewer entries reach is waited for, but not for ever", "[retirement]")
{
    Fixture fixture;
    fixture.answer = Fixture::serving(1);
    fixture.runFor(RetirementReporter::connectTime - 500ms);
    CHECK(fixture.departures == 0);
    CHECK(fixture.contents.read(reportKey)->value == "running");
    fixture.runFor(2s);
    CHECK(fixture.isCompleted());
}

TEST_CASE("the operator is told that a VM without a successor stays for now", "[retirement]")
{
    Fixture fixture;
    fixture.answer.isServing = false;
    fixture.runFor(60s);
    CHECK(fixture.contents.read(reportKey)->value == "running");
    CHECK(fixture.reporter.isHeld());
    CHECK(fixture.reporter.mayRegister());
    CHECK(fixture.departures == 0);
}

// Guards against a VM that is reported while its coordinator only starts again, since an earlier VM of its name was
// absent.
TEST_CASE("each request is given the time of absence anew", "[retirement]")
{
    constexpr const char* otherKey = "retired/x";
    Fixture fixture;
    fixture.isOtherConnected = false;
    fixture.requestOther(1);
    fixture.runFor(RetirementReporter::absenceTime - 300ms);
    CHECK_FALSE(fixture.isCompleted(otherKey));
    fixture.runFor(1s);
    CHECK(fixture.isCompleted(otherKey));
    fixture.contents.apply({ {}, {}, { otherKey } });
    fixture.requestOther(100);
    fixture.runFor(RetirementReporter::absenceTime - 300ms);
    CHECK_FALSE(fixture.isCompleted(otherKey));
    fixture.runFor(1s);
    CHECK(fixture.isCompleted(otherKey));
}
