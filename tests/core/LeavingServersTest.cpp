#include "core/FixedSeed.h"

#include <catch2/catch.hpp>
#include <endiveroad/LeavingServers.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 10s };

Directory directoryOf(const std::string& id, int64_t startedMs)
{
    Directory directory;
    ServerRecord server;
    server.id = id;
    server.service = "s";
    server.startedMs = startedMs;
    directory.servers[id] = server;
    return directory;
}

bool add(LeavingServers& leaving, const ServerIncarnation& server, Instant now)
{
    return leaving.add({ server, Departure::Leaving }, now);
}

bool isReady(LeavingServers& leaving, const std::string& id, int64_t startedMs, Instant now)
{
    Directory directory = directoryOf(id, startedMs);
    leaving.apply(directory, now);
    return !directory.readyServers("s").empty();
}

} // namespace

TEST_CASE("a server that said it is leaving is not ready, whatever its registration says", "[leaving]")
{
    LeavingServers leaving;
    CHECK(isReady(leaving, "a", 5, start));
    CHECK(add(leaving, { "a", 5 }, start));
    CHECK_FALSE(add(leaving, { "a", 5 }, start));
    CHECK_FALSE(isReady(leaving, "a", 5, start));
    CHECK(isReady(leaving, "b", 5, start));
    CHECK_FALSE(isReady(leaving, "a", 5, start + 1h));
}

TEST_CASE("a later start under the same id is used at once", "[leaving]")
{
    LeavingServers leaving;
    add(leaving, { "a", 5 }, start);
    CHECK(isReady(leaving, "a", 6, start));
    CHECK(leaving.all().empty());
    add(leaving, { "a", 6 }, start);
    // An answer of the former start that comes late changes nothing.
    CHECK_FALSE(add(leaving, { "a", 5 }, start));
    CHECK_FALSE(isReady(leaving, "a", 6, start));
}

TEST_CASE("a leaving server whose registration is gone for a while stays known", "[leaving]")
{
    LeavingServers leaving;
    add(leaving, { "a", 5 }, start);
    Directory empty;
    leaving.apply(empty, start + 9min);
    CHECK_FALSE(isReady(leaving, "a", 5, start + 9min));
    leaving.apply(empty, start + 18min);
    CHECK_FALSE(isReady(leaving, "a", 5, start + 18min));
    leaving.apply(empty, start + 29min);
    CHECK(leaving.all().empty());
}

TEST_CASE("the number of remembered servers is bounded", "[leaving]")
{
    LeavingServers leaving;
    for (size_t i = 0; i < LeavingServers::maxRecords + 10; ++i)
        add(leaving, { std::to_string(i), 1 }, start + Duration(i));
    CHECK(leaving.all().size() == LeavingServers::maxRecords);
    CHECK_FALSE(leaving.contains({ "0", 1 }));
    CHECK_FALSE(add(leaving, { "", 1 }, start));
}

TEST_CASE("processes that heard the same in any order know the same", "[leaving]")
{
    checkProperty("order of the news makes no difference", 11, 200, [] {
        const auto news = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(1, 6)));
        LeavingServers forward;
        LeavingServers backward;
        for (const auto& [id, startedMs] : news)
            add(forward, { std::to_string(id), startedMs }, start);
        for (auto entry = news.rbegin(); entry != news.rend(); ++entry)
            add(backward, { std::to_string(entry->first), entry->second }, start);
        RC_ASSERT(forward.all() == backward.all());
    });
}

TEST_CASE("a server whose place another one has taken is not ready, and its successor is expected", "[leaving]")
{
    LeavingServers leaving;
    Directory directory = directoryOf("a", 5);
    CHECK(leaving.add({ { "a", 5 }, Departure::Replaced }, start));
    CHECK_FALSE(leaving.add({ { "a", 5 }, Departure::Replaced }, start));
    CHECK_FALSE(leaving.add({ { "a", 5 }, Departure::Leaving }, start));
    leaving.apply(directory, start);
    CHECK(directory.readyServers("s").empty());
    CHECK(directory.isServerExpected("s"));
    CHECK_FALSE(directory.isServerExpected("other"));
    ServerRecord successor = directory.servers.at("a");
    successor.id = "b";
    successor.startedMs = 6;
    successor.isDraining = successor.isReplaced = false;
    directory.servers["b"] = successor;
    CHECK_FALSE(directory.isServerExpected("s"));
    CHECK(isReady(leaving, "a", 6, start));
}

TEST_CASE("a leaving server that is replaced afterwards is news", "[leaving]")
{
    LeavingServers leaving;
    CHECK(add(leaving, { "a", 5 }, start));
    CHECK(leaving.add({ { "a", 5 }, Departure::Replaced }, start));
    CHECK_FALSE(add(leaving, { "a", 5 }, start));
    CHECK(leaving.all() == std::vector<DepartedServer> { { { "a", 5 }, Departure::Replaced } });
}
