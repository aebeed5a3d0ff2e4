#include "io/hosted/JobStore.h"

#include <catch2/catch.hpp>

using namespace endiveroad;
using namespace endiveroad::io;

namespace {

RoutingTable tableOf(int64_t version, std::vector<std::pair<std::string, TrafficKind>> prefixes)
{
    RoutingTable table;
    table.version = version;
    for (const auto& [prefix, kind] : prefixes) {
        RouteDeclaration route;
        route.name = prefix;
        route.host = "h";
        route.pathPrefix = prefix;
        route.kind = kind;
        table.routes.push_back(route);
    }
    return table;
}

JobRecord acceptedUnder(int64_t configuration)
{
    JobRecord record;
    record.host = "h";
    record.route = "/job/";
    record.configuration = configuration;
    return record;
}

} // namespace

// Guards against results listed as given up for good by a coordinator that takes a job over and has not yet read the
// configuration that adds the job's route.
TEST_CASE("an older configuration without the route does not end the items of a job", "[jobs]")
{
    const RoutingTable older = tableOf(4, { { "/call/", TrafficKind::Idempotent } });
    const RoutingTable newer = tableOf(6, { { "/call/", TrafficKind::Idempotent } });
    CHECK_FALSE(acceptedUnder(5).isRouteRemoved(older, "/job/item"));
    CHECK(acceptedUnder(5).isRouteRemoved(newer, "/job/item"));
    CHECK_FALSE(acceptedUnder(5).isRouteRemoved(tableOf(6, { { "/job/", TrafficKind::BatchJobs } }), "/job/item"));
}

// Guards against items that run at a service whose route matches their path but is not for batch jobs.
TEST_CASE("a route of another kind does not take over the items of a job", "[jobs]")
{
    const RoutingTable table = tableOf(6, { { "/", TrafficKind::Idempotent } });
    CHECK(table.match("h", "/job/item"));
    CHECK_FALSE(table.batchRoute("h", "/job/item"));
    CHECK(acceptedUnder(5).isRouteRemoved(table, "/job/item"));
}

TEST_CASE("a job is visible on its own host without any route, and on hosts with routes for batch jobs", "[jobs]")
{
    const RoutingTable none = tableOf(6, { { "/call/", TrafficKind::Idempotent } });
    const RoutingTable some = tableOf(6, { { "/other/", TrafficKind::BatchJobs } });
    JobRecord elsewhere = acceptedUnder(5);
    elsewhere.host = "other";
    CHECK(acceptedUnder(5).isVisibleOn("h", &none));
    CHECK(acceptedUnder(5).isVisibleOn("h", nullptr));
    CHECK_FALSE(elsewhere.isVisibleOn("h", &none));
    CHECK(elsewhere.isVisibleOn("h", &some));
}
