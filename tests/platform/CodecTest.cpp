#include "platform/ApiKey.h"
#include "platform/BatchCodec.h"
#include "platform/CallerCodec.h"
#include "platform/DirectoryCodec.h"
#include "platform/ReplicaCodec.h"
#include "platform/SettingsFile.h"

#include <boost/beast/core/string.hpp>
#include <catch2/catch.hpp>
#include <endiveroad/Error.h>
#include <nlohmann/json.hpp>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace endiveroad::platform;
using namespace std::chrono_literals;

namespace {

constexpr const char* settingsText = R"(NodeName=side-a-1
MachineClass=side
Ip=10.1.0.41
Zone=zone-a
InternalPorts=7380,7395
Seeds=10.1.0.38:8144,10.2.0.40:8144
Bounds.GraceS=8
Bounds.StatusS=120
Bounds.Fenced=true
app=10.1.0.41:8145
Platform.Address=10.200.1.7:8142
Unknown.Key=ignored
)";

constexpr const char* configurationText = R"({"Version":7,"Routes":[
{"Name":"a","Host":"h","PathPrefix":"/a/","Kind":"idempotent","TimeoutMs":2000,"SloMs":400,"Priority":2,"Service":"plain","MaxAttempts":4},
{"Name":"b","Host":"h","PathPrefix":"/b/","Kind":"rollout","ResultDueMs":7500,"MaxQueueS":40,"SingleVersion":true,
"WeightedSplit":[{"Service":"engines","Weight":90},{"Service":"plain","Weight":10}],"MaxAttempts":3},
{"Name":"c","Host":"h","PathPrefix":"/c/","Kind":"never heard of","Service":"plain"}],
"Services":[{"Name":"engines","HealthPath":"/healthz","Engine":{"Models":[{"Name":"m"}]}},{"Name":"plain"}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":33554432,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

constexpr const char* registrationText = R"({"Service":"engines","Address":"10.128.0.9:8080","Zone":"zone-a",
"Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,"Seq":4,"born":1700000000000})";

std::string withField(const std::string& text, const std::string& field, const nlohmann::json& value)
{
    auto object = nlohmann::json::parse(text);
    if (value.is_null())
        object.erase(field);
    else
        object[field] = value;
    return object.dump();
}

Directory decodeRegistration(
    const std::string& registration, size_t expectedUnreadable, const std::string& server = "i-1")
{
    DocumentSet documents;
    documents.merge({ "op/config", 5, configurationText, false });
    documents.merge({ "servers/" + server, 6, registration, false });
    std::vector<std::string> unreadable;
    Directory directory = DirectoryCodec().decode(documents, unreadable);
    CHECK(unreadable.size() == expectedUnreadable);
    return directory;
}

/// The configuration with these rows of organisations, as a process keeps it.
Document redactedConfiguration(const nlohmann::json& rows)
{
    return DirectoryCodec().withoutSecrets({ "op/config", 5, withField(configurationText, "Tenants", rows), false });
}

RoutingTable decodeOrganisations(const nlohmann::json& rows, size_t expectedUnreadable)
{
    DocumentSet documents;
    documents.merge(redactedConfiguration(rows));
    std::vector<std::string> unreadable;
    const Directory directory = DirectoryCodec().decode(documents, unreadable);
    CAPTURE(rows.dump(), unreadable);
    CHECK(unreadable.size() == expectedUnreadable);
    REQUIRE(directory.routing);
    REQUIRE(directory.routing->organisations);
    return *directory.routing;
}

std::string holderOf(const RoutingTable& routing, const std::string& key)
{
    const OrganisationDeclaration* holder = routing.organisationOf(apiKeyDigest(key));
    return holder ? holder->name : std::string();
}

HttpRequest encodeFor(const std::string& organisation, bool isIdentityRemoved, std::optional<int32_t> priority)
{
    ReplicaRequest call;
    call.headers = { { "x-api-key", "secret" }, { "endiveroad-tenant", "forged" },
        { "ENDIVEROAD-REQUEST-PRIORITY", "0" }, { "X-Other", "kept" } };
    call.isIdentityRemoved = isIdentityRemoved;
    call.organisation = organisation;
    call.priority = priority;
    return ReplicaCodec().encode(std::move(call));
}

/// Values of all headers of this name, whatever its case.
std::vector<std::string> valuesOf(const HttpRequest& request, std::string_view name)
{
    std::vector<std::string> values;
    for (const auto& [other, value] : request.headers) {
        if (boost::beast::iequals(other, name))
            values.push_back(value);
    }
    return values;
}

} // namespace

TEST_CASE("unknown keys of a settings file are ignored, missing and invalid ones refused", "[platform]")
{
    const HostedSettings settings = parseSettings(settingsText);
    CHECK(settings.name == "side-a-1");
    CHECK(settings.peers == Address { "10.1.0.41", 7380 });
    CHECK(settings.seeds == std::vector<Address> { { "10.1.0.38", 7380 }, { "10.2.0.40", 7380 } });
    CHECK(settings.replica == Address { "10.1.0.41", 8145 });
    CHECK(settings.graceTime == Duration(8s));
    CHECK_FALSE(settings.callers);
    CHECK_THROWS_AS(parseSettings("NodeName=x\n"), SettingsInvalidError);
    CHECK_THROWS_AS(parseSettings("Bounds.GraceS=x\n" + std::string(settingsText)), SettingsInvalidError);
}

TEST_CASE("the operator's configuration is decoded into routes, services and limits", "[platform]")
{
    const Directory directory = decodeRegistration(registrationText, 0);
    REQUIRE(directory.routing);
    const RouteDeclaration& first = *directory.routing->route("a");
    CHECK(first.kind == TrafficKind::Idempotent);
    CHECK(first.maxAttempts == 4);
    CHECK(first.timeout == Duration(2s));
    const RouteDeclaration& second = *directory.routing->route("b");
    CHECK(second.kind == TrafficKind::BatchJobs);
    CHECK(second.isSingleVersion);
    CHECK(second.services.size() == 2);
    CHECK(second.resultDue == Duration(7500ms));
    CHECK(directory.routing->route("c")->kind == TrafficKind::NonIdempotent);
    CHECK(directory.routing->models() == std::vector<std::string> { "m" });
    CHECK(directory.routing->limits.maxBodyBytes == 33554432);
}

TEST_CASE("a registration with a missing or invalid field adds no server", "[platform]")
{
    CHECK(decodeRegistration(registrationText, 0).servers.size() == 1);
    const std::vector<std::pair<std::string, nlohmann::json>> invalidFields { { "Service", nullptr }, { "Service", 5 },
        { "Service", "unknown" }, { "Address", "10.0.0.1" }, { "Address", "host:80" }, { "State", "resting" },
        { "State", nullptr }, { "Slots", "8" }, { "Slots", 0 }, { "Zone", nullptr }, { "Seq", "four" } };
    for (const auto& [field, value] : invalidFields)
        CHECK(decodeRegistration(withField(registrationText, field, value), 1).servers.empty());
    CHECK(decodeRegistration("\xff\xfe not json", 1).servers.empty());
    // The id is written into requests.
    for (const char* server : { "i-1\r\nX-Forged: 1", " i-1", "i-1 " })
        CHECK(decodeRegistration(registrationText, 1, server).servers.empty());
}

TEST_CASE(
    "a registration counts as changed when its state changes, not when only its heartbeat counter does", "[platform]")
{
    const DirectoryCodec codec;
    const Document first { "servers/i-1", 5, registrationText, false };
    CHECK(codec.isEquivalent(first, { "servers/i-1", 9, withField(registrationText, "Seq", 5), false }));
    CHECK_FALSE(
        codec.isEquivalent(first, { "servers/i-1", 9, withField(registrationText, "State", "draining"), false }));
    CHECK_FALSE(codec.isEquivalent(first, { "servers/i-1", 9, "", true }));
}

TEST_CASE("requests of callers are decoded into operations, deadlines and positions", "[platform]")
{
    const CallerCodec codec;
    HttpQuery query;
    query.method = "POST";
    query.target = "/a/b?x=1";
    query.headers
        = { { "Host", "h.example:80" }, { "Endiveroad-Request-Id", "r1" }, { "endiveroad-deadline-ms", "800" } };
    const CallerRequest call = codec.decode(query);
    CHECK(call.operation == CallerOperation::Call);
    CHECK(call.host == "h.example");
    CHECK(call.path == "/a/b");
    CHECK(call.id == "r1");
    CHECK(call.timeout == Duration(800ms));
    query.method = "GET";
    query.target = "/lots/j1?After=12";
    query.headers = { { "Host", "h" }, { "Endiveroad-Wait-Ms", "1000" } };
    const CallerRequest read = codec.decode(query);
    CHECK(read.operation == CallerOperation::ReadJob);
    CHECK(read.job == "j1");
    CHECK(read.firstPosition == 12);
    CHECK(read.maxWait == 1000ms);
    CHECK(read.timeout == Duration(2500ms));
    query.target = "/items/j1?Id=a%2Fb";
    CHECK(codec.decode(query).item == "a/b");
    query.method = "DELETE";
    query.target = "/lots/j1";
    CHECK(codec.decode(query).operation == CallerOperation::CancelJob);
    query.method = "GET";
    query.target = "/lots/j1?After=-3";
    CHECK_THROWS_AS(codec.decode(query), BadRequestError);
}

TEST_CASE("an error response states its retry delay in fractional seconds", "[platform]")
{
    const HttpResponse response = CallerCodec().encodeError(NotRunError("full"), 250ms);
    CHECK(response.status == 503);
    CHECK(response.header("Retry-After") == "0.250");
    CHECK(CallerCodec().encodeError(RouteUnknownError("none"), 0ms).header("Retry-After").empty());
}

TEST_CASE("requests for servers keep the caller's headers except those that the service sets", "[platform]")
{
    const ReplicaCodec codec;
    ReplicaRequest call;
    call.method = "POST";
    call.target = "/a/b?x=1";
    call.headers = { { "Endiveroad-Model", "m" }, { "Endiveroad-Deadline-Ms", "9000" }, { "Host", "other" } };
    call.body = "body";
    call.id = "r1";
    call.host = "h";
    call.server = "i-1";
    call.timeout = 700ms;
    call.lastEventId = 4;
    const HttpRequest request = codec.encode(call);
    HttpResponse headers;
    headers.headers = request.headers;
    CHECK(headers.header("Endiveroad-Model") == "m");
    CHECK(headers.header("Endiveroad-Deadline-Ms") == "700");
    CHECK(headers.header("Endiveroad-Expect-Instance") == "i-1");
    CHECK(headers.header("Last-Event-Id") == "4");
    CHECK(headers.header("Host") == "h");
    CHECK(request.echoedHeader == "Endiveroad-Request-Id");
    CHECK(request.target == "/a/b?x=1");
}

// Guards against an item that says where its text begins.
TEST_CASE("a position in a stream is kept for callers and dropped where only the sender knows it", "[platform]")
{
    const ReplicaCodec codec;
    for (const bool isRemoved : { false, true }) {
        ReplicaRequest call;
        call.headers = { { "last-event-ID", "2" } };
        call.isPositionRemoved = isRemoved;
        CHECK(codec.encode(call).headers.size() == (isRemoved ? 0 : 1));
        call.lastEventId = 5;
        const HttpRequest resumed = codec.encode(call);
        REQUIRE(resumed.headers.size() == 1);
        CHECK(resumed.headers[0].second == "5");
    }
}

TEST_CASE("responses of servers are decoded into whether the request ran, its version and the load", "[platform]")
{
    const ReplicaCodec codec;
    HttpResponse response;
    response.status = 503;
    CHECK(codec.decode(response).verdict == ReplicaVerdict::Ran);
    response.headers = { { "Endiveroad-Not-Executed", "1" } };
    CHECK(codec.decode(response).verdict == ReplicaVerdict::NotRun);
    response.status = 421;
    CHECK(codec.decode(response).verdict == ReplicaVerdict::ServerMismatch);
    response.status = 200;
    response.headers = { { "Endiveroad-Upstream-Stamp", "s" }, { "Endiveroad-Weight-Versions", "7" },
        { "Endiveroad-Backend-Load", "3,1,8" } };
    const ReplicaAnswer answer = codec.decode(response);
    CHECK(answer.stamp == "s");
    CHECK(answer.version == 7);
    REQUIRE(answer.load);
    CHECK(answer.load->running == 3);
    CHECK(answer.load->waiting == 1);
    CHECK(codec.parseVersionLine("endiveroad-weight-versions: 12") == 12);
    CHECK_FALSE(codec.parseVersionLine("retry: 12"));
}

TEST_CASE("a server's statement that it is leaving is decoded from any answer", "[platform]")
{
    const ReplicaCodec codec;
    HttpResponse response;
    response.status = 503;
    CHECK_FALSE(codec.decode(response).isLeaving);
    response.headers = { { "server-leaving", "1" }, { "Endiveroad-Instance-Id", "i-2" } };
    for (const int status : { 200, 202, 421, 500, 503 }) {
        response.status = status;
        CHECK(codec.decode(response).isLeaving);
        CHECK(codec.decode(response).server == "i-2");
    }
    response.headers = { { "Server-Leaving", "yes" } };
    CHECK_FALSE(codec.decode(response).isLeaving);
    CHECK(codec.decode(response).unknownLeavingValue == "yes");
    response.headers = { { "Server-Leaving", "1" }, { "Server-Leaving", "0" } };
    CHECK(codec.decode(response).isLeaving);
    CHECK(codec.decode(response).unknownLeavingValue == "0");
}

TEST_CASE("a server's request limit is a number that is not negative, and the lowest of several", "[platform]")
{
    const ReplicaCodec codec;
    HttpResponse response;
    response.status = 200;
    CHECK_FALSE(codec.decode(response).requestLimit);
    for (const int status : { 200, 202, 421, 500, 503 }) {
        response.status = status;
        response.headers = { { "server-limit", "2.5" } };
        CHECK(codec.decode(response).requestLimit == 2.5);
    }
    for (const char* value : { "0", "0.25", "1e2" }) {
        response.headers = { { "Server-Limit", value } };
        CHECK(codec.decode(response).requestLimit);
    }
    for (const char* value : { "", "-1", "nan", "inf", "1e999", "many", "2 3", "0x", "5/s" }) {
        response.headers = { { "Server-Limit", value } };
        CHECK_FALSE(codec.decode(response).requestLimit);
        CHECK_FALSE(codec.decode(response).unknownLimitValue.empty());
    }
    response.headers = { { "Server-Limit", "3" }, { "Server-Limit", "1" }, { "Server-Limit", "x" } };
    CHECK(codec.decode(response).requestLimit == 1.0);
    CHECK(codec.decode(response).unknownLimitValue == "x");
}

TEST_CASE("an engine's state and the outcome of a weight order are decoded", "[platform]")
{
    const ReplicaCodec codec;
    const EngineState state = codec.decodeState(R"({"Models":[{"Name":"m","Version":3}],"Busy":true,"Seq":2})");
    CHECK(state.versions.at("m") == 3);
    CHECK(state.isLoading);
    CHECK(state.acceptedOrders == 2);
    CHECK(state.startedMs == 0);
    CHECK(codec.decodeState(R"({"Models":[],"Seq":2,"born":17})").startedMs == 17);
    CHECK_THROWS_AS(codec.decodeState("{}"), FrameInvalidError);
    HttpResponse response;
    const std::vector<std::pair<int, OrderOutcome>> outcomes { { 200, OrderOutcome::AlreadyLoaded },
        { 202, OrderOutcome::Accepted }, { 409, OrderOutcome::Busy }, { 412, OrderOutcome::Fenced },
        { 400, OrderOutcome::Refused } };
    for (const auto& [status, outcome] : outcomes) {
        response.status = status;
        CHECK(codec.decodeOrderOutcome(response) == outcome);
    }
}

// A job was accepted whatever stood in this field while it was ignored; a check of it must refuse none.
TEST_CASE("the number of groups that a trainer waits for is read, and anything else means all", "[platform]")
{
    const BatchCodec codec;
    CHECK(codec.decodeJob("j", "h", "b", R"({"TargetGroups":7,"Items":[]})").targetGroups == 7);
    for (const std::string field : { "0", "-3", "2.5", "\"7\"", "null", "{}" })
        CHECK(codec.decodeJob("j", "h", "b", R"({"Items":[],"TargetGroups":)" + field + "}").targetGroups == 0);
    CHECK(codec.decodeJob("j", "h", "b", R"({"Items":[]})").targetGroups == 0);
}

TEST_CASE("a batch job is decoded and its results are encoded by page", "[platform]")
{
    const BatchCodec codec;
    const BatchJobSpec spec = codec.decodeJob("j", "h", "b", R"({"Step":1,"Model":"m","MinVersion":6,"Items":[
        {"Id":"i1","Path":"/b/1","Headers":{"Endiveroad-Token-Usage":"540,400"},"Body":"q83vEjRWeJA=","Tokens":940,
         "Group":"g","Scorer":{"Id":"s1","Host":"h","Path":"/a/s","Body":"3q2+7w=="}},
        {"Id":"i2","Path":"/b/2","Headers":{"Endiveroad-Length-Hint":"90"},"Body":""}]})");
    CHECK(spec.oldestVersion == 6);
    REQUIRE(spec.items.size() == 2);
    CHECK(spec.items[0].expectedTokens == 400);
    CHECK(spec.items[0].body.size() == 8);
    CHECK(spec.items[0].scoring->path == "/a/s");
    CHECK(spec.items[1].expectedTokens == 90);
    CHECK_FALSE(spec.items[1].scoring);
    CHECK_THROWS_AS(codec.decodeJob("j", "h", "b", "[]"), BadRequestError);
    CHECK_THROWS_AS(codec.decodeJob("j", "h", "b", R"({"Items":[{"Id":5}]})"), BadRequestError);
    const std::vector<BatchResult> listed { { "i1", ResultState::Completed, "a\nb", { 6, 7 }, "stamp" },
        { "i2", ResultState::Terminated, "", {}, "" } };
    const auto page = nlohmann::json::parse(codec.encodeResults(listed, 1, 5));
    CHECK(page["Total"] == 5);
    CHECK(page["Next"] == 2);
    CHECK(page["Results"][0]["State"] == "terminated");
    const auto whole = nlohmann::json::parse(codec.encodeResults(listed, 0, 5));
    CHECK(whole["Results"][0]["Versions"] == std::vector<int> { 6, 7 });
    CHECK(whole["Results"][0]["Score"] == "stamp");
    CHECK(nlohmann::json::parse(codec.encodeResults(listed, 9, 5))["Results"].empty());
}

// Guards against items whose text ends a head early, and against refusals that don't say which item is meant.
TEST_CASE("a job with an item that cannot be sent is decoded, and refused with the item's place", "[platform]")
{
    const BatchCodec codec;
    nlohmann::json job { { "Items",
        { { { "Id", "i1" }, { "Path", "/b/1" }, { "Headers", { { "Content-Type", "text/plain" } } } },
            { { "Id", "i2" }, { "Path", "/b/2" },
                { "Scorer", { { "Id", "s2" }, { "Host", "h" }, { "Path", "/a/s" } } } } } } };
    CHECK_NOTHROW(codec.requireSendable(codec.decodeJob("j", "h", "b", job.dump())));
    const std::vector<std::pair<std::string, std::string>> faults { { "/Items/1/Id", "Items[1].Id: " },
        { "/Items/1/Path", "Items[1].Path: " }, { "/Items/0/Headers/X-Note", "Items[0].Headers: " },
        { "/Items/1/Scorer/Id", "Items[1].Scorer.Id: " }, { "/Items/1/Scorer/Host", "Items[1].Scorer.Host: " },
        { "/Items/1/Scorer/Path", "Items[1].Scorer.Path: " } };
    for (const auto& [pointer, place] : faults) {
        nlohmann::json changed = job;
        changed[nlohmann::json::json_pointer(pointer)] = "/x\r\nX-Forged: 1";
        const BatchJobSpec spec = codec.decodeJob("j", "h", "b", changed.dump());
        try {
            codec.requireSendable(spec);
            FAIL(pointer);
        } catch (const BadRequestError& error) {
            CHECK(std::string(error.what()).starts_with(place));
        }
    }
}

TEST_CASE("a registration's version is that of its software, and unknown unless it is a text", "[platform]")
{
    const auto versionIn = [](const std::string& version) {
        const std::string text = R"({"Service":"engines","Address":"10.1.0.1:80","Zone":"z",)" + version
            + R"("Slots":8,"State":"ready","ColdLeftMs":0,"Seq":4,"born":17})";
        const Directory directory = decodeRegistration(text, 0);
        REQUIRE(directory.servers.size() == 1);
        return directory.servers.begin()->second.softwareVersion;
    };
    CHECK(versionIn(R"("Version":"v1.1",)") == "v1.1");
    CHECK(versionIn("").empty());
    CHECK(versionIn(R"("Version":7,)").empty());
    CHECK(versionIn(R"("Version":null,)").empty());
}

TEST_CASE("a caller that takes a stream up names the request that began it", "[platform]")
{
    const CallerCodec codec;
    HttpQuery query;
    query.method = "POST";
    query.target = "/x";
    CHECK_FALSE(codec.decode(query).isResumption);
    query.headers = { { "Last-Event-Id", "3" } };
    CHECK(codec.decode(query).isResumption);
    CHECK(codec.decode(query).resumedRequest.empty());
    query.headers = { { "Last-Event-Id", "3" }, { "Resumes", "first" } };
    CHECK(codec.decode(query).resumedRequest == "first");
}

TEST_CASE("the report on a VM's retirement completes it only if it says so", "[platform]")
{
    const DirectoryCodec codec;
    for (const RetirementState state : { RetirementState::Running, RetirementState::Completed })
        CHECK(codec.decodeRetirementReport(codec.encodeRetirementReport(state)) == state);
    for (const char* malformed : { "", "completed", "[]", "{}", R"({"State":7})", R"({"State":"done"})" })
        CHECK(codec.decodeRetirementReport(malformed) == RetirementState::Running);
    DocumentSet documents;
    documents.merge({ "op/retire/vm-1", 6, R"({"DurationS":8.8})", false });
    std::vector<std::string> unreadable;
    CHECK(codec.decode(documents, unreadable).retirements == std::map<std::string, int64_t> { { "vm-1", 6 } });
    CHECK(codec.retirementReportKey("vm-1") == "status/retire/vm-1");
}

TEST_CASE("rows of organisations that cannot be decoded are left out and the others apply", "[platform]")
{
    const nlohmann::json sound { { "Name", "lab" }, { "ApiKeys", { "key-1" } } };
    const std::vector<nlohmann::json> malformed { nullptr, 7, "key-2", nlohmann::json::array({ "key-2" }),
        { { "ApiKeys", { "key-2" } } }, { { "Name", "" }, { "ApiKeys", { "key-2" } } },
        { { "Name", 7 }, { "ApiKeys", { "key-2" } } }, { { "Name", "x" }, { "ApiKeys", "key-2" } },
        { { "Name", "x\r\nX-Forged: 1" }, { "ApiKeys", { "key-2" } } },
        { { "Name", " x" }, { "ApiKeys", { "key-2" } } } };
    for (const nlohmann::json& row : malformed) {
        const RoutingTable routing = decodeOrganisations(nlohmann::json::array({ row, sound }), 1);
        CHECK(routing.organisations->size() == 1);
        CHECK(holderOf(routing, "key-1") == "lab");
        CHECK(holderOf(routing, "key-2").empty());
    }
    CHECK(decodeOrganisations(nlohmann::json::array(), 0).organisations->empty());
}

TEST_CASE("an organisation that is declared twice has the keys of the first row", "[platform]")
{
    const RoutingTable routing = decodeOrganisations(
        { { { "Name", "lab" }, { "ApiKeys", { "key-1" } } }, { { "Name", "lab" }, { "ApiKeys", { "key-2" } } } }, 1);
    CHECK(holderOf(routing, "key-1") == "lab");
    CHECK(holderOf(routing, "key-2").empty());
}

TEST_CASE("a key that two organisations hold is valid for neither", "[platform]")
{
    const RoutingTable routing = decodeOrganisations({ { { "Name", "a" }, { "ApiKeys", { "shared", "key-a" } } },
                                                         { { "Name", "b" }, { "ApiKeys", { "shared", "key-b" } } } },
        1);
    CHECK(holderOf(routing, "shared").empty());
    CHECK(holderOf(routing, "key-a") == "a");
    CHECK(holderOf(routing, "key-b") == "b");
}

TEST_CASE("keys that are empty, no text or not visible ASCII are ignored", "[platform]")
{
    const nlohmann::json keys { "", " ", "a b", "tab\t", "line\n", "\x7f", "sch\u00f6n", 7, nullptr, "!~" };
    const RoutingTable routing = decodeOrganisations({ { { "Name", "a" }, { "ApiKeys", keys } } }, 0);
    CHECK(routing.organisations->at("a").keyDigests == std::set<std::string> { apiKeyDigest("!~") });
}

TEST_CASE("a priority that is no whole number from 0 to 9 is ignored", "[platform]")
{
    for (const nlohmann::json& priority : { nlohmann::json(-1), nlohmann::json(10), nlohmann::json(2.5),
             nlohmann::json("2"), nlohmann::json(true), nlohmann::json(nullptr), nlohmann::json(4294967297) }) {
        const RoutingTable routing
            = decodeOrganisations({ { { "Name", "a" }, { "ApiKeys", { "k" } }, { "Priority", priority } } }, 1);
        CHECK_FALSE(routing.organisationPriority("a"));
        CHECK(holderOf(routing, "k") == "a");
    }
    for (const int priority : { 0, 9 }) {
        const RoutingTable routing
            = decodeOrganisations({ { { "Name", "a" }, { "ApiKeys", { "k" } }, { "Priority", priority } } }, 0);
        CHECK(routing.organisationPriority("a") == priority);
    }
}

TEST_CASE("a document that processes keep and send has no key, wherever the operator put it", "[platform]")
{
    const DirectoryCodec codec;
    const std::string secret = "secret-7";
    const nlohmann::json row { { "Name", "a" }, { "ApiKeys", { secret } } };
    std::vector<std::string> texts { withField(configurationText, "Tenants", nlohmann::json::array({ row })),
        withField(configurationText, "Tenants", row),
        withField(configurationText, "Tenants", nlohmann::json::array({ secret })),
        withField(configurationText, "Tenants", secret),
        withField(configurationText, "Tenants", nlohmann::json::array({ nlohmann::json::array({ row }) })),
        withField(configurationText, "Tenants", { { { "Name", "a" }, { "ApiKeys", secret } } }),
        withField(configurationText, "Tenant", nlohmann::json::array({ row })),
        withField(configurationText, "ApiKeys", nlohmann::json::array({ secret })),
        R"({"Version":1,"Tenants":[{"Name":"a","\u0041piKeys":["secret-7"]}]})",
        R"({"Tenants":[{"Name":"a","\u0041piKeys":["secret-7"]}])" };
    for (const std::string& text : texts) {
        const Document redacted = codec.withoutSecrets({ "op/config", 5, text, false });
        CAPTURE(text, redacted.value);
        CHECK(redacted.value.find(secret) == std::string::npos);
        CHECK(codec.withoutSecrets(redacted) == redacted);
        DocumentSet documents;
        documents.merge(redacted);
        std::vector<std::string> unreadable;
        codec.decode(documents, unreadable);
        for (const std::string& entry : unreadable)
            CHECK(entry.find(secret) == std::string::npos);
    }
    const Document redacted = redactedConfiguration(nlohmann::json::array({ row }));
    CHECK(redacted.value.find(apiKeyDigest(secret)) != std::string::npos);
    const Document plain { "op/config", 5, configurationText, false };
    CHECK(codec.withoutSecrets(plain) == plain);
}

TEST_CASE("a request with no key, an empty one or two different ones has no key digest", "[platform]")
{
    const auto digestOf = [](const HeaderList& headers) {
        HttpQuery query;
        query.method = "POST";
        query.target = "/x";
        query.headers = headers;
        return CallerCodec().decode(query).keyDigest;
    };
    CHECK(digestOf({ { "x-API-key", "k1" } }) == apiKeyDigest("k1"));
    CHECK(digestOf({ { "X-Api-Key", "k1" }, { "x-api-key", "k1" } }) == apiKeyDigest("k1"));
    CHECK(digestOf({}).empty());
    CHECK(digestOf({ { "X-Api-Key", "" } }).empty());
    CHECK(digestOf({ { "X-Api-Key", "k 1" } }).empty());
    CHECK(digestOf({ { "X-Api-Key", "k1" }, { "x-api-key", "k2" } }).empty());
    CHECK(digestOf({ { "X-Api-Key", "" }, { "x-api-key", "k2" } }).empty());
}

TEST_CASE("a server gets the organisation and its priority in place of what the caller sent", "[platform]")
{
    const HttpRequest named = encodeFor("lab", true, 3);
    CHECK(valuesOf(named, "X-Api-Key").empty());
    CHECK(valuesOf(named, "Endiveroad-Tenant") == std::vector<std::string> { "lab" });
    CHECK(valuesOf(named, "Endiveroad-Request-Priority") == std::vector<std::string> { "3" });
    CHECK(valuesOf(named, "X-Other") == std::vector<std::string> { "kept" });
    const HttpRequest withoutPriority = encodeFor("lab", true, std::nullopt);
    CHECK(valuesOf(withoutPriority, "Endiveroad-Request-Priority").empty());
    const HttpRequest ofPublicRoute = encodeFor("", true, std::nullopt);
    CHECK(valuesOf(ofPublicRoute, "X-Api-Key").empty());
    CHECK(valuesOf(ofPublicRoute, "Endiveroad-Tenant").empty());
    // Without declared organisations the headers mean nothing and pass unchanged.
    CHECK(valuesOf(encodeFor("", false, std::nullopt), "Endiveroad-Tenant") == std::vector<std::string> { "forged" });
}

TEST_CASE(
    "requests that need a key go on without a confirmed configuration unless the settings say otherwise", "[platform]")
{
    const HostedSettings settings = parseSettings(settingsText);
    CHECK_FALSE(settings.isFailClosed);
    CHECK(settings.revocationTime == Duration(5s));
    const std::string text = std::string(settingsText) + "Bounds.FailClosed=true\nBounds.RevokeMs=1500\n";
    CHECK(parseSettings(text).isFailClosed);
    CHECK(parseSettings(text).revocationTime == Duration(1500ms));
}
