#pragma once

#include "io/Clock.h"
#include "io/Tasks.h"
#include "io/hosted/MetadataStore.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <functional>
#include <map>
#include <random>

/// The durable contents of a simulated store, which all processes share: keys with revisions, changed by conditional
/// transactions.
class StoreContents {
public:
    /// Leases end from now on; before, they have no effect.
    void useLeases() { hasLeases_ = true; }
    bool hasLeases() const { return hasLeases_; }

    int64_t grantLease(endiveroad::Duration lifetime)
    {
        leases_[++lastLease_] = { lifetime, endiveroad::io::now() + lifetime };
        return lastLease_;
    }

    bool renewLease(int64_t lease)
    {
        const auto found = leases_.find(lease);
        if (found != leases_.end())
            found->second.end = endiveroad::io::now() + found->second.lifetime;
        return found != leases_.end();
    }

    void endLease(int64_t lease)
    {
        leases_.erase(lease);
        for (auto key = leaseOfKey_.begin(); key != leaseOfKey_.end();) {
            if (key->second != lease) {
                ++key;
                continue;
            }
            ++revision_;
            documents_.erase(key->first);
            key = leaseOfKey_.erase(key);
        }
    }

    void endExpiredLeases()
    {
        std::vector<int64_t> expired;
        for (const auto& [lease, state] : leases_) {
            if (state.end <= endiveroad::io::now())
                expired.push_back(lease);
        }
        for (int64_t lease : expired)
            endLease(lease);
    }

    endiveroad::io::CommitResult apply(const endiveroad::io::StoreTransaction& transaction)
    {
        endiveroad::io::CommitResult result;
        const bool hasEndedLease = std::any_of(transaction.puts.begin(), transaction.puts.end(),
            [this](const auto& put) { return hasLeases_ && put.lease != 0 && !leases_.contains(put.lease); });
        if (hasEndedLease)
            return result;
        result.isCommitted = std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
            [this](const auto& condition) { return revisionOf(condition.key) == condition.revision; });
        if (!result.isCommitted) {
            for (const auto& condition : transaction.conditions) {
                if (const auto found = documents_.find(condition.key); found != documents_.end())
                    result.present.push_back(found->second);
            }
            return result;
        }
        result.revision = ++revision_;
        for (const auto& put : transaction.puts) {
            documents_[put.key] = { put.key, revision_, put.value, false };
            leaseOfKey_.erase(put.key);
            if (hasLeases_ && put.lease != 0)
                leaseOfKey_[put.key] = put.lease;
        }
        for (const std::string& key : transaction.removals)
            documents_.erase(key);
        return result;
    }

    endiveroad::io::StoreListing list(const std::string& prefix) const
    {
        endiveroad::io::StoreListing listing;
        listing.asOf = revision_;
        for (auto next = documents_.lower_bound(prefix); next != documents_.end(); ++next) {
            if (!next->first.starts_with(prefix))
                break;
            listing.documents.push_back(next->second);
        }
        return listing;
    }

    std::optional<endiveroad::Document> read(const std::string& key) const
    {
        const auto found = documents_.find(key);
        return found == documents_.end() ? std::nullopt : std::optional(found->second);
    }

private:
    int64_t revisionOf(const std::string& key) const
    {
        const auto found = documents_.find(key);
        return found == documents_.end() ? 0 : found->second.revision;
    }

    struct Lease {
        endiveroad::Duration lifetime {};
        endiveroad::Instant end;
    };

    std::map<std::string, endiveroad::Document> documents_;
    int64_t revision_ = 0;
    bool hasLeases_ = false;
    std::map<int64_t, Lease> leases_;
    std::map<std::string, int64_t> leaseOfKey_;
    int64_t lastLease_ = 0;
};

/// One process's client of a simulated store, with faults: calls are delayed, fail before they take effect, lose their
/// answers, or take effect seconds after the caller was told that their outcome is unknown.
class UnreliableStore : public endiveroad::io::MetadataStore {
public:
    /// Runs an action at a later instant, even if the process has been killed by then.
    using ScheduleAt = std::function<void(endiveroad::Instant, std::function<void()>)>;

    /// Fault probability in percent, drawn for each step of a call; with 0 the store answers at once and never fails.
    /// The caller may change the referenced value during the test.
    UnreliableStore(
        StoreContents& contents, std::mt19937_64& random, const unsigned& faultPercent, ScheduleAt scheduleAt)
        : contents_(contents)
        , random_(random)
        , faultPercent_(faultPercent)
        , scheduleAt_(std::move(scheduleAt))
    {
    }

    boost::asio::awaitable<std::optional<endiveroad::Document>> read(std::string key, endiveroad::Instant) override
    {
        co_await delayOrFail();
        const auto document = contents_.read(key);
        co_await delayOrFail();
        co_return document;
    }

    boost::asio::awaitable<endiveroad::io::StoreListing> list(std::string prefix, bool, endiveroad::Instant) override
    {
        co_await delayOrFail();
        auto listing = contents_.list(prefix);
        co_await delayOrFail();
        co_return listing;
    }

    boost::asio::awaitable<endiveroad::io::StoreChanges> watch(
        std::string, int64_t, std::chrono::milliseconds, endiveroad::Instant) override
    {
        throw endiveroad::StoreUnavailableError("this store has no watches");
    }

    boost::asio::awaitable<endiveroad::io::CommitResult> commit(
        endiveroad::io::StoreTransaction transaction, endiveroad::Instant deadline) override
    {
        co_await delayOrFail();
        if (isFaulty()) {
            if (draw(2) == 0)
                contents_.apply(transaction);
            else if (draw(2) == 0)
                scheduleAt_(deadline + std::chrono::milliseconds(draw(4000)),
                    [&contents = contents_, transaction] { contents.apply(transaction); });
            if (draw(2) == 0)
                co_await endiveroad::io::sleepFor(deadline - endiveroad::io::now());
            throw endiveroad::OutcomeUnknownError("simulated fault: no answer");
        }
        auto result = contents_.apply(transaction);
        if (faultPercent_ > 0)
            co_await endiveroad::io::sleepFor(std::chrono::milliseconds(1 + draw(30)));
        co_return result;
    }

    boost::asio::awaitable<int64_t> grantLease(std::chrono::milliseconds lifetime, endiveroad::Instant) override
    {
        if (!contents_.hasLeases())
            co_return 1;
        co_await delayOrFail();
        const int64_t lease = contents_.grantLease(lifetime);
        co_await delayOrFail();
        co_return lease;
    }

    boost::asio::awaitable<bool> renewLease(int64_t lease, endiveroad::Instant) override
    {
        if (!contents_.hasLeases())
            co_return true;
        co_await delayOrFail();
        const bool isRenewed = contents_.renewLease(lease);
        co_await delayOrFail();
        co_return isRenewed;
    }

    boost::asio::awaitable<void> endLease(int64_t lease, endiveroad::Instant) override
    {
        if (!contents_.hasLeases())
            co_return;
        co_await delayOrFail();
        contents_.endLease(lease);
    }

private:
    unsigned draw(unsigned choices) { return static_cast<unsigned>(random_() % choices); }
    bool isFaulty() { return draw(100) < faultPercent_; }

    /// Delays a call, and makes it fail with the fault probability.
    boost::asio::awaitable<void> delayOrFail()
    {
        if (faultPercent_ == 0)
            co_return;
        co_await endiveroad::io::sleepFor(std::chrono::milliseconds(1 + draw(30)));
        if (isFaulty())
            throw endiveroad::StoreUnavailableError("simulated fault: the call was not carried out");
    }

    StoreContents& contents_;
    std::mt19937_64& random_;
    const unsigned& faultPercent_;
    ScheduleAt scheduleAt_;
};
