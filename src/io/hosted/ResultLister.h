#pragma once

#include "io/hosted/JobStore.h"
#include "io/hosted/OwnedJob.h"

#include <functional>
#include <string>

/// Appends finished results of owned jobs to the result lists in the store, which fixes their positions. To list a
/// result means to append it; a result is listable if it can be appended now.
namespace endiveroad::io {

class ResultLister {
public:
    /// Delay before results are appended, so that those of several items share a transaction.
    static constexpr Duration listingDelay = std::chrono::milliseconds(120);

    /// Called when an append fails because the owner record has changed or other results are at the position, unless
    /// this coordinator has ended the job.
    using OnLost = std::function<void(const OwnedJobPtr&)>;

    ResultLister(asio::io_context&, JobStore&, const JobTable&, OnLost);

    /// Appends results of owned jobs whenever there are any, forever.
    asio::awaitable<void> run();

    /// Results may have become listable.
    void wake() { wake_.notifyAll(); }

private:
    /// Appends one batch of a job's results, with retries until the outcome is known.
    asio::awaitable<void> list(OwnedJobPtr);
    /// Listable results that fit into one transaction; at least one if there is any.
    static std::vector<BatchResult> nextResults(const BatchJob&);

    asio::io_context& context_;
    JobStore& store_;
    const JobTable& jobs_;
    OnLost onLost_;
    Signal wake_;
};

} // namespace endiveroad::io
