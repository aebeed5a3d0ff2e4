#include <catch2/catch.hpp>
#include <endiveroad/Error.h>
#include <endiveroad/SoftwareHistory.h>
#include <endiveroad/StreamOrigins.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 10s };
const SoftwareVersion older { "engines", "v1" };
const SoftwareVersion newer { "engines", "v2" };

StreamOrigin origin(const std::string& request, const SoftwareVersion& software, Instant expiry = start + 1min)
{
    return { StreamKey::of(request), software, expiry };
}

Directory directoryOf(const std::vector<std::string>& versions)
{
    Directory directory;
    for (size_t i = 0; i < versions.size(); ++i) {
        ServerRecord server;
        server.id = "s" + std::to_string(i);
        server.service = "engines";
        server.softwareVersion = versions[i];
        directory.servers.emplace(server.id, server);
    }
    return directory;
}

} // namespace

TEST_CASE("what began a stream is known until nobody takes it up any more", "[origins]")
{
    StreamOrigins origins;
    origins.add("entry-0", origin("a", older), start);
    CHECK(origins.find(StreamKey::of("a"), start) == older);
    CHECK_FALSE(origins.find(StreamKey::of("b"), start));
    CHECK_FALSE(origins.find(StreamKey::of("a"), start + 1min));
}

TEST_CASE("a record lasts as long as the latest take-up needs it", "[origins]")
{
    StreamOrigins origins;
    origins.add("entry-0", origin("a", older), start);
    origins.add("entry-1", origin("a", older, start + 2min), start + 10s);
    origins.add("entry-0", origin("a", older, start + 30s), start + 20s);
    CHECK(origins.find(StreamKey::of("a"), start + 90s) == older);
    CHECK(origins.size() == 1);
}

TEST_CASE("an unknown version is remembered, and does not replace a known one", "[origins]")
{
    const SoftwareVersion unknown { "engines", "" };
    StreamOrigins origins;
    origins.add("entry-0", origin("a", unknown), start);
    REQUIRE(origins.find(StreamKey::of("a"), start));
    CHECK_FALSE(origins.find(StreamKey::of("a"), start)->isKnown());
    origins.add("entry-0", origin("a", older), start);
    origins.add("entry-0", origin("a", unknown), start);
    CHECK(origins.find(StreamKey::of("a"), start) == older);
}

TEST_CASE("memory for streams is bounded, and those that end first are forgotten first", "[origins]")
{
    StreamOrigins origins;
    for (size_t i = 0; i < StreamOrigins::maxRecords + 100; ++i)
        origins.add("entry-0", origin(std::to_string(i), older, start + 1min + Duration(i)), start);
    CHECK(origins.size() == StreamOrigins::maxRecords);
    CHECK_FALSE(origins.find(StreamKey::of("0"), start));
    CHECK(origins.find(StreamKey::of(std::to_string(StreamOrigins::maxRecords + 99)), start));
    origins.add("entry-1", origin("later", newer, start + 1h), start + 30min);
    CHECK(origins.size() == 1);
    CHECK(origins.entries() == std::set<std::string> { "entry-1" });
}

TEST_CASE("ids of any length have keys of one size", "[origins]")
{
    const StreamKey key = StreamKey::of(std::string(16000, 'x'));
    CHECK(StreamKey::decode(key.encode()) == key);
    CHECK(key.encode().size() == StreamKey::encodedBytes);
    CHECK_THROWS_AS(StreamKey::decode("short"), FrameInvalidError);
}

TEST_CASE("one version in a service proves what wrote a stream only for as long as it was the only one", "[origins]")
{
    SoftwareHistory history;
    history.onDirectory(directoryOf({ "v1", "v1" }), start);
    CHECK(history.onlyVersion("engines", start) == older);
    CHECK_FALSE(history.onlyVersion("engines", start - 1s));
    CHECK_FALSE(history.onlyVersion("other", start));
    history.onDirectory(directoryOf({}), start + 1s);
    CHECK(history.onlyVersion("engines", start) == older);
    SECTION("a second version ends it")
    {
        history.onDirectory(directoryOf({ "v1", "v2" }), start + 2s);
        CHECK_FALSE(history.onlyVersion("engines", start + 2s));
        history.onDirectory(directoryOf({ "v2" }), start + 5s);
        CHECK(history.onlyVersion("engines", start + 5s) == newer);
        CHECK_FALSE(history.onlyVersion("engines", start + 4s));
    }
    SECTION("another version in its place ends it")
    {
        history.onDirectory(directoryOf({ "v2" }), start + 2s);
        CHECK_FALSE(history.onlyVersion("engines", start + 1s));
    }
    SECTION("an unknown version ends it")
    {
        history.onDirectory(directoryOf({ "v1", "" }), start + 2s);
        CHECK_FALSE(history.onlyVersion("engines", start + 2s));
    }
}
