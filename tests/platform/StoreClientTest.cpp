#include "platform/StoreClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <endiveroad/Error.h>
#include <nlohmann/json.hpp>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace std::chrono_literals;

namespace {

constexpr Instant deadline { 10s };

/// Answers calls with predefined responses and records the requests.
class ScriptedTransport : public StoreTransport {
public:
    asio::awaitable<HttpResponse> send(HttpRequest request, Instant, bool) override
    {
        requests.push_back(std::move(request));
        HttpResponse response;
        if (!answers.empty()) {
            response.status = answers.front().first;
            response.body = answers.front().second;
            answers.erase(answers.begin());
        }
        co_return response;
    }

    std::vector<std::pair<int, std::string>> answers;
    std::vector<HttpRequest> requests;
};

template <typename Result>
Result runToEnd(asio::awaitable<Result> task)
{
    asio::io_context context;
    auto result = asio::co_spawn(context, std::move(task), asio::use_future);
    context.run();
    return result.get();
}

} // namespace

TEST_CASE("a listing reads all pages and keeps the revision of the first one", "[platform]")
{
    ScriptedTransport transport;
    transport.answers = { { 200, R"({"Items":[{"Key":"a/1","Value":"b25l","Revision":3}],"HasMore":true,"AsOf":7})" },
        { 200, R"({"Items":[{"Key":"a/2","Value":"dHdv","Revision":9}],"HasMore":false,"AsOf":9})" } };
    platform::StoreClient client(transport);
    const StoreListing listing = runToEnd(client.list("a/", false, deadline));
    CHECK(listing.asOf == 7);
    REQUIRE(listing.documents.size() == 2);
    CHECK(listing.documents[1] == Document { "a/2", 9, "two", false });
    CHECK(transport.requests[1].target.find("After=a/1") != std::string::npos);
}

TEST_CASE("a watch returns changes and removals, and reports lost history", "[platform]")
{
    ScriptedTransport transport;
    transport.answers = { { 200, R"({"events":[{"Key":"a/1","Revision":4,"Removed":true}],"AsOf":4})" }, { 410, "" },
        { 200, R"({"events":[],"AsOf":4})" } };
    platform::StoreClient client(transport);
    const StoreChanges changes = runToEnd(client.watch("a/", 3, 1000ms, deadline));
    REQUIRE(changes.documents.size() == 1);
    CHECK(changes.documents.front().isRemoved);
    CHECK_THROWS_AS(runToEnd(client.watch("a/", 3, 1000ms, deadline)), HistoryLostError);
    CHECK(runToEnd(client.watch("a/", 4, 1000ms, deadline)).documents.empty());
}

TEST_CASE("a transaction is committed, refused with the current documents, or has an unknown outcome", "[platform]")
{
    ScriptedTransport transport;
    transport.answers = { { 200, R"({"Revision":12})" },
        { 412, R"({"Items":[{"Key":"k","Value":"eA==","Revision":11},{"Key":"none","Revision":0}]})" }, { 503, "" },
        { 429, "" }, { 500, "" } };
    platform::StoreClient client(transport);
    const auto transaction = [] {
        StoreTransaction changes;
        changes.conditions.push_back({ "k", 0 });
        changes.puts.push_back({ "k", "value", 0 });
        return changes;
    };
    const CommitResult committed = runToEnd(client.commit(transaction(), deadline));
    CHECK(committed.isCommitted);
    CHECK(committed.revision == 12);
    const CommitResult refused = runToEnd(client.commit(transaction(), deadline));
    CHECK_FALSE(refused.isCommitted);
    REQUIRE(refused.present.size() == 1);
    CHECK(refused.present.front() == Document { "k", 11, "x", false });
    CHECK_THROWS_AS(runToEnd(client.commit(transaction(), deadline)), StoreUnavailableError);
    CHECK_THROWS_AS(runToEnd(client.commit(transaction(), deadline)), StoreUnavailableError);
    CHECK_THROWS_AS(runToEnd(client.commit(transaction(), deadline)), OutcomeUnknownError);
    const auto body = nlohmann::json::parse(transport.requests.front().body);
    CHECK(body["Puts"][0]["Value"] == "dmFsdWU=");
    CHECK(body["Expected"][0]["Revision"] == 0);
}

TEST_CASE("leases are granted and renewed, and an ended lease is reported", "[platform]")
{
    ScriptedTransport transport;
    transport.answers = { { 200, R"({"Lease":77,"TtlMs":3000})" }, { 200, "{}" }, { 404, "" }, { 404, "" } };
    platform::StoreClient client(transport);
    CHECK(runToEnd(client.grantLease(3000ms, deadline)) == 77);
    CHECK(runToEnd(client.renewLease(77, deadline)));
    CHECK_FALSE(runToEnd(client.renewLease(77, deadline)));
    CHECK_FALSE(runToEnd(client.read("k", deadline)));
    CHECK(transport.requests[1].target == "/kv-keep/77");
}

// Guards against a transaction that the store carried out, but whose answer can't be read, being reported as an error
// of the request, which callers take for one that was not carried out.
TEST_CASE("an answer of the store that can't be read leaves the outcome unknown", "[platform]")
{
    for (const char* body : { "", "[]", "{}", R"({"Revision":"12"})" }) {
        ScriptedTransport transport;
        transport.answers = { { 200, body }, { 200, body } };
        platform::StoreClient client(transport);
        StoreTransaction transaction;
        transaction.puts.push_back({ "k", "value", 0 });
        CHECK_THROWS_AS(runToEnd(client.commit(std::move(transaction), deadline)), OutcomeUnknownError);
        CHECK_THROWS_AS(runToEnd(client.grantLease(3000ms, deadline)), OutcomeUnknownError);
    }
}
