#include "io/hosted/BatchOwner.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"
#include "io/Tasks.h"

#include <algorithm>
#include <endiveroad/AttemptEffects.h>
#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
/// Tells the caller nothing about whether the job exists.
constexpr int statusBadGateway = 502;

wire::BatchAnswer answerOf(int status, std::string body = {})
{
    wire::BatchAnswer answer;
    answer.status = status;
    answer.body = std::move(body);
    return answer;
}

wire::BatchAnswer answerOf(const Error& error, Duration retryAfter)
{
    wire::BatchAnswer answer = answerOf(httpStatus(error.code()), std::string(codeText(error.code())));
    if (answer.status == 503)
        answer.retryAfterMs
            = static_cast<int32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count());
    if (error.code() == ErrorCode::BadRequest)
        answer.__set_detail(error.what());
    return answer;
}

/// Redirects the entry to the job's owner. If the entry passes the answer on to the caller, its error status keeps it
/// from looking like success.
wire::BatchAnswer redirectTo(const std::string& owner, int64_t revision)
{
    wire::BatchAnswer answer = answerOf(statusBadGateway);
    answer.owner = owner;
    answer.ownerRevision = revision;
    return answer;
}

Latency latencyOf(wire::BatchOperation::type operation)
{
    switch (operation) {
    case wire::BatchOperation::Submit:
        return Latency::BatchSubmission;
    case wire::BatchOperation::Cancel:
        return Latency::BatchEnd;
    default:
        return Latency::BatchRead;
    }
}

/// Job ids become parts of keys in the store.
bool isUsableId(const std::string& id)
{
    constexpr size_t maxIdBytes = 100;
    return !id.empty() && id.size() <= maxIdBytes && std::all_of(id.begin(), id.end(), [](unsigned char character) {
        return std::isalnum(character) || character == '-' || character == '_' || character == '.';
    });
}

} // namespace

BatchOwner::BatchOwner(asio::io_context& context, std::string name, const BatchProtocol& protocol, MetadataStore& store,
    CoordinatorView& coordinators, DirectorySource directory, Duration resultLifetime)
    : context_(context)
    , name_(std::move(name))
    , protocol_(protocol)
    , store_(store)
    , coordinators_(coordinators)
    , directory_(std::move(directory))
    , resultLifetime_(resultLifetime)
    , lister_(
          context, store_, jobs_, [this](const OwnedJobPtr& owned) { dropJob(owned, "the owner record has changed"); })
    , lockedJobs_(std::make_shared<LockedJobs>(context))
{
}

size_t BatchOwner::openJobs() const
{
    return static_cast<size_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [](const auto& entry) { return !entry.second->job.isEnded(); }));
}

asio::awaitable<wire::BatchAnswer> BatchOwner::perform(wire::BatchCall call, Instant deadline)
{
    const Instant startedAt = now();
    wire::BatchAnswer answer;
    try {
        if (!isUsableId(call.job))
            throw BatchJobUnknownError(
                "the job id is empty, longer than 100 bytes or has a character other than letters, digits, -, _ and .");
        switch (call.operation) {
        case wire::BatchOperation::Submit:
            answer = co_await submit(call, deadline);
            break;
        case wire::BatchOperation::Read:
            answer = co_await read(call, deadline);
            break;
        case wire::BatchOperation::ReadItem:
            answer = co_await readItem(call, deadline);
            break;
        case wire::BatchOperation::Cancel:
            answer = co_await endJob(call, deadline);
            break;
        }
    } catch (const Error& error) {
        const Event event
            = call.operation == wire::BatchOperation::Submit ? Event::BatchJobRefused : Event::BatchReadFailed;
        log(event,
            { { "job", call.job }, { "item", call.item }, { "code", std::string(codeText(error.code())) },
                { "reason", error.what() } });
        processMetrics().count(error.code());
        answer = answerOf(error, retryAfter);
    }
    processMetrics().record(latencyOf(call.operation), now() - startedAt, now());
    co_return answer;
}

JobRecord BatchOwner::newRecord(const BatchJobSpec& spec, const RouteDeclaration& route) const
{
    const auto milliseconds
        = [](Duration duration) { return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(); };
    JobRecord record;
    record.owner = name_;
    record.host = spec.host;
    record.route = spec.route;
    record.submittedMs = wallMs();
    record.items = spec.items.size();
    record.maxAttempts = std::max(route.maxAttempts, 1);
    record.maxScoringAttempts = record.maxAttempts;
    record.isSingleVersion = route.isSingleVersion;
    record.resultDueMs = milliseconds(route.resultDue);
    record.maxQueueMs = milliseconds(route.maxQueueTime);
    const auto directory = directory_();
    record.configuration = directory->routing->version;
    for (const BatchItem& item : spec.items) {
        const RouteDeclaration* scoring
            = item.scoring ? directory->routing->match(item.scoring->host, item.scoring->path) : nullptr;
        if (scoring)
            record.maxScoringAttempts = std::max(record.maxScoringAttempts, scoring->maxAttempts);
    }
    return record;
}

BatchJobPolicy BatchOwner::policyOf(const JobRecord& record) const
{
    const Instant submittedAt = now() - std::chrono::milliseconds(wallMs() - record.submittedMs);
    BatchJobPolicy policy;
    policy.maxFailedRuns = record.maxAttempts;
    policy.maxFailedScorings = record.maxScoringAttempts;
    policy.isSingleVersion = record.isSingleVersion;
    policy.dueAt = submittedAt + std::chrono::milliseconds(record.resultDueMs);
    policy.terminateAt = submittedAt + std::chrono::milliseconds(record.maxQueueMs);
    return policy;
}

OwnedJobPtr BatchOwner::insert(BatchJobSpec spec, JobRecord record, int64_t revision, std::vector<BatchResult> listed)
{
    BatchJob job(std::move(spec), policyOf(record), revision);
    job.onListed(listed);
    auto owned = std::make_shared<OwnedJob>(context_, std::move(job), std::move(record));
    jobs_[owned->id()] = owned;
    return owned;
}

asio::awaitable<Acceptance> BatchOwner::accept(const wire::BatchCall& call, const JobRecord& record, Instant deadline)
{
    AttemptEffects effects;
    while (true) {
        try {
            co_return co_await store_.accept(call.job, record, call.body);
        } catch (const BodyTooLargeError&) {
            // Known before the store is called.
            throw;
        } catch (const Error& error) {
            effects.onFailure(error);
        }
        if (now() + JobStore::retryPause >= deadline)
            effects.fail<StoreUnavailableError>();
        co_await sleepFor(JobStore::retryPause);
    }
}

asio::awaitable<wire::BatchAnswer> BatchOwner::submit(const wire::BatchCall& call, Instant deadline)
{
    co_await waitUntilUnlocked(call.job);
    const auto directory = directory_();
    if (const auto owned = jobs_.find(call.job); owned != jobs_.end()) {
        requireAccess(owned->second->record, call);
        co_return answerOf(statusAccepted);
    }
    const RouteDeclaration* route = directory->routing ? directory->routing->route(call.route) : nullptr;
    if (!route)
        co_return co_await submitWithoutRoute(call);
    BatchJobSpec spec = protocol_.decodeJob(call.job, call.host, call.route, call.body);
    protocol_.requireSendable(spec);
    JobRecord record = newRecord(spec, *route);
    record.organisation = call.organisation;
    Acceptance acceptance;
    {
        const JobLock lock(*this, call.job);
        acceptance = co_await accept(call, record, std::min(deadline, now() + maxStoreRetryTime));
        if (acceptance.revision)
            insert(spec, record, *acceptance.revision, {});
    }
    if (!acceptance.revision)
        co_return co_await answerForExisting(call, acceptance.existing);
    const OwnedJobPtr owned = jobs_.at(call.job);
    log(Event::BatchJobAccepted,
        { { "job", call.job }, { "route", call.route }, { "model", owned->job.spec().model },
            { "items", std::to_string(spec.items.size()) },
            { "oldestVersion", std::to_string(owned->job.spec().oldestVersion) },
            { "revision", std::to_string(*acceptance.revision) } });
    worker_->onJob(owned);
    coordinators_.announceOwner(*owned);
    co_return answerOf(statusAccepted);
}

asio::awaitable<wire::BatchAnswer> BatchOwner::answerForExisting(
    const wire::BatchCall& call, std::optional<JobRecord> existing)
{
    if (existing)
        requireAccess(*existing, call);
    Location location;
    std::string failure = "the job existed at the submission, but has been removed since";
    bool hasFailed = false;
    try {
        // The owner may be gone; locate() takes the job over then.
        location = co_await locate(call.job, call.unreachable);
    } catch (const Error& error) {
        failure = error.what();
        hasFailed = true;
    }
    if (hasFailed)
        log(Event::BatchReadFailed, { { "job", call.job }, { "reason", failure } });
    requireAccess(location, call);
    // Who owns the job does not matter to the caller: a job in the store whose owner is gone is taken over later.
    const bool isStored = location.isKnown() || (hasFailed && existing);
    if (!isStored)
        throw OutcomeUnknownError(failure);
    co_return answerOf(statusAccepted);
}

void BatchOwner::requireAccess(const JobRecord& record, const wire::BatchCall& call) const
{
    const auto directory = directory_();
    const RoutingTable* routing = directory->routing ? &*directory->routing : nullptr;
    if (!record.isAccessibleTo(call.organisation, routing))
        throw BatchJobUnknownError("the job belongs to another organisation");
}

void BatchOwner::requireAccess(const Location& location, const wire::BatchCall& call) const
{
    // Another owner decides itself.
    if (location.owned)
        requireAccess(location.owned->record, call);
    if (location.endedJob)
        requireAccess(location.endedJob->record, call);
}

asio::awaitable<wire::BatchAnswer> BatchOwner::submitWithoutRoute(const wire::BatchCall& call)
{
    const Location location = co_await locate(call.job, call.unreachable);
    if (location.isKnown()) {
        requireAccess(location, call);
        co_return answerOf(statusAccepted);
    }
    if (call.route.empty())
        throw BatchJobUnknownError("there is no such job");
    throw NotReadyError("the coordinator has not read the configuration of the route yet");
}

asio::awaitable<wire::BatchAnswer> BatchOwner::read(const wire::BatchCall& call, Instant deadline)
{
    const Location location = co_await locateFor(call);
    if (!location.owner.empty())
        co_return redirectTo(location.owner, location.ownerRevision);
    const auto first = static_cast<size_t>(std::max<int64_t>(call.firstPosition, 0));
    if (location.endedJob)
        co_return answerOf(
            statusOk, protocol_.encodeResults(location.endedJob->results, first, location.endedJob->record.items));
    const OwnedJobPtr owned = location.owned;
    bool isConfirmed = location.isConfirmed;
    // Whoever may know better is asked at once.
    const Duration wait = isConfirmed ? std::chrono::milliseconds(call.waitMs) : Duration::zero();
    const Instant waitUntil = std::min(deadline, now() + wait);
    const auto hasNews
        = [&owned, first] { return owned->job.listed().size() > first || owned->job.isEnded() || owned->isLost; };
    const bool isWaiting = !hasNews() && now() < waitUntil;
    while (!hasNews() && now() < waitUntil)
        co_await owned->changed.wait(waitUntil);
    if (isWaiting)
        isConfirmed = co_await confirmOwnership(owned);
    std::vector<BatchResult> stored;
    if (owned->isListIncomplete())
        isConfirmed = co_await readStoredResults(owned->id(), stored) && isConfirmed;
    const std::vector<BatchResult>& listed = owned->job.listed();
    const std::vector<BatchResult>& results = stored.size() > listed.size() ? stored : listed;
    wire::BatchAnswer answer
        = answerOf(statusOk, protocol_.encodeResults(results, first, owned->job.spec().items.size()));
    answer.isUnconfirmed = !isConfirmed;
    co_return answer;
}

asio::awaitable<bool> BatchOwner::readStoredResults(std::string job, std::vector<BatchResult>& results)
{
    try {
        results = co_await store_.readResults(job);
        co_return true;
    } catch (const Error& error) {
        log(Event::StoreUnavailable, { { "calling", "results" }, { "reason", error.what() } });
    }
    co_return false;
}

asio::awaitable<wire::BatchAnswer> BatchOwner::readItem(const wire::BatchCall& call, Instant)
{
    const Location location = co_await locateFor(call);
    if (!location.owner.empty())
        co_return redirectTo(location.owner, location.ownerRevision);
    const auto index = location.owned ? location.owned->job.indexOf(call.item) : std::nullopt;
    if (location.owned && !index)
        throw BatchJobUnknownError("the job has no such item");
    const bool isOpen = location.owned && !location.owned->job.isEnded();
    if (!isOpen && location.isConfirmed)
        throw BatchJobUnknownError("there is no such open job");
    if (!isOpen)
        throw StoreUnavailableError("the end of the job is not in the store yet");
    wire::BatchAnswer answer = answerOf(statusOk, location.owned->job.spec().items[*index].body);
    answer.isUnconfirmed = !location.isConfirmed;
    co_return answer;
}

asio::awaitable<wire::BatchAnswer> BatchOwner::endJob(const wire::BatchCall& call, Instant deadline)
{
    const Instant storeDeadline = std::min(deadline, now() + maxStoreRetryTime);
    bool isWorkStopped = false;
    while (true) {
        Location location;
        if (isWorkStopped)
            location = co_await locateStopped(call);
        else
            location = co_await locateFor(call);
        if (!location.owner.empty())
            co_return redirectTo(location.owner, location.ownerRevision);
        if (location.endedJob || location.owned->isEndStored)
            co_return answerOf(statusOk);
        const OwnedJobPtr owned = location.owned;
        stopWork(*owned);
        isWorkStopped = true;
        if (!location.isConfirmed)
            co_return endUnconfirmed(owned);
        if (co_await storeEnd(owned, storeDeadline))
            co_return answerOf(statusOk);
        if (owned->isLost && now() < storeDeadline)
            // The record has changed: another coordinator owns the job, or it has ended. Look the
            // job up again to find out which.
            continue;
        if (!owned->isLost)
            storeEndLater(owned);
        throw OutcomeUnknownError("the store has not accepted the end of the job yet");
    }
}

asio::awaitable<BatchOwner::Location> BatchOwner::locateStopped(const wire::BatchCall& call)
{
    try {
        co_return co_await locateFor(call);
    } catch (const StoreUnavailableError& error) {
        throw OutcomeUnknownError(error.what());
    }
}

wire::BatchAnswer BatchOwner::endUnconfirmed(const OwnedJobPtr& owned)
{
    storeEndLater(owned);
    wire::BatchAnswer answer
        = answerOf(OutcomeUnknownError("the store has not accepted the end of the job yet"), retryAfter);
    answer.isUnconfirmed = true;
    return answer;
}

void BatchOwner::storeEndLater(const OwnedJobPtr& owned)
{
    if (owned->isEndPending)
        return;
    owned->isEndPending = true;
    spawn(context_.get_executor(), [this, owned]() -> asio::awaitable<void> { co_await storeEnd(owned, never); });
}

void BatchOwner::stopWork(OwnedJob& owned)
{
    if (owned.job.isEnded())
        return;
    worker_->cacheTexts(owned);
    owned.job.end();
    worker_->cancelRuns(owned);
    owned.changed.notifyAll();
}

asio::awaitable<bool> BatchOwner::storeEnd(OwnedJobPtr owned, Instant deadline)
{
    JobRecord record = owned->record;
    record.isEnded = true;
    while (!owned->isLost && !owned->isEndStored) {
        try {
            const auto revision = co_await store_.replace(owned->id(), record, owned->job.revision());
            if (owned->isEndStored)
                co_return true;
            if (!revision) {
                dropJob(owned, "the owner record has changed");
                co_return false;
            }
            owned->record = record;
            owned->job.setRevision(*revision);
            owned->isEndStored = true;
            log(Event::BatchJobEnded,
                { { "job", owned->id() }, { "listed", std::to_string(owned->job.listed().size()) },
                    { "items", std::to_string(owned->job.items().size()) } });
        } catch (const Error& error) {
            if (now() + JobStore::retryPause >= deadline)
                co_return false;
            log(Event::ListingDelayed, { { "job", owned->id() }, { "what", "end" }, { "reason", error.what() } });
        }
        if (!owned->isEndStored)
            co_await sleepFor(JobStore::retryPause);
    }
    co_return owned->isEndStored;
}

} // namespace endiveroad::io
