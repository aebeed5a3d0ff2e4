#include "io/hosted/BatchOwner.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad/ItemFault.h>
#include <endiveroad/Rendezvous.h>

/// Ownership of jobs: looking up the owner, taking a job over and giving it up. Callers' operations are in
/// BatchOwner.cpp.
namespace endiveroad::io {

namespace {

/// Delay between the end of the lifetime of a job's results and the job's removal.
constexpr std::chrono::milliseconds removalMargin { 60000 };

} // namespace

asio::awaitable<void> BatchOwner::waitUntilUnlocked(const std::string& job)
{
    while (lockedJobs_->ids.contains(job))
        co_await lockedJobs_->unlocked.wait(now() + JobStore::retryPause);
}

asio::awaitable<BatchOwner::Location> BatchOwner::locateFor(const wire::BatchCall& call)
{
    Location location = co_await locate(call.job, call.unreachable);
    if (location.owned && location.owned->isEndStored && location.owned->isListIncomplete()) {
        // From now on it is read from the store like a job that another coordinator has ended.
        jobs_.erase(call.job);
        location = co_await locate(call.job, call.unreachable);
    }
    if (location.owned)
        location.isConfirmed = co_await confirmOwnership(location.owned);
    if (location.owned && location.owned->isLost)
        location = co_await locate(call.job, call.unreachable);
    if (!location.isKnown())
        throw BatchJobUnknownError("there is no such job");
    const auto directory = directory_();
    const RoutingTable* routing = directory->routing ? &*directory->routing : nullptr;
    const JobRecord* record = location.owned ? &location.owned->record : nullptr;
    if (location.endedJob)
        record = &location.endedJob->record;
    // Another owner decides itself.
    if (record && !record->isVisibleOn(call.host, routing))
        throw BatchJobUnknownError("there is no such job on this host");
    requireAccess(location, call);
    co_return location;
}

asio::awaitable<bool> BatchOwner::confirmOwnership(OwnedJobPtr owned)
{
    // The record of a job that this coordinator has ended changes no more.
    if (owned->isEndStored || coordinators_.isHeardByAll() || now() < owned->confirmedUntil)
        co_return true;
    if (now() < owned->nextConfirmationAt)
        co_return false;
    const Instant askedAt = now();
    try {
        const std::optional<StoredJob> stored = co_await store_.read(owned->id(), confirmationTimeout);
        if (!stored || stored->record.owner != name_)
            dropJob(owned, "the owner record names another coordinator or is gone");
        owned->onConfirmed(askedAt);
        co_return !owned->isLost;
    } catch (const Error& error) {
        log(Event::OwnershipUncertain, { { "job", owned->id() }, { "reason", error.what() } });
    }
    owned->nextConfirmationAt = now() + confirmationPause;
    co_return false;
}

asio::awaitable<BatchOwner::Location> BatchOwner::locate(std::string job, std::vector<std::string> unreachable)
{
    co_await waitUntilUnlocked(job);
    Location location;
    if (const auto owned = jobs_.find(job); owned != jobs_.end()) {
        location.owned = owned->second;
        co_return location;
    }
    if (const auto endedJob = endedJobs_.find(job); endedJob != endedJobs_.end()) {
        location.endedJob = &endedJob->second;
        co_return location;
    }
    const JobLock lock(*this, job);
    location = co_await locateOnce(job, std::move(unreachable));
    co_return location;
}

asio::awaitable<BatchOwner::Location> BatchOwner::locateOnce(std::string job, std::vector<std::string> unreachable)
{
    Location location;
    const std::optional<StoredJob> stored = co_await store_.read(job);
    if (!stored)
        co_return location;
    if (stored->record.isEnded) {
        location.endedJob = co_await loadEndedJob(*stored);
        co_return location;
    }
    const std::string& owner = stored->record.owner;
    const bool isOwnerReachable
        = std::find(unreachable.begin(), unreachable.end(), owner) == unreachable.end() || coordinators_.isAlive(owner);
    if (owner != name_ && coordinators_.isAlive(owner) && isOwnerReachable) {
        location.owner = owner;
        location.ownerRevision = stored->revision;
        co_return location;
    }
    location.owned = co_await takeOverOnce(*stored);
    if (location.owned)
        co_return location;
    // The record has changed since it was read: most likely another coordinator has taken the job over.
    const std::optional<StoredJob> present = co_await store_.read(job);
    if (present && present->record.owner != name_) {
        location.owner = present->record.owner;
        location.ownerRevision = present->revision;
    }
    if (!location.isKnown())
        throw StoreUnavailableError("the owner of the job is changing");
    co_return location;
}

asio::awaitable<const BatchOwner::EndedJob*> BatchOwner::loadEndedJob(StoredJob stored)
{
    EndedJob endedJob;
    endedJob.record = stored.record;
    endedJob.results = co_await store_.readResults(stored.id);
    if (endedJobs_.size() >= maxCachedEndedJobs)
        endedJobs_.erase(endedJobs_.begin());
    co_return &(endedJobs_[stored.id] = std::move(endedJob));
}

asio::awaitable<OwnedJobPtr> BatchOwner::takeOver(StoredJob stored)
{
    if (jobs_.contains(stored.id) || lockedJobs_->ids.contains(stored.id))
        co_return nullptr;
    const JobLock lock(*this, stored.id);
    co_return co_await takeOverOnce(stored);
}

asio::awaitable<OwnedJobPtr> BatchOwner::takeOverOnce(StoredJob stored)
{
    JobRecord record = stored.record;
    record.owner = name_;
    const auto revision = co_await store_.replace(stored.id, record, stored.revision);
    if (!revision)
        co_return nullptr;
    const std::string body = co_await store_.readBody(stored.id);
    std::vector<BatchResult> results = co_await store_.readResults(stored.id);
    BatchJobSpec spec = protocol_.decodeJob(stored.id, record.host, record.route, body);
    const size_t listed = results.size();
    const OwnedJobPtr owned = insert(std::move(spec), record, *revision, std::move(results));
    owned->startNotBefore = now() + takeOverStartDelay;
    log(Event::BatchJobClaimed,
        { { "job", stored.id }, { "from", stored.record.owner }, { "revision", std::to_string(*revision) },
            { "listed", std::to_string(listed) }, { "items", std::to_string(record.items) } });
    terminateUnsendable(*owned);
    worker_->onJob(owned);
    coordinators_.announceOwner(*owned);
    co_return owned;
}

void BatchOwner::terminateUnsendable(OwnedJob& owned)
{
    const std::vector<BatchItem>& items = owned.job.spec().items;
    for (size_t i = 0; i < items.size(); ++i) {
        const auto fault = itemFault(items[i]);
        if (fault && owned.job.terminate(i) == ItemAction::Finished)
            log(Event::ItemTerminated,
                { { "job", owned.id() }, { "item", items[i].id },
                    { "reason", "it cannot be sent: " + fault->reason } });
    }
    lister_.wake();
}

asio::awaitable<void> BatchOwner::takeOverOrphanedJobs(bool isOwnOnly)
{
    const std::vector<StoredJob> all = co_await store_.readAll();
    for (const StoredJob& stored : all) {
        if (stored.record.isEnded || jobs_.contains(stored.id))
            continue;
        const bool isOwn = stored.record.owner == name_;
        if (!isOwn && (isOwnOnly || coordinators_.isAlive(stored.record.owner)))
            continue;
        const std::vector<std::string> successors
            = rendezvousOwners(stored.record.route, coordinators_.aliveCoordinators(), 1);
        if (!isOwn && (successors.empty() || successors.front() != name_))
            continue;
        co_await tryTakeOver(stored);
    }
}

asio::awaitable<void> BatchOwner::tryTakeOver(StoredJob stored)
{
    try {
        co_await takeOver(stored);
    } catch (const StoreUnavailableError&) {
        // The other jobs would fail in the same way.
        throw;
    } catch (const Error& error) {
        log(Event::BatchReadFailed, { { "job", stored.id }, { "reason", error.what() } });
    }
}

asio::awaitable<void> BatchOwner::removeExpired()
{
    const int64_t currentMs = wallMs();
    const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(resultLifetime_) + removalMargin;
    const std::vector<StoredJob> all = co_await store_.readAll();
    for (const StoredJob& stored : all) {
        const bool isExpired = stored.record.isEnded && currentMs > stored.record.submittedMs + lifetime.count();
        if (!isExpired || stored.record.owner != name_)
            continue;
        co_await store_.remove(stored.id);
        jobs_.erase(stored.id);
        endedJobs_.erase(stored.id);
    }
}

void BatchOwner::requestOwnershipCheck(const OwnedJobPtr& owned)
{
    if (!owned->isLost && !owned->isCheckingOwnership) {
        owned->isCheckingOwnership = true;
        spawn(context_.get_executor(), [this, owned] { return checkOwnership(owned); });
    }
}

asio::awaitable<void> BatchOwner::checkOwnership(OwnedJobPtr owned)
{
    try {
        const std::optional<StoredJob> stored = co_await store_.read(owned->id());
        const bool isOwner = stored && stored->record.owner == name_ && !stored->record.isEnded;
        if (!isOwner)
            dropJob(owned, "the owner record names another coordinator, is marked as ended or is gone");
    } catch (const Error& error) {
        log(Event::StoreUnavailable, { { "calling", "owner record" }, { "reason", error.what() } });
    }
    owned->isCheckingOwnership = false;
}

void BatchOwner::onOwner(const wire::JobOwnerNotice& notice)
{
    const auto found = jobs_.find(notice.job);
    if (found != jobs_.end() && notice.owner != name_ && notice.revision > found->second->job.revision())
        dropJob(found->second, "taken over by " + notice.owner);
}

void BatchOwner::dropJob(const OwnedJobPtr& owned, const std::string& reason)
{
    if (owned->isLost)
        return;
    owned->isLost = true;
    log(Event::BatchJobLost, { { "job", owned->id() }, { "reason", reason } });
    jobs_.erase(owned->id());
    owned->changed.notifyAll();
}

} // namespace endiveroad::io
