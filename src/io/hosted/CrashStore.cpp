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

} // namespace

std::string encodeCrashRecord(const CrashRecord& record)
{
    const Instant currentTime = now();
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(record.blockedUntil, currentTime) - currentTime);
    return Json {
        { "content", record.content.text() }, { "generation", record.generation },
        { "crashedServers", record.crashedServers }, { "blockedUntilMs", wallMs() + left.count() }
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

CrashStore::CrashStore(asio::io_context& context, MetadataStore& store, CrashGuard& guard, IsWriter isWriter)
    : store_(store)
    , guard_(guard)
    , isWriter_(std::move(isWriter))
    , changed_(context)
{
}

void CrashStore::onRecord(const CrashRecord& record)
{
    const bool isBlocked = record.crashedServers.size() >= CrashRegister::blockThreshold;
    const bool isCleared = record.generation > 0 && record.crashedServers.empty();
    if (!isBlocked && !isCleared)
        return;
    unwritten_[record.content] = record;
    changed_.notifyAll();
}

asio::awaitable<void> CrashStore::run()
{
    bool isRestored = false;
    while (true) {
        Duration pause = Duration::zero();
        try {
            if (!isRestored)
                co_await restore();
            isRestored = true;
            if (!isWriter_())
                unwritten_.clear();
            if (!unwritten_.empty())
                co_await write();
        } catch (const Error& error) {
            log(Event::StoreUnavailable, { { "calling", "crash records" }, { "reason", error.what() } });
            pause = retryPause;
        }
        if (pause > Duration::zero())
            co_await sleepFor(pause);
        else if (unwritten_.empty())
            co_await changed_.wait(never);
    }
}

asio::awaitable<void> CrashStore::restore()
{
    const StoreListing listing = co_await store_.list(keyPrefix, false, now() + callTimeout);
    for (const Document& document : listing.documents) {
        try {
            guard_.restore(decodeCrashRecord(document.value));
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
    const std::map<ContentId, CrashRecord> records = unwritten_;
    StoreTransaction transaction;
    for (const auto& [content, record] : records) {
        if (transaction.puts.size() + transaction.removals.size() >= maxRecordsPerWrite)
            break;
        if (record.crashedServers.empty())
            transaction.removals.push_back(keyOf(content));
        else
            transaction.puts.push_back({ keyOf(content), encodeCrashRecord(record), lease });
    }
    const size_t count = transaction.puts.size() + transaction.removals.size();
    try {
        co_await store_.commit(std::move(transaction), now() + callTimeout);
    } catch (const Error&) {
        // The lease may have ended early.
        leaseReusableUntil_ = Instant::min();
        throw;
    }
    size_t written = 0;
    for (const auto& [content, record] : records) {
        const auto current = unwritten_.find(content);
        const bool isUnchanged = current != unwritten_.end() && current->second == record;
        if (written++ < count && isUnchanged)
            unwritten_.erase(current);
    }
}

} // namespace endiveroad::io
