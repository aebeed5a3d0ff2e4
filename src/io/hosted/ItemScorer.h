#pragma once

#include "io/hosted/OwnedJob.h"
#include "io/hosted/ServiceCaller.h"

#include <functional>

/// Scores finished texts by calls of plain services.
namespace endiveroad::io {

class ItemScorer {
public:
    /// Pause before a call that brought no score is made again.
    static constexpr Duration retryPause = std::chrono::milliseconds(80);

    /// Called when an item is finished.
    using OnFinished = std::function<void(const OwnedJobPtr&)>;

    ItemScorer(asio::io_context&, ServiceCaller&, ServiceCaller::DirectorySource, OnFinished);

    /// Scores the item's text until it has a score or is given up. The job may end or be lost meanwhile.
    void score(const OwnedJobPtr&, size_t item);

private:
    asio::awaitable<void> run(OwnedJobPtr, size_t item);
    asio::awaitable<ItemAction> callOnce(OwnedJobPtr, size_t item);

    asio::io_context& context_;
    ServiceCaller& services_;
    ServiceCaller::DirectorySource directory_;
    OnFinished onFinished_;
};

} // namespace endiveroad::io
