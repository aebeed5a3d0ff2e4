#include "io/hosted/LeavingNews.h"

#include "DirectoryFakes.h"
#include "VirtualTime.h"
#include "io/ProcessMetrics.h"
#include "io/Tasks.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace endiveroad::test;
using namespace std::chrono_literals;

namespace {

const ServerIncarnation serverA { "servers/a", 0 };

/// A process that reads two servers, a and b, from its store.
struct Process {
    Process()
    {
        spawn(context.get_executor(), [this] { return directorySync.readServers(); });
        time.runFor(context, 200ms);
    }

    bool isReady(const std::string& id) const { return !directorySync.current()->servers.at(id).isDraining; }

    VirtualTime time;
    asio::io_context context;
    KeyOnlyDirectoryProtocol protocol;
    KeyListStore store;
    Listener listener;
    DirectorySync directorySync { protocol, store, listener, ReaderElection("c1", now()) };
    std::vector<std::string> published;
    LeavingNews news { directorySync, [this](const std::string& notice) { published.push_back(notice); } };
};

ReplicaAnswer leavingAnswer(ReplicaVerdict verdict = ReplicaVerdict::Ran)
{
    ReplicaAnswer answer;
    answer.verdict = verdict;
    answer.isLeaving = true;
    return answer;
}

} // namespace

TEST_CASE("an answer that says its server is leaving ends the server's use at once and is published once", "[leaving]")
{
    Process process;
    process.news.onAnswer({}, serverA);
    CHECK(process.isReady("servers/a"));
    process.news.onAnswer(leavingAnswer(ReplicaVerdict::NotRun), serverA);
    process.news.onAnswer(leavingAnswer(), serverA);
    CHECK_FALSE(process.isReady("servers/a"));
    CHECK(process.isReady("servers/b"));
    CHECK(process.published.size() == 1);
}

TEST_CASE("a leaving server stays out of use while the store is away and after its return", "[leaving]")
{
    Process process;
    process.store.isUnreachable = true;
    process.time.runFor(process.context, 2s);
    process.news.onAnswer(leavingAnswer(), serverA);
    CHECK_FALSE(process.isReady("servers/a"));
    process.store.isUnreachable = false;
    process.time.runFor(process.context, 5s);
    CHECK_FALSE(process.isReady("servers/a"));
}

TEST_CASE("an answer of another server says that it leaves and that the addressed one is replaced", "[leaving]")
{
    Process process;
    ReplicaAnswer answer = leavingAnswer(ReplicaVerdict::ServerMismatch);
    process.news.onAnswer(answer, serverA);
    CHECK(process.published.empty());
    CHECK(process.isReady("servers/a"));
    answer.server = "servers/b";
    process.news.onAnswer(answer, serverA);
    CHECK_FALSE(process.isReady("servers/b"));
    CHECK(process.directorySync.leavingServers().all()
        == std::vector<DepartedServer> {
            { serverA, Departure::Replaced }, { { "servers/b", 0 }, Departure::Leaving } });
}

TEST_CASE("a mismatch that names the addressed server itself shows nothing", "[leaving]")
{
    Process process;
    ReplicaAnswer answer;
    answer.verdict = ReplicaVerdict::ServerMismatch;
    answer.server = serverA.id;
    process.news.onAnswer(answer, serverA);
    CHECK(process.isReady(serverA.id));
    CHECK(process.published.empty());
}

TEST_CASE("peers learn that a server was replaced, once", "[leaving]")
{
    Process reporter;
    ReplicaAnswer answer;
    answer.verdict = ReplicaVerdict::ServerMismatch;
    answer.server = "servers/successor";
    reporter.news.onAnswer(answer, serverA);
    reporter.news.onAnswer(answer, serverA);
    REQUIRE(reporter.published.size() == 1);
    Process receiver;
    CHECK(receiver.news.onNotice(reporter.published.front()) == reporter.published.front());
    CHECK(receiver.directorySync.current()->servers.at(serverA.id).isReplaced);
}

TEST_CASE("an unknown statement on leaving is logged and changes nothing", "[leaving]")
{
    Process process;
    const uint64_t logged = processMetrics().value(Event::LeavingUnclear);
    ReplicaAnswer answer;
    answer.unknownLeavingValue = "soon";
    process.news.onAnswer(answer, serverA);
    CHECK(process.isReady("servers/a"));
    CHECK(processMetrics().value(Event::LeavingUnclear) == logged + 1);
}

TEST_CASE("peers learn of a leaving server by a notice, also those that connect later", "[leaving]")
{
    Process reporter;
    reporter.news.onAnswer(leavingAnswer(), serverA);
    REQUIRE(reporter.published.size() == 1);
    const auto whole = reporter.news.encodeAll();
    REQUIRE(whole);
    CHECK(reporter.news.onNotice(reporter.published.front()) == std::nullopt);
    Process receiver;
    CHECK(receiver.news.onNotice(*whole) == reporter.published.front());
    CHECK_FALSE(receiver.isReady("servers/a"));
    CHECK(receiver.news.onNotice(*whole) == std::nullopt);
    CHECK_THROWS_AS(receiver.news.onNotice("no notice"), FrameInvalidError);
}
