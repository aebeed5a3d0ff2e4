#include "io/StoreBudget.h"

#include "io/Clock.h"
#include "io/Tasks.h"

#include <endiveroad/Error.h>

namespace endiveroad::io {

namespace {

constexpr double microsecondsPerSecond = 1e6;

} // namespace

BudgetedStoreClient::BudgetedStoreClient(StoreClient& client)
    : client_(client)
    , filledAt_(now())
{
}

asio::awaitable<void> BudgetedStoreClient::takeTurn(Instant deadline)
{
    const Instant time = now();
    const double earned = static_cast<double>((time - filledAt_).count()) / microsecondsPerSecond * callsPerSecond;
    allowance_ = std::min(burstCalls, allowance_ + earned);
    filledAt_ = time;
    const double missing = std::max(0.0, 1 - allowance_);
    const Duration wait(static_cast<int64_t>(missing / callsPerSecond * microsecondsPerSecond));
    if (time + wait >= deadline)
        throw StoreUnavailableError("this process has reached its rate limit for calls to the key-value service");
    allowance_ -= 1;
    ++calls_;
    if (wait > Duration::zero())
        co_await sleepFor(wait);
}

asio::awaitable<std::optional<StoredValue>> BudgetedStoreClient::read(std::string key, Instant deadline)
{
    co_await takeTurn(deadline);
    co_return co_await client_.read(std::move(key), deadline);
}

asio::awaitable<bool> BudgetedStoreClient::compareAndSwap(
    std::string key, int64_t expectedRevision, std::string value, Instant deadline)
{
    co_await takeTurn(deadline);
    co_return co_await client_.compareAndSwap(std::move(key), expectedRevision, std::move(value), deadline);
}

asio::awaitable<void> BudgetedStoreClient::remove(std::string key, Instant deadline)
{
    co_await takeTurn(deadline);
    co_await client_.remove(std::move(key), deadline);
}

asio::awaitable<void> BudgetedStoreClient::watch(
    std::string key, int64_t afterRevision, Instant deadline, OnChange onChange)
{
    co_await takeTurn(deadline);
    co_await client_.watch(std::move(key), afterRevision, deadline, std::move(onChange));
}

} // namespace endiveroad::io
