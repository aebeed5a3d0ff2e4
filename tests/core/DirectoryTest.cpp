#include "core/FixedSeed.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <endiveroad/Directory.h>
#include <endiveroad/DocumentSet.h>
#include <endiveroad/ReaderElection.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 10s };

RouteDeclaration route(const std::string& name, const std::string& host, const std::string& prefix)
{
    RouteDeclaration route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    return route;
}

} // namespace

TEST_CASE("the route with the longest matching prefix of the host is chosen", "[directory]")
{
    RoutingTable table;
    table.routes = { route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "g", "/a/b/c/") };
    CHECK(table.match("h", "/a/b/c/d")->name == "long");
    CHECK(table.match("h", "/a/x")->name == "short");
    CHECK_FALSE(table.match("h", "/ab/x"));
    CHECK_FALSE(table.match("x", "/a/b/"));
}

TEST_CASE("of several registrations at one address the server started last is used", "[directory]")
{
    // The old registration of a restarted replica stays for some seconds.
    Directory directory;
    const Address address { "10.0.0.1", 80 };
    directory.servers["i-1"] = { "i-1", "s", address, "d", false, 8, 9000 };
    directory.servers["i-0"] = { "i-0", "s", address, "d", false, 8, 1000 };
    directory.servers["i-2"] = { "i-2", "s", address, "d", false, 8, 2000 };
    CHECK(directory.serverAt(address)->id == "i-1");
    CHECK_FALSE(directory.serverAt({ "10.0.0.2", 80 }));
}

TEST_CASE("a server at whose address a later start is registered gets nothing more", "[directory]")
{
    Directory directory;
    const Address address { "10.0.0.1", 80 };
    directory.servers["i-0"] = { "i-0", "s", address, "d", false, 8, 1000 };
    directory.servers["i-1"] = { "i-1", "other", address, "d", false, 8, 2000 };
    directory.servers["i-2"] = { "i-2", "s", { "10.0.0.2", 80 }, "d", false, 8, 500 };
    directory.markReplacedServers();
    const std::vector<const ServerRecord*> ready = directory.readyServers("s");
    REQUIRE(ready.size() == 1);
    CHECK(ready.front()->id == "i-2");
    CHECK(directory.servers.at("i-0").isReplaced);
    CHECK_FALSE(directory.isServerExpected("s"));
    CHECK(directory.readyServers("other").size() == 1);
}

TEST_CASE("seeds are used besides registered coordinators while needed, and if none is registered", "[directory]")
{
    Directory directory;
    const Address seed { "10.0.0.9", 7000 };
    const Address known { "10.0.0.1", 7000 };
    CHECK(directory.coordinatorAddresses({ seed }, false) == std::set<Address> { seed });
    directory.coordinators["c"] = { "c", known, "d" };
    CHECK(directory.coordinatorAddresses({ seed }, true) == std::set<Address> { seed, known });
    CHECK(directory.coordinatorAddresses({ seed }, false) == std::set<Address> { known });
}

TEST_CASE("document sets converge whatever the order and repetition of merges", "[directory]")
{
    checkProperty("document sets converge", 20261205, 1000, [](const std::vector<uint32_t>& choices) {
        std::vector<Document> documents;
        for (size_t i = 0; i < choices.size(); ++i) {
            const auto revision = static_cast<int64_t>(i + 1);
            documents.push_back(
                { "key-" + std::to_string(choices[i] % 4), revision, std::to_string(choices[i]), choices[i] % 3 == 0 });
        }
        DocumentSet inOrder;
        for (const Document& document : documents)
            inOrder.merge(document);
        std::reverse(documents.begin(), documents.end());
        DocumentSet reversed;
        for (const Document& document : documents) {
            reversed.merge(document);
            reversed.merge(document);
        }
        RC_ASSERT(inOrder.all() == reversed.all());
    });
}

TEST_CASE("documents missing in a listing are removed unless they are newer than it", "[directory]")
{
    DocumentSet documents;
    documents.merge({ "s/a", 5, "1", false });
    documents.merge({ "s/b", 12, "2", false });
    documents.merge({ "t/c", 1, "3", false });
    const auto missing = documents.missingIn("s/", {}, 10);
    REQUIRE(missing.size() == 1);
    CHECK(missing.front() == Document { "s/a", 10, "", true });
}

TEST_CASE("only the first coordinator reads until its reports have expired and others take over", "[directory]")
{
    ReaderElection first("c1", start);
    ReaderElection second("c2", start);
    ReaderElection agent(std::nullopt, start + 600ms);
    CHECK(second.shouldRead(start));
    CHECK_FALSE(agent.shouldRead(start));
    second.onPeerRead("c1", start + 100ms);
    agent.onPeerRead("c1", start + 100ms);
    first.onPeerRead("c2", start + 100ms);
    CHECK(first.shouldRead(start + 200ms));
    CHECK_FALSE(second.shouldRead(start + 200ms));
    agent.onOwnRead(start + 200ms);
    const Instant later = start + 100ms + ReaderElection::readLifetime;
    CHECK(second.shouldRead(later));
    CHECK(agent.shouldRead(start + 10s));
}

TEST_CASE("a process without a reader keeps reading until another process reports a read", "[directory]")
{
    const Instant begin = start + 150ms;
    ReaderElection entry(std::nullopt, begin);
    CHECK_FALSE(entry.shouldRead(start));
    for (Instant now = begin; now < begin + 5s; now += 100ms) {
        REQUIRE(entry.shouldRead(now));
        entry.onOwnRead(now);
        REQUIRE(entry.hasRecentRead(now));
    }
    entry.onPeerRead("c1", begin + 5s);
    CHECK_FALSE(entry.shouldRead(begin + 5s));
    CHECK(entry.hasRecentRead(begin + 5s));
}

TEST_CASE("a key identifies the one organisation that holds it", "[directory]")
{
    RoutingTable table;
    CHECK_FALSE(table.organisationOf("d1"));
    table.organisations.emplace();
    CHECK_FALSE(table.organisationOf("d1"));
    table.organisations->emplace("a", OrganisationDeclaration { "a", std::nullopt, { "d1", "shared", "" } });
    table.organisations->emplace("b", OrganisationDeclaration { "b", 0, { "d2", "shared" } });
    REQUIRE(table.organisationOf("d1"));
    CHECK(table.organisationOf("d1")->name == "a");
    CHECK(table.organisationOf("d2")->name == "b");
    CHECK_FALSE(table.organisationOf("shared"));
    CHECK_FALSE(table.organisationOf("d3"));
    // A request without a key has an empty digest.
    CHECK_FALSE(table.organisationOf(""));
}

TEST_CASE("an organisation's priority takes precedence over the route's", "[directory]")
{
    RoutingTable table;
    RouteDeclaration declared = route("r", "h", "/");
    declared.priority = 4;
    CHECK(table.priorityOf(declared, "a") == 4);
    table.organisations.emplace();
    table.organisations->emplace("a", OrganisationDeclaration { "a", 0, {} });
    table.organisations->emplace("b", OrganisationDeclaration { "b", std::nullopt, {} });
    CHECK(table.priorityOf(declared, "a") == 0);
    CHECK(table.priorityOf(declared, "b") == 4);
    CHECK(table.priorityOf(declared, "unknown") == 4);
    CHECK(table.priorityOf(declared, "") == 4);
    CHECK(table.organisationPriority("a") == 0);
    CHECK_FALSE(table.organisationPriority("b"));
    CHECK(table.requiresKey(declared));
    declared.isPublic = true;
    CHECK_FALSE(table.requiresKey(declared));
}
