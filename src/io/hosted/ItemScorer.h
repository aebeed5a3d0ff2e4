#pragma once

#include "io/hosted/OwnedJob.h"
#include "io/hosted/ServiceCaller.h"

#include <functional>

/// Calls scoring services to score items whose text is complete.
namespace endiveroad::io {

class ItemScorer {
public:
    /// Delay before a call that brought no score is repeated.
    static constexpr Duration retryPause = std::chrono::milliseconds(80);

    /// The same while the call is blocked or no server can take it, if that lasts so long.
    static constexpr Duration blockedRetryPause = std::chrono::seconds(1);

    /// Called when an item has a result: it was scored, or terminated because its scoring failed too often.
    using OnFinished = std::function<void(const OwnedJobPtr&)>;

    ItemScorer(asio::io_context&, ServiceCaller&, ServiceCaller::DirectorySource, OnFinished);

    /// Starts scoring the item's text in the background. Calls are repeated until the item has a score or is
    /// terminated, or the job ends or is lost to another coordinator. Only answers with status 500 count towards the
    /// termination.
    void score(const OwnedJobPtr&, size_t item);

private:
    asio::awaitable<void> run(OwnedJobPtr, size_t item);
    /// Sets retryAt to the earliest time of the next call, if one is needed.
    asio::awaitable<ItemAction> callOnce(OwnedJobPtr, size_t item, Instant& retryAt);

    asio::io_context& context_;
    ServiceCaller& serviceCaller_;
    ServiceCaller::DirectorySource directory_;
    OnFinished onFinished_;
};

} // namespace endiveroad::io
