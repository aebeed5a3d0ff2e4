#pragma once

#include "io/Signal.h"
#include "io/hosted/JobStore.h"
#include "io/hosted/Protocol.h"

#include <algorithm>
#include <endiveroad/BatchJob.h>
#include <endiveroad/ContentId.h>
#include <endiveroad/HttpHead.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// A batch job at the coordinator that owns it, and the interface of the component that runs its items.
namespace endiveroad::io {

struct OwnedJob {
    OwnedJob(asio::io_context& context, BatchJob state, JobRecord owned)
        : job(std::move(state))
        , record(std::move(owned))
        , changed(context)
    {
        for (const BatchItem& item : job.spec().items)
            contents.push_back(ContentId::of(itemMethod, record.host, item.path, item.body));
    }

    const std::string& id() const { return job.spec().id; }

    /// Path by which the job's route is found: that of the first item that can be sent, else of the first. The job must
    /// have an item.
    const std::string& routedPath() const
    {
        const std::vector<BatchItem>& items = job.spec().items;
        const auto sendable
            = std::find_if(items.begin(), items.end(), [](const BatchItem& item) { return isOriginForm(item.path); });
        return sendable == items.end() ? items.front().path : sendable->path;
    }

    int32_t stalls(size_t item) const
    {
        const auto found = stalledAgents.find(item);
        return found == stalledAgents.end() ? 0 : static_cast<int32_t>(found->second.size());
    }

    /// WaitingItem::avoidedAgents of the item.
    std::set<std::string> agentsToAvoid(size_t item) const
    {
        std::set<std::string> agents;
        if (const auto stalled = stalledAgents.find(item); stalled != stalledAgents.end())
            agents.insert(stalled->second.begin(), stalled->second.end());
        if (const auto last = avoidedAgents.find(item); last != avoidedAgents.end())
            agents.insert(last->second);
        return agents;
    }

    /// How long an owner record that was read from the store or written is taken to be unchanged. Another coordinator
    /// needs longer to take a job over and to list results.
    static constexpr Duration recordLifetime = std::chrono::milliseconds(800);

    /// The store has confirmed, by a call that was sent at this time, that the job is owned here.
    void onConfirmed(Instant sentAt) { confirmedUntil = std::max(confirmedUntil, sentAt + recordLifetime); }

    /// True if other coordinators may answer for the job from the store, where the result list may be longer than here:
    /// its end may be there, and so may be an append of unknown outcome.
    bool isListIncomplete() const { return job.isEnded() && (isListing || isListUncertain); }

    BatchJob job;
    /// Content of each item's request to a replica, by index of the item.
    std::vector<ContentId> contents;
    /// The owner record as last written by this coordinator.
    JobRecord record;
    /// Notified when results are listed, the job ends or is lost to another coordinator.
    Signal changed;
    /// An append to the stored result list is in progress.
    bool isListing = false;
    /// The job has ended while it was not known whether the last append had taken effect.
    bool isListUncertain = false;
    /// BatchOwner has dropped the job: another coordinator owns it, or its record has changed, shows that it has ended
    /// or is gone.
    bool isLost = false;
    /// The owner record is being read again; no item starts meanwhile.
    bool isCheckingOwnership = false;
    /// Until then the job is certainly owned here; see onConfirmed().
    Instant confirmedUntil = Instant::min();
    /// After a failed attempt, the store is not asked again before this.
    Instant nextConfirmationAt = Instant::min();
    /// The store has committed the end of the job.
    bool isEndStored = false;
    /// The end is being written to the store in the background.
    bool isEndPending = false;
    /// No item starts before this. After a take-over agents may still run items for the earlier owner.
    Instant startNotBefore = Instant::min();
    /// Withdrawn runs; agents' later reports on them are ignored.
    std::set<int64_t> withdrawnRuns;
    /// How often an item has been moved to a faster replica, by index of the item.
    std::map<size_t, int32_t> moveCounts;
    /// Agents on which runs of an item have stalled, one entry for each such run, by index of the item.
    std::map<size_t, std::vector<std::string>> stalledAgents;
    /// Agent that the item's next run should avoid, by index of the item.
    std::map<size_t, std::string> avoidedAgents;
};

using OwnedJobPtr = std::shared_ptr<OwnedJob>;

/// Runs the items of the jobs that a coordinator owns.
class JobWorker {
public:
    virtual ~JobWorker() = default;

    /// Starts work on a job that was accepted or taken over.
    virtual void onJob(const OwnedJobPtr&) = 0;

    /// Caches the texts of a job's unlisted items for a later job with the same items.
    virtual void cacheTexts(const OwnedJob&) = 0;

    /// Cancels all runs of a job.
    virtual void cancelRuns(const OwnedJob&) = 0;
};

/// All jobs that a coordinator owns, by id.
using JobTable = std::map<std::string, OwnedJobPtr>;

} // namespace endiveroad::io
