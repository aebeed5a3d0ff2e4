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

JobRecord jobRecord()
{
    JobRecord record;
    record.host = "h";
    record.route = "/job/";
    return record;
}

} // namespace

TEST_CASE("a job is visible on its own host without any route, and on hosts with routes for batch jobs", "[jobs]")
{
    const RoutingTable none = tableOf(6, { { "/call/", TrafficKind::Idempotent } });
    const RoutingTable some = tableOf(6, { { "/other/", TrafficKind::BatchJobs } });
    JobRecord elsewhere = jobRecord();
    elsewhere.host = "other";
    CHECK(jobRecord().isVisibleOn("h", &none));
    CHECK(jobRecord().isVisibleOn("h", nullptr));
    CHECK_FALSE(elsewhere.isVisibleOn("h", &none));
    CHECK(elsewhere.isVisibleOn("h", &some));
}
