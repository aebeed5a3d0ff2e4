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

/// Accepts, finds, takes over, lists and ends batch jobs. The owner record in the store decides who owns a job; nothing
/// is told to callers before the store has it.
namespace endiveroad::io {

/// What a coordinator knows of the others.
class CoordinatorView {
public:
    virtual ~CoordinatorView() = default;

    /// True if the coordinator is connected and does not leave; true for this one.
    virtual bool isAlive(const std::string& coordinator) const = 0;

    /// Names of all that are alive, this one included unless it leaves.
    virtual std::vector<std::string> alive() const = 0;

    /// Tells entries, agents and coordinators that this one owns a job.
    virtual void announceOwner(const OwnedJob&) = 0;
};

class BatchOwner {
public:
    /// Longest time for which a submission or an end waits for a store that does not take it.
    static constexpr Duration storePatience = std::chrono::milliseconds(3000);

    /// Hint to callers that were refused while the store was away.
    static constexpr Duration retryAfter = std::chrono::milliseconds(1500);

    /// Ended jobs of others that are kept in memory for reading.
    static constexpr size_t maxArchived = 64;

    /// Time for which agents may hand over runs that an earlier owner of a job started.
    static constexpr Duration adoptionTime = std::chrono::milliseconds(350);

    using DirectorySource = std::function<std::shared_ptr<const Directory>()>;

    BatchOwner(asio::io_context&, std::string name, const BatchProtocol&, MetadataStore&, CoordinatorView&,
        DirectorySource, Duration resultLifetime);

    void setWorker(JobWorker& worker) { worker_ = &worker; }

    const JobTable& jobs() const { return jobs_; }

    /// Owned jobs that have not ended.
    size_t openJobs() const;

    /// Carries an operation out. Does not throw: failures are answers.
    asio::awaitable<wire::BatchAnswer> perform(wire::BatchCall, Instant deadline);

    /// Lists what can be listed.
    asio::awaitable<void> runListing() { return lister_.run(); }

    /// Takes over open jobs whose owners are gone and that fall to this coordinator. With isOwnOnly only those that
    /// an earlier process of this name owned.
    asio::awaitable<void> adoptOrphans(bool isOwnOnly);

    /// Removes jobs whose results need no longer be kept.
    asio::awaitable<void> removeExpired();

    /// An agent says that the job has another owner or has ended: looks into the store.
    void doubt(const OwnedJobPtr&);

    /// Another coordinator says that it owns a job.
    void onOwner(const wire::JobOwnerNotice&);

    /// Something may have become listable.
    void wake() { lister_.wake(); }

private:
    /// Marks a job whose place is being settled, so that nothing else accepts, finds or takes it over meanwhile.
    class Settling {
    public:
        Settling(BatchOwner& owner, std::string job)
            : owner_(owner)
            , job_(std::move(job))
        {
            owner_.settling_.insert(job_);
        }
        Settling(const Settling&) = delete;
        Settling& operator=(const Settling&) = delete;
        ~Settling()
        {
            owner_.settling_.erase(job_);
            owner_.settled_.notifyAll();
        }

    private:
        BatchOwner& owner_;
        std::string job_;
    };

    struct Archived {
        std::vector<BatchResult> results;
        size_t items = 0;
    };

    /// Where a job was found.
    struct Location {
        OwnedJobPtr owned;
        const Archived* archived = nullptr;
        std::string owner;
        bool isKnown() const { return owned || archived || !owner.empty(); }
    };

    asio::awaitable<wire::BatchAnswer> submit(const wire::BatchCall&, Instant deadline);
    /// Writes the job into the store. Returns the revision of its record, nothing if the job exists already.
    asio::awaitable<std::optional<int64_t>> accept(const wire::BatchCall&, const JobRecord&, Instant deadline);
    asio::awaitable<void> waitUntilSettled(const std::string& job);
    asio::awaitable<wire::BatchAnswer> read(const wire::BatchCall&, Instant deadline);
    asio::awaitable<wire::BatchAnswer> readItem(const wire::BatchCall&, Instant deadline);
    asio::awaitable<wire::BatchAnswer> endJob(const wire::BatchCall&, Instant deadline);

    asio::awaitable<Location> locate(std::string job, std::vector<std::string> unreachable);
    asio::awaitable<Location> locateOnce(std::string job, std::vector<std::string> unreachable);
    asio::awaitable<OwnedJobPtr> claim(StoredJob);
    asio::awaitable<OwnedJobPtr> claimOnce(StoredJob);
    asio::awaitable<const Archived*> archive(StoredJob);
    asio::awaitable<void> verify(OwnedJobPtr);
    /// Marks a job as ended and stops its runs.
    void stopWork(OwnedJob&);
    /// Writes the end into the store. Returns false if the job was lost or the deadline has passed.
    asio::awaitable<bool> storeEnd(OwnedJobPtr, Instant deadline);
    OwnedJobPtr insert(BatchJobSpec, JobRecord, int64_t revision, std::vector<BatchResult> listed);
    void lose(const OwnedJobPtr&, const std::string& reason);
    JobRecord newRecord(const BatchJobSpec&, const RouteDeclaration&) const;
    BatchJobPolicy policyOf(const JobRecord&) const;

    asio::io_context& context_;
    std::string name_;
    const BatchProtocol& protocol_;
    JobStore store_;
    CoordinatorView& others_;
    DirectorySource directory_;
    Duration resultLifetime_;
    JobWorker* worker_ = nullptr;
    JobTable jobs_;
    ResultLister lister_;
    std::map<std::string, Archived> archived_;
    /// Jobs that are being accepted, looked up or taken over now.
    std::set<std::string> settling_;
    Signal settled_;
};

} // namespace endiveroad::io
