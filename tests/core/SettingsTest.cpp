#include "core/FixedSeed.h"

#include <endiveroad/Error.h>
#include <endiveroad/SettingsExplain.h>
#include <fstream>
#include <nlohmann/json.hpp>

using namespace endiveroad;
using Json = nlohmann::json;

namespace {

const std::string validTree = R"({
  "organisation": "test", // a comment
  "call": { "slots": 8 },
  "regions": { "r": {
    "entries": { "entry-a": { "http": "10.0.0.1:80", "peer": "10.0.0.1:90" } },
    "pools": {
      "lm": { "kind": "engine", "call": { "reservedSlots": 2 },
        "replicas": { "lm-0": { "server": "10.0.0.2:80", "peer": "10.0.0.2:90" } } },
      "score": { "kind": "scorer" }
    },
    "jobs": { "j": { "pool": "lm", "scoringPool": "score" } }
  } }
})";

std::string faultsOf(const std::string& text)
{
    try {
        Settings::fromDocument(text, 1);
    } catch (const SettingsInvalidError& error) {
        return error.what();
    }
    return {};
}

/// The valid tree with one value replaced, or removed if the new value is empty.
std::string changed(const std::string& pointer, const std::string& value)
{
    Json tree = Json::parse(validTree, nullptr, true, true);
    const Json::json_pointer place(pointer);
    if (value.empty())
        tree[place.parent_pointer()].erase(place.back());
    else
        tree[place] = Json::parse(value);
    return tree.dump();
}

SettingsValue parsed(const std::string& text)
{
    std::vector<SettingsFault> faults;
    SettingsValue tree = parseSettingsText(text, "", faults);
    REQUIRE(faults.empty());
    return tree;
}

} // namespace

TEST_CASE("a valid tree is resolved with inheritance and defaults", "[settings]")
{
    const Settings settings = Settings::fromDocument(validTree, 7);
    CHECK(settings.revision == 7);
    CHECK(settings.pool("lm").call.slots == 8);
    CHECK(settings.pool("lm").call.reservedSlots == 2);
    CHECK(settings.pool("lm").call.timeout == CallPolicy().timeout);
    CHECK(settings.job("j").model == "lm");
    CHECK(settings.job("j").rollout == RolloutPolicy());
}

TEST_CASE("all faults are reported at once, each with its position and the nearest known name", "[settings]")
{
    std::vector<SettingsFault> faults;
    const SettingsValue tree = parseSettingsText("{\n  // slots\n  \"call\": { \"slotz\": 3,\n"
                                                 "    \"timeoutMs\": \"5s\" },\n  \"regions\": []\n}",
        "organisation.json", faults);
    REQUIRE(faults.empty());
    faults = checkAgainstSchema(tree);
    REQUIRE(faults.size() == 3);
    CHECK(faults[0].text()
        == "organisation.json:3:13: /call/slotz: is not a key of section call; did you mean \"slots\"?");
    CHECK(faults[1].text()
        == "organisation.json:4:5: /call/timeoutMs: is \"5s\"; allowed is whole number from 1 to 3600000");
    CHECK(faults[2].text() == "organisation.json:5:3: /regions: is an array; allowed is an object");
}

TEST_CASE("a schema fault does not hide faults of references", "[settings]")
{
    Json tree = Json::parse(changed("/regions/r/jobs/j/pool", "\"ln\""));
    tree["regions"]["r"]["pools"]["lm"]["model"] = 5;
    tree["regions"]["r"]["entries"]["entry-a"].erase("peer");
    const std::string faults = faultsOf(tree.dump());
    CHECK_THAT(faults, Catch::Matchers::Contains("/regions/r/pools/lm/model: is 5; allowed is text"));
    CHECK_THAT(faults, Catch::Matchers::Contains("/regions/r/entries/entry-a/peer: is missing"));
    CHECK_THAT(faults, Catch::Matchers::Contains("names \"ln\", which is not declared"));
}

TEST_CASE("syntax faults, duplicate keys and deep nesting are reported with their position", "[settings]")
{
    std::vector<SettingsFault> faults;
    parseSettingsText("{\n \"a\\\"b\": 1,\n \"a\\\"b\": 2 }", "f.json", faults);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].text() == "f.json:3:2: /a\"b: is already set at f.json:2:2");
    faults.clear();
    parseSettingsText("{\n \"a\": }", "f.json", faults);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].position == SourcePosition { "f.json", 2, 7 });
    faults.clear();
    parseSettingsText(std::string(100000, '['), "f.json", faults);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].reason == "is nested deeper than 16 levels");
}

TEST_CASE("a tree that contradicts itself is refused with the reason", "[settings]")
{
    const std::string pool = "/regions/r/pools/lm";
    const std::string job = "/regions/r/jobs/j";
    const auto [pointer, value, reason] = GENERATE_COPY(table<std::string, std::string, std::string>({
        { job + "/pool", "\"ln\"", "names \"ln\", which is not declared; did you mean \"lm\"?" },
        { job + "/pool", "\"score\"", "whose kind is not engine" },
        { job + "/pool", "", "is missing; allowed is text" },
        { job + "/scoringPool", "\"lm\"", "whose kind is not scorer" },
        { job + "/model", "\"other\"", "no sample of the job could be attributed" },
        { job + "/rollout", R"({"idleWeight": 1.5})", "allowed is number from 0 to 1" },
        { pool + "/call/reservedSlots", "8", "allowed is less than slots, which is 8" },
        { pool + "/call/outcomeRetentionMs", "2000", "shorter than timeoutMs" },
        { pool + "/kind", "\"motor\"", "allowed is engine, scorer, service" },
        { pool + "/replicas/lm-0/peer", "\"10.0.0.2:80\"", "has the same name or address as" },
        { pool + "/replicas/lm-0/server", "\"10.0.0.2\"", "allowed is \"host:port\"" },
        { pool + "/replicas", "{}", "which has no replicas" },
        { pool + "/replicas/entry-a", R"({"server":"10.0.0.9:1","peer":"10.0.0.9:2"})",
            "has the same name or address as" },
        { "/regions/r/pools/a b", "{}", "is not a valid name" },
        { "/regions/s", R"({"pools":{"lm":{}}})", "has the same name or address as" },
        { "/regions/r/entries", "{}", "no entry that could coordinate" },
    }));
    INFO(pointer << " " << value);
    CHECK_THAT(faultsOf(changed(pointer, value)), Catch::Matchers::Contains(reason));
}

TEST_CASE("inherited values equal those of a reference implementation", "[settings]")
{
    // Each of three nodes sets a random subset of four keys of section call. The reference implementation merges the
    // objects of the section from the root down.
    checkProperty("inheritance", 601, 10000, [] {
        using Section = std::map<std::string, int>;
        const auto keys = rc::gen::element<std::string>("timeoutMs", "slots", "maxBodyBytes", "outcomeRetentionMs");
        const auto pairs = rc::gen::container<std::vector<std::pair<std::string, int>>>(
            rc::gen::pair(keys, rc::gen::resize(100, rc::gen::inRange(1000, 100000))));
        const auto section = rc::gen::map(
            rc::gen::resize(6, pairs), [](const auto& list) { return Section(list.begin(), list.end()); });
        auto levels = *rc::gen::container<std::vector<Section>>(3, section);
        // Trees whose outcomes are kept for a shorter time than a call may take are refused.
        for (auto& level : levels) {
            if (level.contains("outcomeRetentionMs"))
                level["outcomeRetentionMs"] += 100000;
        }
        Json tree = Json::parse(validTree, nullptr, true, true);
        tree.erase("call");
        Json naive { { "timeoutMs", 5000 }, { "slots", 16 }, { "maxBodyBytes", 1 << 20 },
            { "outcomeRetentionMs", 600000 } };
        const char* nodes[] = { "", "/regions/r", "/regions/r/pools/lm" };
        for (size_t i = 0; i < levels.size(); ++i) {
            if (!levels[i].empty())
                tree[Json::json_pointer(std::string(nodes[i]) + "/call")] = levels[i];
            if (!levels[i].empty())
                naive.update(Json(levels[i]));
        }
        const CallPolicy policy = Settings::fromDocument(tree.dump(), 1).pool("lm").call;
        RC_ASSERT(policy.timeout == std::chrono::milliseconds(naive["timeoutMs"].get<int>()));
        RC_ASSERT(policy.slots == naive["slots"].get<int>());
        RC_ASSERT(policy.maxBodyBytes == naive["maxBodyBytes"].get<uint64_t>());
        const auto explained = explainSettings(parsed(tree.dump()), "/regions/r/pools/lm/call/slots").front().inForce;
        RC_ASSERT(explained.value == naive["slots"].dump());
    });
}

TEST_CASE("damaged text is refused with SettingsInvalidError and no other exception", "[settings]")
{
    checkProperty("damaged text", 602, 10000, [] {
        std::string text = validTree;
        for (const size_t place : *rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(0, text.size())))
            text[place] = *rc::gen::element('"', '{', '}', '[', ':', ',', '\\', '/', '1', 'x', '\0', '\xff');
        try {
            Settings::fromDocument(text, 1);
        } catch (const SettingsInvalidError& error) {
            RC_ASSERT(std::string(error.what()).size() > 0U);
        }
    });
}

TEST_CASE("explain names the node that set a value and what it overrides", "[settings]")
{
    const SettingsValue tree = parsed(validTree);
    const auto slots = explainSettings(tree, "regions/r/pools/lm/call/slots");
    REQUIRE(slots.size() == 1);
    CHECK(slots[0].inForce == SettingOrigin { "/", "8", { "", 3, 13 } });
    REQUIRE(slots[0].overridden.size() == 1);
    CHECK(slots[0].overridden[0] == SettingOrigin { "default", "16", {} });
    CHECK(explainSettings(tree, "/regions/r/pools/lm").size() == 5 + 6);
    CHECK(explainSettings(tree, "/regions/r/jobs/j/rollout").size() == 7);
    CHECK_THROWS_WITH(explainSettings(tree, "/regions/r/pools/ln"), Catch::Contains("did you mean \"lm\""));
    CHECK_THROWS_AS(explainSettings(tree, "/regions/r/pools/lm/call/slots/x"), NotFoundError);
    CHECK_THROWS_AS(explainSettings(tree, "/regions"), NotFoundError);
}

TEST_CASE("a comparison lists the changes, the affected declarations and the need for a restart", "[settings]")
{
    Json after = Json::parse(validTree, nullptr, true, true);
    after["call"]["slots"] = 9;
    after["regions"]["r"]["entries"]["entry-a"]["http"] = "10.0.0.1:81";
    after["regions"]["r"]["pools"]["score"]["replicas"]["s-0"]
        = { { "server", "10.0.0.3:1" }, { "peer", "10.0.0.3:2" } };
    const auto changes = compareSettings(parsed(validTree), parsed(after.dump()));
    REQUIRE(changes.size() == 3);
    CHECK(changes[0].text() == "~ /call/slots: 8 -> 9");
    CHECK(changes[1].text()
        == "~ /regions/r/entries/entry-a/http: \"10.0.0.1:80\" -> \"10.0.0.1:81\" (takes effect when the process "
           "is restarted)");
    CHECK(changes[2].path == "/regions/r/pools/score/replicas");
    const auto affected
        = affectedDeclarations(Settings::fromDocument(validTree, 1), Settings::fromDocument(after.dump(), 2));
    CHECK(affected == std::vector<std::string> { "entry entry-a", "pool lm", "pool score", "replica s-0" });
}

TEST_CASE("docs/SETTINGS.md matches the schema", "[settings]")
{
    std::ifstream stream(ENDIVEROAD_SOURCE_DIR "/docs/SETTINGS.md");
    const std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    CHECK(text == settingsSchemaPage());
}
