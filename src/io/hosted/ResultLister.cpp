#include "io/hosted/ResultLister.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"

#include <endiveroad/Error.h>

namespace endiveroad::io {

namespace {

/// Maximum number of bytes of text in one transaction; a single longer result goes alone.
constexpr size_t maxListedBytes = 500U << 10;

} // namespace

ResultLister::ResultLister(asio::io_context& context, JobStore& store, const JobTable& jobs, OnLost onLost)
    : context_(context)
    , store_(store)
    , jobs_(jobs)
    , onLost_(std::move(onLost))
    , wake_(context)
{
}

asio::awaitable<void> ResultLister::run()
{
    while (true) {
        co_await wake_.wait(now() + listingDelay * 2);
        co_await sleepFor(listingDelay);
        const JobTable jobs = jobs_;
        for (const auto& [id, owned] : jobs) {
            const bool isDue = !owned->isListing && !owned->job.isEnded() && !owned->job.listable(now()).empty();
            if (isDue)
                spawn(context_.get_executor(), [this, owned = owned] { return list(owned); });
        }
    }
}

std::vector<BatchResult> ResultLister::nextResults(const BatchJob& job)
{
    std::vector<BatchResult> results;
    size_t bytes = 0;
    for (size_t index : job.listable(now())) {
        const BatchResult& result = *job.items()[index].result;
        if (!results.empty() && bytes + result.text.size() > maxListedBytes)
            break;
        bytes += result.text.size();
        results.push_back(result);
    }
    return results;
}

asio::awaitable<void> ResultLister::list(OwnedJobPtr owned)
{
    owned->isListing = true;
    const std::vector<BatchResult> results = nextResults(owned->job);
    const size_t first = owned->job.listed().size();
    bool isSettled = false;
    // While the outcome is unknown, the same results must be retried at the same positions: they may be stored already.
    while (!owned->isLost && !owned->isEndStored) {
        std::string reason;
        const Instant sentAt = now();
        try {
            const AppendOutcome outcome = co_await store_.append(owned->id(), owned->job.revision(), first, results);
            isSettled = true;
            if (outcome == AppendOutcome::Conflict) {
                // If this owner has ended the job, that changed the record, and no more results are listed.
                if (!owned->job.isEnded())
                    onLost_(owned);
                break;
            }
            owned->onConfirmed(sentAt);
            owned->job.onListed(results);
            log(Event::ResultsListed,
                { { "job", owned->id() }, { "first", std::to_string(first) },
                    { "results", std::to_string(results.size()) } });
            owned->changed.notifyAll();
            break;
        } catch (const Error& error) {
            reason = error.what();
        }
        log(Event::ListingDelayed, { { "job", owned->id() }, { "reason", reason } });
        co_await sleepFor(JobStore::retryPause);
    }
    owned->isListing = false;
    owned->isListUncertain = !isSettled;
    wake();
}

} // namespace endiveroad::io
