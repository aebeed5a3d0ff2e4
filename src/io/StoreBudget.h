#pragma once

#include "io/StoreClient.h"

/// Holds a process to its share of the key-value service's rates.
namespace endiveroad::io {

/// Passes calls on at a bounded rate, in which a burst may go at once, and counts them. A waiting watch counts as one.
class BudgetedStoreClient : public StoreClient {
public:
    static constexpr double callsPerSecond = 10;
    static constexpr double burstCalls = 40;

    explicit BudgetedStoreClient(StoreClient&);

    asio::awaitable<std::optional<StoredValue>> read(std::string key, Instant deadline) override;
    asio::awaitable<bool> compareAndSwap(
        std::string key, int64_t expectedRevision, std::string value, Instant deadline) override;
    asio::awaitable<void> remove(std::string key, Instant deadline) override;
    asio::awaitable<void> watch(std::string key, int64_t afterRevision, Instant deadline, OnChange onChange) override;

    /// Calls made so far.
    uint64_t calls() const { return calls_; }

private:
    /// Waits for the next call's turn. Throws StoreUnavailableError if it would come after the deadline.
    asio::awaitable<void> takeTurn(Instant deadline);

    StoreClient& client_;
    double allowance_ = burstCalls;
    Instant filledAt_;
    uint64_t calls_ = 0;
};

} // namespace endiveroad::io
