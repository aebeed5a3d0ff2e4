#pragma once

#include "io/SettingsStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <endiveroad/Error.h>
#include <map>
#include <random>

/// In-memory key-value service with faults that are drawn from a seed: calls wait for a random number of event loop
/// turns, fail before or after their effect, or take effect after the caller was told that they failed.
class FakeStore : public endiveroad::io::StoreClient {
public:
    explicit FakeStore(uint32_t seed)
        : random(seed)
    {
    }

    boost::asio::awaitable<std::optional<endiveroad::io::StoredValue>> read(
        std::string key, endiveroad::Instant) override
    {
        co_await yieldTurns();
        failIf(isInOutage() || draw(100) < faultPercent);
        const auto found = values.find(key);
        const bool isFound = found != values.end();
        std::optional<endiveroad::io::StoredValue> answer;
        if (isFound)
            answer = found->second;
        co_await yieldTurns();
        co_return answer;
    }

    boost::asio::awaitable<bool> compareAndSwap(
        std::string key, int64_t expected, std::string value, endiveroad::Instant) override
    {
        co_await yieldTurns();
        failIf(isInOutage() || draw(100) < faultPercent);
        if (draw(100) < faultPercent) {
            // Fails now, takes effect later.
            auto executor = co_await boost::asio::this_coro::executor;
            boost::asio::co_spawn(executor, swapLater(key, expected, value), boost::asio::detached);
            failIf(true);
        }
        const bool isSwapped = swap(key, expected, value);
        failIf(draw(100) < faultPercent);
        co_await yieldTurns();
        co_return isSwapped;
    }

    boost::asio::awaitable<void> remove(std::string key, endiveroad::Instant) override
    {
        co_await yieldTurns();
        failIf(isInOutage() || draw(100) < faultPercent);
        values.erase(key);
        ++revision;
        failIf(draw(100) < faultPercent);
    }

    boost::asio::awaitable<void> watch(std::string, int64_t, endiveroad::Instant, OnChange) override
    {
        failIf(true);
        co_return;
    }

    int draw(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random); }

    std::mt19937 random;
    std::map<std::string, endiveroad::io::StoredValue> values;
    /// All values that the head key has had, in order.
    std::vector<std::string> heads;
    int64_t revision = 0;
    int faultPercent = 0;
    /// Number of calls before an outage, which lasts for outageCalls calls.
    int callsUntilOutage = 1 << 30;
    int outageCalls = 0;
    /// Number of parts that a head referred to when it was written although the service did not hold them.
    int missingParts = 0;

private:
    boost::asio::awaitable<void> swapLater(std::string key, int64_t expected, std::string value)
    {
        for (int i = 0; i < 4; ++i)
            co_await yieldTurns();
        swap(key, expected, value);
    }

    bool swap(const std::string& key, int64_t expected, const std::string& value)
    {
        const auto found = values.find(key);
        if ((found == values.end() ? 0 : found->second.modRevision) != expected)
            return false;
        values[key] = { value, ++revision };
        if (key == endiveroad::io::SettingsStore::headKey)
            recordHead(value);
        return true;
    }

    void recordHead(const std::string& value)
    {
        heads.push_back(value);
        const auto head = endiveroad::SettingsHead::decode(value);
        for (const auto& past : head.history) {
            const auto parts = head.partsAt(past.revision);
            for (const auto& [name, key] : *parts)
                missingParts += values.contains(std::string(endiveroad::io::SettingsStore::partPrefix) + key) ? 0 : 1;
        }
    }

    bool isInOutage()
    {
        --callsUntilOutage;
        return callsUntilOutage < 0 && callsUntilOutage >= -outageCalls;
    }

    static void failIf(bool condition)
    {
        if (condition)
            throw endiveroad::StoreUnavailableError("simulated fault");
    }

    boost::asio::awaitable<void> yieldTurns()
    {
        const int count = draw(4);
        for (int i = 0; i < count; ++i)
            co_await boost::asio::post(boost::asio::use_awaitable);
    }
};

/// Allows a fixed number of attempts, without a pause between them.
class LimitedRetryPolicy : public endiveroad::io::StoreRetryPolicy {
public:
    explicit LimitedRetryPolicy(int attempts)
        : attempts_(attempts)
    {
    }

    endiveroad::Instant callDeadline() const override { return endiveroad::never; }

    boost::asio::awaitable<bool> waitBeforeRetry(int attempt) override { co_return attempt + 1 < attempts_; }

private:
    int attempts_;
};
