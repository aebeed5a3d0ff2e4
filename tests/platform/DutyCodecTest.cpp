#include "platform/DutyCodec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace endiveroad::platform;
using Json = nlohmann::json;

namespace {

std::string headerOf(const HttpRequest& request, const std::string& name)
{
    for (const auto& [key, value] : request.headers) {
        if (key == name)
            return value;
    }
    return {};
}

} // namespace

TEST_CASE("usage reports and scale orders are encoded with holder and fencing token", "[platform]")
{
    const DutyCodec codec;
    const DutyAuthority authority { "vm-3", 12345678901 };
    const UsageReport report { 42, { { "a", 3 }, { "b \"c\"", 1 } } };
    const HttpRequest usage = codec.encodeUsage(report, authority);
    CHECK(usage.method == "POST");
    CHECK(usage.target == "/usage");
    CHECK(headerOf(usage, "Endiveroad-Lease-Holder") == "vm-3");
    CHECK(headerOf(usage, "Endiveroad-Fencing-Token") == "12345678901");
    const Json expected { { "WindowId", 42 }, { "Counts", { { "a", 3 }, { "b \"c\"", 1 } } } };
    CHECK(Json::parse(usage.body) == expected);

    const HttpRequest order = codec.encodeScaleOrder({ "svc", "zone-1", 4 }, authority);
    CHECK(order.target == "/scale");
    CHECK(headerOf(order, "Endiveroad-Fencing-Token") == "12345678901");
    CHECK(Json::parse(order.body) == Json { { "Service", "svc" }, { "Zone", "zone-1" }, { "TargetGroups", 4 } });
}

// Guards against a report of an empty window that lacks its counts.
TEST_CASE("the report of an empty window has an empty object of counts", "[platform]")
{
    const HttpRequest usage = DutyCodec().encodeUsage({ 42, {} }, { "vm-3", 1 });
    CHECK(Json::parse(usage.body).at("Counts") == Json::object());
}

TEST_CASE("answers to calls of a duty tell done, fenced and rejected apart", "[platform]")
{
    const auto outcomeOf = [](int status) {
        HttpResponse response;
        response.status = status;
        return DutyCodec().decodeOutcome(response);
    };
    CHECK(outcomeOf(200) == DutyOutcome::Done);
    CHECK(outcomeOf(204) == DutyOutcome::Done);
    CHECK(outcomeOf(409) == DutyOutcome::Fenced);
    for (int status : { 302, 400, 429, 500, 503 })
        CHECK(outcomeOf(status) == DutyOutcome::Rejected);
}
