#pragma once

#include "io/hosted/JobStore.h"
#include "io/hosted/OwnedJob.h"
#include "io/hosted/Protocol.h"
#include "io/hosted/ResultLister.h"

#include <endiveroad_types.h>
#include <map>
#include <optional>
#include <set>
#include <string>

/// Batch jobs at a coordinator: accepts, looks up, takes over, lists and ends them. The owner record in the store
/// decides which coordinator owns a job. A caller is told of a change only after the store has committed it.
namespace endiveroad::io {

/// The coordinators that a coordinator can see, itself included.
class CoordinatorView {
public:
    virtual ~CoordinatorView() = default;

    /// True if the coordinator is connected and has not announced that it is leaving; always true for this one.
    virtual bool isAlive(const std::string& coordinator) const = 0;

    /// Sorted names of the coordinators that are alive; this one is left out while it drains
    /// or its VM retires.
    virtual std::vector<std::string> aliveCoordinators() const = 0;

    /// True if each of the other coordinators is known to have heard this one so lately that none can have taken over
    /// its jobs since.
    virtual bool isHeardByAll() const = 0;

    /// Tells all connected entries, agents and coordinators that this coordinator owns the job.
    virtual void announceOwner(const OwnedJob&) = 0;
};

class BatchOwner {
public:
    /// Longest time for which a submission or the end of a job is retried at a store that fails.
    static constexpr Duration maxStoreRetryTime = std::chrono::milliseconds(3000);

    /// Retry delay that is suggested to callers refused with status 503.
    static constexpr Duration retryAfter = std::chrono::milliseconds(1500);

    /// Maximum number of ended jobs that are cached for reading after being loaded from the store; beyond it the one
    /// with the smallest id is evicted.
    static constexpr size_t maxCachedEndedJobs = 64;

    /// After a take-over no items are started for this long, so that agents can first report the runs that the earlier
    /// owner started.
    static constexpr Duration takeOverStartDelay = std::chrono::milliseconds(350);

    /// Time for the store to confirm that a job is still owned, and pause after it did not.
    static constexpr Duration confirmationTimeout = std::chrono::milliseconds(300);
    static constexpr Duration confirmationPause = std::chrono::milliseconds(300);

    using DirectorySource = std::function<std::shared_ptr<const Directory>()>;

    BatchOwner(asio::io_context&, std::string name, const BatchProtocol&, MetadataStore&, CoordinatorView&,
        DirectorySource, Duration resultLifetime);

    void setWorker(JobWorker& worker) { worker_ = &worker; }

    const JobTable& jobs() const { return jobs_; }

    /// Number of owned jobs that have not ended.
    size_t openJobs() const;

    /// Carries out an operation on a job. An Error becomes an answer with its HTTP status.
    asio::awaitable<wire::BatchAnswer> perform(wire::BatchCall, Instant deadline);

    /// Appends finished results to the stored result lists, forever.
    asio::awaitable<void> runListing() { return lister_.run(); }

    /// Takes over open jobs that an earlier process of this name owned and, unless isOwnOnly, also those whose owner is
    /// not alive and for whose route this coordinator comes first in rendezvous order.
    asio::awaitable<void> takeOverOrphanedJobs(bool isOwnOnly);

    /// Removes ended jobs of this coordinator from the store once resultLifetime and a margin have passed since their
    /// submission.
    asio::awaitable<void> removeExpired();

    /// Starts reading the owner record again after an agent said that the job has another owner or has ended. Drops the
    /// job if the record confirms it.
    void requestOwnershipCheck(const OwnedJobPtr&);

    /// Another coordinator has announced that it owns a job; drops the job here if the announced record is newer.
    void onOwner(const wire::JobOwnerNotice&);

    /// Results may have become listable.
    void wake() { lister_.wake(); }

private:
    /// Jobs that are locked, and notification of each unlocking.
    struct LockedJobs {
        explicit LockedJobs(asio::io_context& context)
            : unlocked(context)
        {
        }

        std::set<std::string> ids;
        Signal unlocked;
    };

    /// Locks a job while one coroutine accepts it, looks it up or takes it over, so that no other one does so. At the
    /// end of the process a coroutine, and so its lock, may outlive the BatchOwner.
    class JobLock {
    public:
        JobLock(const BatchOwner& owner, std::string job)
            : lockedJobs_(owner.lockedJobs_)
            , job_(std::move(job))
        {
            owner.lockedJobs_->ids.insert(job_);
        }
        JobLock(const JobLock&) = delete;
        JobLock& operator=(const JobLock&) = delete;
        ~JobLock()
        {
            const auto lockedJobs = lockedJobs_.lock();
            if (!lockedJobs)
                return;
            lockedJobs->ids.erase(job_);
            lockedJobs->unlocked.notifyAll();
        }

    private:
        std::weak_ptr<LockedJobs> lockedJobs_;
        std::string job_;
    };

    /// A job whose end is in the store.
    struct EndedJob {
        JobRecord record;
        std::vector<BatchResult> results;
    };

    /// Where a job was found: owned here, ended, or owned by another coordinator. All empty if there is no such job.
    struct Location {
        OwnedJobPtr owned;
        const EndedJob* endedJob = nullptr;
        std::string owner;
        /// Of the record that names the owner.
        int64_t ownerRevision = 0;
        /// Whether the job is certainly owned here; see confirmOwnership().
        bool isConfirmed = true;
        bool isKnown() const { return owned || endedJob || !owner.empty(); }
    };

    /// Throw BatchJobUnknownError if the caller's organisation may not use the job.
    void requireAccess(const JobRecord&, const wire::BatchCall&) const;
    void requireAccess(const Location&, const wire::BatchCall&) const;
    asio::awaitable<wire::BatchAnswer> submit(const wire::BatchCall&, Instant deadline);
    /// Answers a submission whose route is not configured here. A job that has been accepted outlives its route.
    asio::awaitable<wire::BatchAnswer> submitWithoutRoute(const wire::BatchCall&);
    /// Writes a new job to the store, with retries until the deadline. Throws StoreUnavailableError if no attempt can
    /// have written it.
    asio::awaitable<Acceptance> accept(const wire::BatchCall&, const JobRecord&, Instant deadline);
    /// Answers a submission of a job that is in the store, because of an earlier attempt here or at another
    /// coordinator. Whatever fails from then on, the answer is no refusal. The record is empty if it can't be read.
    asio::awaitable<wire::BatchAnswer> answerForExisting(const wire::BatchCall&, std::optional<JobRecord>);
    asio::awaitable<void> waitUntilUnlocked(const std::string& job);
    asio::awaitable<wire::BatchAnswer> read(const wire::BatchCall&, Instant deadline);
    /// Replaces the results by those in the store. Returns false if they cannot be read.
    asio::awaitable<bool> readStoredResults(std::string job, std::vector<BatchResult>& results);
    asio::awaitable<wire::BatchAnswer> readItem(const wire::BatchCall&, Instant deadline);
    asio::awaitable<wire::BatchAnswer> endJob(const wire::BatchCall&, Instant deadline);

    /// locateFor() for a job whose work has been stopped here, so that its end is no longer certainly not done.
    asio::awaitable<Location> locateStopped(const wire::BatchCall&);
    /// locate() for a caller. Throws BatchJobUnknownError if there is no such job or the caller's host may not see it.
    asio::awaitable<Location> locateFor(const wire::BatchCall&);
    /// Returns false if this coordinator can't tell whether it still owns the job. A job that it turns out to have lost
    /// is dropped.
    asio::awaitable<bool> confirmOwnership(OwnedJobPtr);
    asio::awaitable<Location> locate(std::string job, std::vector<std::string> unreachable);
    /// Looks a job up in the store and takes it over if its owner is not alive. The caller holds the job's lock.
    asio::awaitable<Location> locateOnce(std::string job, std::vector<std::string> unreachable);
    /// Takes a job over; a failure that concerns only this job is logged. Throws StoreUnavailableError.
    asio::awaitable<void> tryTakeOver(StoredJob);
    /// Takes a job over unless it is owned or locked here. Returns null then or if its record has changed.
    asio::awaitable<OwnedJobPtr> takeOver(StoredJob);
    asio::awaitable<OwnedJobPtr> takeOverOnce(StoredJob);
    /// Terminates the items of a stored job that cannot be sent: earlier versions accepted them.
    void terminateUnsendable(OwnedJob&);
    asio::awaitable<const EndedJob*> loadEndedJob(StoredJob);
    asio::awaitable<void> checkOwnership(OwnedJobPtr);
    /// Marks a job as ended, caches the texts of its unfinished items and cancels its runs.
    void stopWork(OwnedJob&);
    /// Writes the end of the job to the store, with retries. Returns false if another coordinator owns the job now or
    /// the deadline has passed.
    asio::awaitable<bool> storeEnd(OwnedJobPtr, Instant deadline);
    /// Writes the end in the background once the store accepts it. The runs are cancelled already.
    void storeEndLater(const OwnedJobPtr&);
    /// The answer to the end of a job that another coordinator may own.
    wire::BatchAnswer endUnconfirmed(const OwnedJobPtr&);
    OwnedJobPtr insert(BatchJobSpec, JobRecord, int64_t revision, std::vector<BatchResult> listed);
    /// Drops a job that this coordinator no longer owns or whose record shows that it has ended.
    void dropJob(const OwnedJobPtr&, const std::string& reason);
    JobRecord newRecord(const BatchJobSpec&, const RouteDeclaration&) const;
    BatchJobPolicy policyOf(const JobRecord&) const;

    asio::io_context& context_;
    std::string name_;
    const BatchProtocol& protocol_;
    JobStore store_;
    CoordinatorView& coordinators_;
    DirectorySource directory_;
    Duration resultLifetime_;
    JobWorker* worker_ = nullptr;
    JobTable jobs_;
    ResultLister lister_;
    std::map<std::string, EndedJob> endedJobs_;
    std::shared_ptr<LockedJobs> lockedJobs_;
};

} // namespace endiveroad::io
