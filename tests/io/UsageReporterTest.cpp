#include "io/hosted/UsageReporter.h"
#include "VirtualTime.h"

#include "io/Tasks.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace std::chrono_literals;

namespace {

class FakePeers : public UsagePeers {
public:
    std::vector<std::string> coordinators() const override { return names; }
    void sendUsage(const std::string& coordinator, const wire::UsageNotice& notice) override
    {
        receivers.push_back(coordinator);
        last = notice;
    }

    std::vector<std::string> names { "c0", "c1", "c2" };
    std::vector<std::string> receivers;
    wire::UsageNotice last;
};

struct Fixture {
    Fixture()
    {
        spawn(context.get_executor(), [this] { return reporter.run(); });
    }

    static ReplicaRequest request(const std::string& id, const std::string& organisation)
    {
        ReplicaRequest request;
        request.id = id;
        request.organisation = organisation;
        return request;
    }

    static wire::DutyHolderNotice holder(const std::string& name, int64_t token, int64_t reportedWindow)
    {
        wire::DutyHolderNotice notice;
        notice.holder = name;
        notice.fencingToken = token;
        notice.reportedWindow = reportedWindow;
        return notice;
    }

    VirtualTime time;
    FakePeers peers;
    asio::io_context context;
    UsageReporter reporter { context, "e0", 5, 5s, peers };
};

} // namespace

TEST_CASE("an entry counts requests of organisations once, whatever the number of attempts", "[usage]")
{
    Fixture f;
    RouteDeclaration route;
    route.name = "r";
    f.time.runFor(f.context, 1s);
    f.reporter.onCallAnswered(route, Fixture::request("1", "a"), f.time.now() - 20ms);
    f.reporter.onBegun(Fixture::request("1", "a"), f.time.now());
    f.reporter.onBegun(Fixture::request("2", "a"), f.time.now());
    f.reporter.onBegun(Fixture::request("3", ""), f.time.now());
    f.time.runFor(f.context, 1s);
    REQUIRE(f.peers.last.windows.size() == 1);
    REQUIRE(f.peers.last.windows[0].counts.size() == 1);
    CHECK(f.peers.last.windows[0].counts[0].organisation == "a");
    CHECK(f.peers.last.windows[0].counts[0].requests == 2);
    CHECK(f.peers.last.entry == "e0");
    CHECK(f.peers.last.incarnation == 5);
}

// Guards against messages of entries in which nothing changes.
TEST_CASE("counts go to two coordinators, only when they change", "[usage]")
{
    Fixture f;
    f.reporter.onBegun(Fixture::request("1", "a"), f.time.now());
    f.time.runFor(f.context, 10s);
    CHECK(f.peers.receivers == std::vector<std::string> { "c0", "c1" });
    f.reporter.onHolder(Fixture::holder("c2", 7, -1));
    f.time.runFor(f.context, 10s);
    CHECK(f.peers.receivers == std::vector<std::string> { "c0", "c1", "c2", "c0" });
    f.reporter.onHolder(Fixture::holder("c2", 7, -1));
    // A late notice of an earlier holder changes nothing.
    f.reporter.onHolder(Fixture::holder("c1", 6, -1));
    f.time.runFor(f.context, 10s);
    CHECK(f.peers.receivers.size() == 4);
}

TEST_CASE("a new holder gets all windows whose reports are not fixed", "[usage]")
{
    Fixture f;
    const int64_t window = usageWindowAt(f.time.wallMs(), 5s);
    f.reporter.onBegun(Fixture::request("1", "a"), f.time.now());
    f.time.runFor(f.context, 5s);
    f.reporter.onBegun(Fixture::request("2", "a"), f.time.now());
    f.time.runFor(f.context, 1s);
    f.reporter.onHolder(Fixture::holder("c1", 7, -1));
    f.time.runFor(f.context, 1s);
    CHECK(f.peers.last.windows.size() == 2);
    f.reporter.onHolder(Fixture::holder("c2", 8, window));
    f.time.runFor(f.context, 1s);
    REQUIRE(f.peers.last.windows.size() == 1);
    CHECK(f.peers.last.windows[0].window == window + 1);
}

TEST_CASE("an entry without a coordinator sends its counts when one connects", "[usage]")
{
    Fixture f;
    f.peers.names.clear();
    f.reporter.onBegun(Fixture::request("1", "a"), f.time.now());
    f.time.runFor(f.context, 10s);
    CHECK(f.peers.receivers.empty());
    f.peers.names = { "c1" };
    f.time.runFor(f.context, 1s);
    CHECK(f.peers.receivers == std::vector<std::string> { "c1" });
    // It may have started again under its name.
    f.reporter.onCoordinatorUp("c1");
    f.time.runFor(f.context, 1s);
    CHECK(f.peers.receivers.size() == 2);
}
