#include "io/hosted/CrashStore.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <nlohmann/json.hpp>

namespace endiveroad::io {

using Json = nlohmann::json;

namespace {

/// Number of records that are written in one transaction.
constexpr size_t maxRecordsPerWrite = 30;

std::string keyOf(const ContentId& content)
{
    return CrashStore::keyPrefix + content.text();
}

Json encodeTrials(const std::set<FailedTrial>& trials)
{
    Json rows = Json::array();
    for (const FailedTrial& failed : trials)
        rows.push_back({ { "serverStart", failed.serverStart }, { "isLate", failed.isLate } });
    return rows;
}

std::set<FailedTrial> decodeTrials(const Json& record)
{
    std::set<FailedTrial> trials;
    if (!record.contains("failedTrials"))
        return trials;
    for (const Json& row : record.at("failedTrials"))
        trials.insert({ row.at("serverStart").get<std::string>(), row.at("isLate").get<bool>() });
    return trials;
}

} // namespace

std::string encodeCrashRecord(const CrashRecord& record)
{
    const Instant currentTime = now();
    // A trial is soon over, so it is not stored.
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(record.blockedUntil, currentTime) - currentTime);
    const auto heldFor = std::chrono::duration_cast<std::chrono::milliseconds>(
        currentTime - std::min(record.thresholdAt, currentTime));
    return Json {
        { "content", record.content.text() }, { "generation", record.generation },
        { "crashedServers", record.crashedServers }, { "failedTrials", encodeTrials(record.failedTrials) },
        { "isOwed", record.kind == ContentKind::Owed }, { "blockedUntilMs", wallMs() + left.count() },
        { "heldSinceMs", wallMs() - heldFor.count() }
    }.dump();
}

CrashRecord decodeCrashRecord(const std::string& text)
{
    try {
        const Json object = Json::parse(text);
        CrashRecord record;
        record.content = ContentId::parse(object.at("content").get<std::string>());
        record.generation = object.at("generation").get<int64_t>();
        record.crashedServers = object.at("crashedServers").get<std::set<std::string>>();
        record.failedTrials = decodeTrials(object);
        record.kind = object.value("isOwed", false) ? ContentKind::Owed : ContentKind::Call;
        const int64_t longestMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(CrashRegister::recordLifetime).count();
        const int64_t heldSinceMs = std::max(object.value("heldSinceMs", wallMs()), wallMs() - longestMs);
        if (record.crashedServers.size() >= CrashRegister::blockThreshold)
            record.thresholdAt = now() - std::chrono::milliseconds(wallMs() - std::min(heldSinceMs, wallMs()));
        const std::chrono::milliseconds left(object.at("blockedUntilMs").get<int64_t>() - wallMs());
        if (left.count() > 0)
            record.blockedUntil = now() + std::min<Duration>(left, CrashRegister::longestBlock);
        return record;
    } catch (const Json::exception& error) {
        throw FrameInvalidError(error.what());
    } catch (const BadRequestError& error) {
        throw FrameInvalidError(error.what());
    }
}

CrashStore::CrashStore(
    asio::io_context& context, MetadataStore& store, CrashGuard& guard, PartSource part, bool shouldRestore)
    : store_(store)
    , guard_(guard)
    , part_(std::move(part))
    , shouldRestore_(shouldRestore)
    , changed_(context)
{
}

void CrashStore::onRecord(const ContentId& content)
{
    unwritten_.insert(content);
    changed_.notifyAll();
}

void CrashStore::dropUnneeded(Part part)
{
    if (part == Part::Reader)
        unwritten_.clear();
    if (part != Part::Writer)
        return;
    std::erase_if(unwritten_, [this](const ContentId& content) {
        const CrashRecord record = guard_.record(content);
        const bool isCleared = record.crashedServers.empty();
        return !isCleared && record.crashedServers.size() < CrashRegister::blockThreshold;
    });
}

asio::awaitable<void> CrashStore::run()
{
    while (true) {
        bool hasFailed = false;
        try {
            co_await exchange();
        } catch (const Error& error) {
            log(Event::StoreUnavailable, { { "calling", "crash records" }, { "reason", error.what() } });
            hasFailed = true;
        }
        if (hasFailed)
            co_await sleepFor(retryPause);
        else if (unwritten_.empty())
            co_await changed_.wait(now() + isolatedInterval);
    }
}

asio::awaitable<void> CrashStore::exchange()
{
    const Part part = part_();
    if (shouldRestore_ || part == Part::Isolated)
        co_await restore();
    shouldRestore_ = false;
    dropUnneeded(part);
    if (!unwritten_.empty())
        co_await write();
}

asio::awaitable<void> CrashStore::restore()
{
    const StoreListing listing = co_await store_.list(keyPrefix, false, now() + callTimeout);
    for (const Document& document : listing.documents) {
        try {
            const CrashRecord stored = decodeCrashRecord(document.value);
            guard_.restore(stored);
            if (guard_.record(stored.content).crashedServers != stored.crashedServers)
                onRecord(stored.content);
        } catch (const FrameInvalidError& error) {
            log(Event::FrameRefused, { { "key", document.key }, { "reason", error.what() } });
        }
    }
}

asio::awaitable<int64_t> CrashStore::lease()
{
    if (now() < leaseReusableUntil_)
        co_return lease_;
    lease_ = co_await store_.grantLease(leaseLifetime, now() + callTimeout);
    leaseReusableUntil_ = now() + leaseReuseTime;
    co_return lease_;
}

asio::awaitable<void> CrashStore::write()
{
    const int64_t lease = co_await this->lease();
    StoreTransaction transaction;
    std::vector<CrashRecord> written;
    for (const ContentId& content : unwritten_) {
        if (written.size() >= maxRecordsPerWrite)
            break;
        written.push_back(guard_.record(content));
        if (written.back().crashedServers.empty())
            transaction.removals.push_back(keyOf(content));
        else
            transaction.puts.push_back({ keyOf(content), encodeCrashRecord(written.back()), lease });
    }
    try {
        co_await store_.commit(std::move(transaction), now() + callTimeout);
    } catch (const Error&) {
        // The lease may have ended early.
        leaseReusableUntil_ = Instant::min();
        throw;
    }
    for (const CrashRecord& record : written) {
        if (guard_.record(record.content).isSameButTrial(record))
            unwritten_.erase(record.content);
    }
}

} // namespace endiveroad::io
