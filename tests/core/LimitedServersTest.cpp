#include <catch2/catch.hpp>
#include <endiveroad/LimitedServers.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 10s };
const ServerIncarnation server { "a", 5 };
const ServerIncarnation laterStart { "a", 6 };

Directory directoryOf(const ServerIncarnation& incarnation)
{
    Directory directory;
    directory.servers[incarnation.id].id = incarnation.id;
    directory.servers[incarnation.id].startedMs = incarnation.startedMs;
    return directory;
}

LimitRecord recordOf(std::optional<double> limit, LimitNumber number = {})
{
    return { server, limit, number };
}

} // namespace

TEST_CASE("a limited server may be sent to with permits only, and these are void after a second", "[limits]")
{
    LimitedServers servers;
    CHECK(servers.mayTake(server, start));
    CHECK(servers.onAnswer(server, 2.0, std::nullopt, start) == recordOf(2.0));
    CHECK(servers.onAnswer(server, 2.0, std::nullopt, start) == std::nullopt);
    CHECK_FALSE(servers.mayTake(server, start));
    CHECK_FALSE(servers.take(server, start));
    CHECK_FALSE(servers.onRecord(recordOf(2.0, { 7, 1 }), start));
    servers.onGrant(server, 2, 500ms, start);
    CHECK(servers.permits(server, start) == 2);
    CHECK(servers.take(server, start) == LimitNumber { 7, 1 });
    CHECK(servers.permits(server, start + LimitedServers::permitLifetime) == 0);
    CHECK_FALSE(servers.take(server, start + LimitedServers::permitLifetime));
}

TEST_CASE("only an answer to a request under the limit in force ends it", "[limits]")
{
    LimitedServers servers;
    servers.onAnswer(server, 2.0, std::nullopt, start);
    servers.onRecord(recordOf(2.0, { 7, 2 }), start);
    CHECK(servers.onAnswer(server, std::nullopt, std::nullopt, start) == std::nullopt);
    CHECK(servers.onAnswer(server, std::nullopt, LimitNumber { 7, 1 }, start) == std::nullopt);
    CHECK(servers.isLimited(server));
    CHECK(servers.onAnswer(server, std::nullopt, LimitNumber { 7, 2 }, start) == recordOf(std::nullopt, { 7, 2 }));
    CHECK_FALSE(servers.isLimited(server));
}

TEST_CASE("a lower limit counts from any answer, a higher one from answers under the limit in force", "[limits]")
{
    LimitedServers servers;
    servers.onAnswer(server, 2.0, std::nullopt, start);
    servers.onRecord(recordOf(2.0, { 7, 2 }), start);
    CHECK(servers.onAnswer(server, 9.0, LimitNumber { 7, 1 }, start) == std::nullopt);
    CHECK(servers.onAnswer(server, 9.0, LimitNumber { 7, 2 }, start) == recordOf(9.0, { 7, 2 }));
    CHECK(servers.onAnswer(server, 1.0, std::nullopt, start) == recordOf(1.0, { 7, 2 }));
}

TEST_CASE("a later start of a server has no limit, and an earlier one does not give it one", "[limits]")
{
    LimitedServers servers;
    servers.onAnswer(server, 2.0, std::nullopt, start);
    CHECK_FALSE(servers.isLimited(laterStart));
    servers.retain(directoryOf(laterStart), start);
    CHECK(servers.all().empty());
    servers.onAnswer(laterStart, 3.0, std::nullopt, start);
    CHECK(servers.onAnswer(server, 2.0, std::nullopt, start) == std::nullopt);
    CHECK_FALSE(servers.onRecord(recordOf(2.0, { 7, 2 }), start));
    CHECK(servers.isLimited(laterStart));
}

TEST_CASE("an unregistered server keeps its limit, for a bounded time and number", "[limits]")
{
    LimitedServers servers;
    servers.onAnswer(server, 2.0, std::nullopt, start);
    servers.retain({}, start + LimitedServers::recordLifetime - 1s);
    CHECK(servers.isLimited(server));
    servers.retain({}, start + LimitedServers::recordLifetime);
    CHECK_FALSE(servers.isLimited(server));
    for (size_t i = 0; i < LimitedServers::maxRecords + 10; ++i)
        servers.onAnswer({ "s" + std::to_string(i), 1 }, 1.0, std::nullopt, start);
    CHECK(servers.all().size() == LimitedServers::maxRecords);
}

TEST_CASE("a denial tells when the process may ask again", "[limits]")
{
    LimitedServers servers;
    CHECK(servers.outlook(server, start) == PermitOutlook {});
    servers.onAnswer(server, 2.0, std::nullopt, start);
    CHECK(servers.outlook(server, start) == PermitOutlook { Instant::min(), 500ms });
    servers.onDenied(server, start + 3s, 4s);
    CHECK(servers.outlook(server, start) == PermitOutlook { start + 3s, 4s });
}

TEST_CASE("an issuer numbers limits and takes those that another issued permits for from who asks", "[limits]")
{
    PermitIssuer first(100);
    CHECK(first.onHeard(recordOf(2.0), start) == recordOf(2.0, { 100, 1 }));
    CHECK(first.onHeard(recordOf(2.0), start) == std::nullopt);
    REQUIRE(first.queue(server));
    // One permit at once, as no other process issued any before.
    first.queue(server)->add({ "p", 0, 1, start }, start);
    CHECK(first.queue(server)->decide(start).front().count == 1);

    PermitIssuer second(200);
    CHECK_FALSE(second.queue(server));
    CHECK(second.onAsked(recordOf(2.0, { 100, 1 }), start) == recordOf(2.0, { 200, 1 }));
    second.queue(server)->add({ "p", 0, 1, start }, start);
    CHECK(second.queue(server)->decide(start).front().count == 0);
}

TEST_CASE("an issuer does not take up a limit again that has ended", "[limits]")
{
    PermitIssuer issuer(100);
    issuer.onHeard(recordOf(2.0), start);
    // Lower limits count at once, higher ones only under the number in force.
    CHECK(issuer.onHeard(recordOf(1.0, { 100, 1 }), start) == std::nullopt);
    CHECK(issuer.record(server) == recordOf(1.0, { 100, 2 }));
    issuer.onHeard(recordOf(5.0, { 100, 1 }), start);
    CHECK(issuer.record(server) == recordOf(1.0, { 100, 2 }));
    issuer.onHeard(recordOf(5.0, { 100, 2 }), start);
    CHECK(issuer.record(server) == recordOf(5.0, { 100, 3 }));

    CHECK(issuer.onHeard(recordOf(std::nullopt, { 100, 2 }), start) == std::nullopt);
    CHECK(issuer.onHeard(recordOf(std::nullopt, { 100, 3 }), start) == recordOf(std::nullopt, { 100, 3 }));
    CHECK_FALSE(issuer.queue(server));
    for (const LimitNumber number : { LimitNumber { 100, 1 }, LimitNumber { 100, 3 }, LimitNumber { 50, 9 } })
        CHECK(issuer.onAsked(recordOf(5.0, number), start + 1s) == std::nullopt);
    CHECK_FALSE(issuer.queue(server));
    // Named again, or issued by another process since.
    CHECK(issuer.onAsked(recordOf(5.0, { 50, 9 }), start + PermitIssuer::endSpreadTime) != std::nullopt);
    issuer.retain(directoryOf(laterStart));
    CHECK(issuer.record(server) == recordOf(std::nullopt));
}
