#include "io/RateLimitedStoreClient.h"

#include "io/Clock.h"
#include "io/Tasks.h"

#include <endiveroad/Error.h>

namespace endiveroad::io {

namespace {

constexpr double microsecondsPerSecond = 1e6;

} // namespace

RateLimitedStoreClient::RateLimitedStoreClient(StoreClient& client)
    : client_(client)
    , refilledAt_(now())
{
}

asio::awaitable<void> RateLimitedStoreClient::waitForToken(Instant deadline)
{
    const Instant time = now();
    const double earned = static_cast<double>((time - refilledAt_).count()) / microsecondsPerSecond * callsPerSecond;
    tokens_ = std::min(maxBurstCalls, tokens_ + earned);
    refilledAt_ = time;
    const double missingTokens = std::max(0.0, 1 - tokens_);
    const Duration wait(static_cast<int64_t>(missingTokens / callsPerSecond * microsecondsPerSecond));
    if (time + wait >= deadline)
        throw StoreUnavailableError("this process has reached its rate limit for calls to the key-value service");
    tokens_ -= 1;
    ++calls_;
    if (wait > Duration::zero())
        co_await sleepFor(wait);
}

asio::awaitable<std::optional<StoredValue>> RateLimitedStoreClient::read(std::string key, Instant deadline)
{
    co_await waitForToken(deadline);
    co_return co_await client_.read(std::move(key), deadline);
}

asio::awaitable<bool> RateLimitedStoreClient::compareAndSwap(
    std::string key, int64_t expectedRevision, std::string value, Instant deadline)
{
    co_await waitForToken(deadline);
    co_return co_await client_.compareAndSwap(std::move(key), expectedRevision, std::move(value), deadline);
}

asio::awaitable<void> RateLimitedStoreClient::remove(std::string key, Instant deadline)
{
    co_await waitForToken(deadline);
    co_await client_.remove(std::move(key), deadline);
}

asio::awaitable<void> RateLimitedStoreClient::watch(
    std::string key, int64_t afterRevision, Instant deadline, OnChange onChange)
{
    co_await waitForToken(deadline);
    co_await client_.watch(std::move(key), afterRevision, deadline, std::move(onChange));
}

} // namespace endiveroad::io
