#pragma once

#include "io/Signal.h"
#include "io/hosted/JobStore.h"

#include <endiveroad/BatchJob.h>
#include <map>
#include <memory>
#include <set>
#include <string>

/// A batch job at the coordinator that owns it.
namespace endiveroad::io {

struct OwnedJob {
    OwnedJob(asio::io_context& context, BatchJob state, JobRecord owned)
        : job(std::move(state))
        , record(std::move(owned))
        , changed(context)
    {
    }

    const std::string& id() const { return job.spec().id; }

    BatchJob job;
    JobRecord record;
    /// Notified when results are listed or the job ends.
    Signal changed;
    bool isListing = false;
    /// Another coordinator owns the job now.
    bool isLost = false;
    /// The owner record is being read again; nothing is placed meanwhile.
    bool isInDoubt = false;
    /// The end lies in the store.
    bool isEndStored = false;
    /// Items are not placed before this: agents may still run some of them.
    Instant placeFrom = Instant::min();
    /// Runs that were withdrawn; what agents still tell of them does not count.
    std::set<int64_t> withdrawnRuns;
    /// Times that an item has been moved to a faster replica, by index of the item.
    std::map<size_t, int32_t> speedups;
    /// Agents that an item should not go to next, by index of the item.
    std::map<size_t, std::string> avoidedAgents;
};

using OwnedJobPtr = std::shared_ptr<OwnedJob>;

/// Does the work of the jobs that a coordinator owns.
class JobWorker {
public:
    virtual ~JobWorker() = default;

    /// A job was accepted or taken over.
    virtual void onJob(const OwnedJobPtr&) = 0;

    /// Text of unfinished items stays for a later job that names them again.
    virtual void keepTexts(const OwnedJob&) = 0;

    /// Ends all runs of a job.
    virtual void cancelRuns(const OwnedJob&) = 0;
};

/// All jobs that a coordinator owns, by id.
using JobTable = std::map<std::string, OwnedJobPtr>;

} // namespace endiveroad::io
