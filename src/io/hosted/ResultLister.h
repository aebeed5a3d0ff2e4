#pragma once

#include "io/hosted/JobStore.h"
#include "io/hosted/OwnedJob.h"

#include <functional>
#include <string>

/// Gives finished results their positions in the store.
namespace endiveroad::io {

class ResultLister {
public:
    /// Pause in which results of several items come together before they are listed.
    static constexpr Duration listingDelay = std::chrono::milliseconds(120);

    /// Called when the record shows that another coordinator owns the job.
    using OnLost = std::function<void(const OwnedJobPtr&)>;

    ResultLister(asio::io_context&, JobStore&, const JobTable&, OnLost);

    asio::awaitable<void> run();

    /// Something may have become listable.
    void wake() { wake_.notifyAll(); }

private:
    asio::awaitable<void> list(OwnedJobPtr);
    /// Results that go into one transaction.
    static std::vector<BatchResult> nextResults(const BatchJob&);

    asio::io_context& context_;
    JobStore& store_;
    const JobTable& jobs_;
    OnLost onLost_;
    Signal wake_;
};

} // namespace endiveroad::io
