#pragma once

#include "io/StoreClient.h"

/// Limits the rate of one process's calls to the key-value service.
namespace endiveroad::io {

/// Forwards calls through a token bucket and counts them. A watch counts as one call, however long it lasts.
class RateLimitedStoreClient : public StoreClient {
public:
    static constexpr double callsPerSecond = 10;
    static constexpr double maxBurstCalls = 40;

    explicit RateLimitedStoreClient(StoreClient&);

    asio::awaitable<std::optional<StoredValue>> read(std::string key, Instant deadline) override;
    asio::awaitable<bool> compareAndSwap(
        std::string key, int64_t expectedRevision, std::string value, Instant deadline) override;
    asio::awaitable<void> remove(std::string key, Instant deadline) override;
    asio::awaitable<void> watch(std::string key, int64_t afterRevision, Instant deadline, OnChange onChange) override;

    /// Number of calls made.
    uint64_t calls() const { return calls_; }

private:
    /// Waits until the rate permits another call. Throws StoreUnavailableError at once if that is not before the
    /// deadline.
    asio::awaitable<void> waitForToken(Instant deadline);

    StoreClient& client_;
    double tokens_ = maxBurstCalls;
    Instant refilledAt_;
    uint64_t calls_ = 0;
};

} // namespace endiveroad::io
