#include "io/hosted/JobStore.h"

#include "io/Clock.h"
#include "io/Log.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endiveroad::io {

using Json = nlohmann::json;

namespace {

constexpr const char* recordPrefix = "endiveroad/jobs/";

/// Maximum number of puts or removals in one transaction.
constexpr size_t maxTransactionEntries = 30;

std::string recordKey(const std::string& job)
{
    return recordPrefix + job;
}

std::string bodyPrefix(const std::string& job)
{
    return "endiveroad/bodies/" + job + "/";
}

std::string resultPrefix(const std::string& job)
{
    return "endiveroad/results/" + job + "/";
}

/// The number is padded with zeros so that keys sort by number.
std::string numberedKey(const std::string& prefix, size_t number)
{
    return fmt::format("{}{:08}", prefix, number);
}

std::string encode(const JobRecord& record)
{
    Json object { { "owner", record.owner }, { "host", record.host }, { "route", record.route },
        { "submittedMs", record.submittedMs }, { "isEnded", record.isEnded }, { "items", record.items },
        { "maxAttempts", record.maxAttempts }, { "maxScoringAttempts", record.maxScoringAttempts },
        { "isSingleVersion", record.isSingleVersion }, { "resultDueMs", record.resultDueMs },
        { "maxQueueMs", record.maxQueueMs }, { "configuration", record.configuration } };
    if (!record.organisation.empty())
        object["organisation"] = record.organisation;
    return object.dump();
}

StoredJob decodeRecord(const Document& document)
{
    try {
        const Json object = Json::parse(document.value);
        StoredJob job;
        job.id = document.key.substr(std::string_view(recordPrefix).size());
        job.revision = document.revision;
        JobRecord& record = job.record;
        record.owner = object.at("owner").get<std::string>();
        record.host = object.at("host").get<std::string>();
        record.route = object.at("route").get<std::string>();
        record.submittedMs = object.at("submittedMs").get<int64_t>();
        record.isEnded = object.at("isEnded").get<bool>();
        record.items = object.at("items").get<size_t>();
        record.maxAttempts = object.at("maxAttempts").get<int32_t>();
        record.maxScoringAttempts = object.at("maxScoringAttempts").get<int32_t>();
        record.isSingleVersion = object.at("isSingleVersion").get<bool>();
        record.resultDueMs = object.at("resultDueMs").get<int64_t>();
        record.maxQueueMs = object.at("maxQueueMs").get<int64_t>();
        record.configuration = object.value("configuration", int64_t(0));
        record.organisation = object.value("organisation", std::string());
        return job;
    } catch (const Json::exception& error) {
        throw FrameInvalidError(fmt::format("the owner record {} cannot be decoded: {}", document.key, error.what()));
    }
}

/// The record with this key; nothing if there is none that can be decoded.
std::optional<JobRecord> readableRecord(const std::vector<Document>& documents, const std::string& key)
{
    const auto found = std::find_if(
        documents.begin(), documents.end(), [&key](const Document& document) { return document.key == key; });
    if (found == documents.end())
        return std::nullopt;
    try {
        return decodeRecord(*found).record;
    } catch (const FrameInvalidError& error) {
        log(Event::JobRecordUnreadable, { { "key", key }, { "reason", error.what() } });
    }
    return std::nullopt;
}

std::string encode(const std::vector<BatchResult>& results)
{
    Json rows = Json::array();
    for (const BatchResult& result : results) {
        rows.push_back({ { "item", result.item }, { "isCompleted", result.state == ResultState::Completed },
            { "text", result.text }, { "versions", result.versions }, { "score", result.score } });
    }
    return rows.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void decodeResults(const Document& document, std::vector<BatchResult>& results)
{
    try {
        const Json rows = Json::parse(document.value);
        for (const Json& row : rows) {
            BatchResult result;
            result.item = row.at("item").get<std::string>();
            result.state = row.at("isCompleted").get<bool>() ? ResultState::Completed : ResultState::Terminated;
            result.text = row.at("text").get<std::string>();
            result.versions = row.at("versions").get<std::vector<int64_t>>();
            result.score = row.at("score").get<std::string>();
            results.push_back(std::move(result));
        }
    } catch (const Json::exception& error) {
        throw FrameInvalidError(fmt::format("the results {} cannot be decoded: {}", document.key, error.what()));
    }
}

} // namespace

bool JobRecord::isRouteRemoved(const RoutingTable& routing, std::string_view itemPath) const
{
    return routing.version > configuration && !routing.batchRoute(host, itemPath);
}

bool JobRecord::isVisibleOn(std::string_view callerHost, const RoutingTable* routing) const
{
    return callerHost == host || (routing && routing->hasBatchRoute(callerHost));
}

bool JobRecord::isAccessibleTo(const std::string& callerOrganisation, const RoutingTable* routing) const
{
    const bool areAllAlike = organisation.empty() || (routing && !routing->organisations);
    return areAllAlike || organisation == callerOrganisation;
}

JobStore::JobStore(MetadataStore& store)
    : store_(store)
{
}

asio::awaitable<Acceptance> JobStore::accept(std::string job, JobRecord record, std::string body)
{
    if (body.size() > (maxTransactionEntries - 1) * maxValueBytes)
        throw BodyTooLargeError("the batch job does not fit into one transaction of the store");
    StoreTransaction transaction;
    transaction.conditions.push_back({ recordKey(job), 0 });
    transaction.puts.push_back({ recordKey(job), encode(record), 0 });
    for (size_t part = 0; part == 0 || part * maxValueBytes < body.size(); ++part) {
        const std::string piece = body.substr(part * maxValueBytes, maxValueBytes);
        transaction.puts.push_back({ numberedKey(bodyPrefix(job), part), piece, 0 });
    }
    const CommitResult result = co_await store_.commit(std::move(transaction), now() + callTimeout);
    Acceptance acceptance;
    if (result.isCommitted)
        acceptance.revision = result.revision;
    else
        acceptance.existing = readableRecord(result.present, recordKey(job));
    co_return acceptance;
}

asio::awaitable<std::optional<StoredJob>> JobStore::read(std::string job, Duration timeout)
{
    const std::optional<Document> document = co_await store_.read(recordKey(job), now() + timeout);
    if (!document)
        co_return std::nullopt;
    co_return decodeRecord(*document);
}

asio::awaitable<std::vector<StoredJob>> JobStore::readAll()
{
    const StoreListing listing = co_await store_.list(recordPrefix, false, now() + callTimeout);
    std::vector<StoredJob> jobs;
    for (const Document& document : listing.documents) {
        try {
            jobs.push_back(decodeRecord(document));
        } catch (const FrameInvalidError& error) {
            log(Event::JobRecordUnreadable, { { "key", document.key }, { "reason", error.what() } });
        }
    }
    co_return jobs;
}

asio::awaitable<std::optional<int64_t>> JobStore::replace(std::string job, JobRecord record, int64_t revision)
{
    const std::string value = encode(record);
    StoreTransaction transaction;
    transaction.conditions.push_back({ recordKey(job), revision });
    transaction.puts.push_back({ recordKey(job), value, 0 });
    const CommitResult result = co_await store_.commit(std::move(transaction), now() + callTimeout);
    if (result.isCommitted)
        co_return result.revision;
    for (const Document& present : result.present) {
        // The same record with another revision: an earlier attempt of this change was committed.
        if (present.key == recordKey(job) && present.value == value)
            co_return present.revision;
    }
    co_return std::nullopt;
}

asio::awaitable<std::string> JobStore::readBody(std::string job)
{
    const StoreListing listing = co_await store_.list(bodyPrefix(job), false, now() + callTimeout);
    std::string body;
    for (const Document& document : listing.documents)
        body += document.value;
    co_return body;
}

asio::awaitable<std::vector<BatchResult>> JobStore::readResults(std::string job)
{
    const StoreListing listing = co_await store_.list(resultPrefix(job), false, now() + callTimeout);
    std::vector<BatchResult> results;
    for (const Document& document : listing.documents)
        decodeResults(document, results);
    co_return results;
}

asio::awaitable<AppendOutcome> JobStore::append(
    std::string job, int64_t revision, size_t first, std::vector<BatchResult> results)
{
    const std::string key = numberedKey(resultPrefix(job), first);
    const std::string value = encode(results);
    StoreTransaction transaction;
    transaction.conditions.push_back({ recordKey(job), revision });
    transaction.conditions.push_back({ key, 0 });
    transaction.puts.push_back({ key, value, 0 });
    const CommitResult result = co_await store_.commit(std::move(transaction), now() + callTimeout);
    if (result.isCommitted)
        co_return AppendOutcome::Appended;
    for (const Document& present : result.present) {
        // The same results at this position: an earlier attempt was committed and its answer was lost.
        if (present.key == key && present.value == value)
            co_return AppendOutcome::Appended;
    }
    co_return AppendOutcome::Conflict;
}

asio::awaitable<void> JobStore::remove(std::string job)
{
    std::vector<std::string> keys;
    for (const std::string& prefix : { bodyPrefix(job), resultPrefix(job) }) {
        const StoreListing listing = co_await store_.list(prefix, false, now() + callTimeout);
        for (const Document& document : listing.documents)
            keys.push_back(document.key);
    }
    // The record is removed last: while it exists, a removal that failed half-way is repeated later.
    keys.push_back(recordKey(job));
    for (size_t first = 0; first < keys.size(); first += maxTransactionEntries) {
        StoreTransaction transaction;
        const size_t end = std::min(keys.size(), first + maxTransactionEntries);
        transaction.removals.assign(
            keys.begin() + static_cast<ptrdiff_t>(first), keys.begin() + static_cast<ptrdiff_t>(end));
        co_await store_.commit(std::move(transaction), now() + callTimeout);
    }
}

} // namespace endiveroad::io
