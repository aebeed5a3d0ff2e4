#pragma once

#include "io/hosted/MetadataStore.h"

#include <endiveroad/BatchJob.h>
#include <endiveroad/Directory.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Storage of batch jobs in the platform's metadata store. Every change of an existing job, except its removal, is
/// conditional on the revision of the owner record, so that a coordinator that is no longer the owner changes nothing.
namespace endiveroad::io {

/// The owner record of a job. It is small, because every coordinator that looks for the job reads it.
struct JobRecord {
    std::string owner;
    std::string host;
    std::string route;
    /// Wall time of the submission in ms since the epoch.
    int64_t submittedMs = 0;
    bool isEnded = false;
    /// Number of items of the job.
    size_t items = 0;
    /// The remaining fields are the policy of the job's route when the job was submitted; see BatchJobPolicy.
    /// maxScoringAttempts is the greatest maxAttempts of this route and of the routes of the items' scoring calls.
    int32_t maxAttempts = 3;
    int32_t maxScoringAttempts = 3;
    bool isSingleVersion = false;
    int64_t resultDueMs = 0;
    int64_t maxQueueMs = 0;
    /// Version of the configuration under which the job was accepted; 0 in records that do not tell it.
    int64_t configuration = 0;
    /// Organisation that submitted the job; empty if the configuration declared none.
    std::string organisation {};

    auto operator<=>(const JobRecord&) const = default;

    /// True if the configuration is newer than the one under which the job was accepted, and has no route any more for
    /// items with this path. An older one may not have the route yet.
    bool isRouteRemoved(const RoutingTable&, std::string_view itemPath) const;

    /// True if a caller on this host may see the job: on the job's own host always, since the job outlives its route,
    /// and on any host that has routes for batch jobs.
    bool isVisibleOn(std::string_view callerHost, const RoutingTable*) const;

    /// True if callers of the organisation may use the job: those of the one that submitted it; all, if none did or the
    /// configuration no longer declares any.
    bool isAccessibleTo(const std::string& callerOrganisation, const RoutingTable*) const;
};

struct StoredJob {
    std::string id;
    JobRecord record;
    /// Revision of the last change of the record.
    int64_t revision = 0;

    auto operator<=>(const StoredJob&) const = default;
};

/// Outcome of the creation of a job.
struct Acceptance {
    /// Revision of the job's record; nothing if the job existed already.
    std::optional<int64_t> revision;
    /// Its record then; nothing if the store did not return one that can be read.
    std::optional<JobRecord> existing;
};

enum class AppendOutcome { Appended, Conflict };

/// All calls throw StoreUnavailableError and OutcomeUnknownError as MetadataStore does. After OutcomeUnknownError the
/// call may be repeated with the same arguments until its outcome is known; but a repeated accept() returns no revision
/// also if an earlier attempt created the job. Reads throw FrameInvalidError if a record or results cannot be decoded.
class JobStore {
public:
    static constexpr Duration callTimeout = std::chrono::milliseconds(1600);

    /// Delay before a failed call is repeated.
    static constexpr Duration retryPause = std::chrono::milliseconds(150);

    /// Maximum number of bytes of a job's body in one value of the store; longer bodies are split.
    static constexpr size_t maxValueBytes = 700U << 10;

    explicit JobStore(MetadataStore&);

    /// Creates a job unless it exists already. Throws BodyTooLargeError, before anything is sent, if the body does not
    /// fit into one transaction.
    asio::awaitable<Acceptance> accept(std::string job, JobRecord, std::string body);

    /// Returns nothing if there is no such job.
    asio::awaitable<std::optional<StoredJob>> read(std::string job, Duration timeout = callTimeout);
    asio::awaitable<std::vector<StoredJob>> readAll();

    /// Replaces a record that still has the given revision. Returns its new revision, or nothing if it has changed.
    asio::awaitable<std::optional<int64_t>> replace(std::string job, JobRecord, int64_t revision);

    /// Body of the job's submission.
    asio::awaitable<std::string> readBody(std::string job);

    /// The result list, in order of position.
    asio::awaitable<std::vector<BatchResult>> readResults(std::string job);

    /// Appends results at the positions from `first` on, if the owner record still has the given revision. Returns
    /// Conflict if it has another one or other results are at that position.
    asio::awaitable<AppendOutcome> append(
        std::string job, int64_t revision, size_t first, std::vector<BatchResult> results);

    /// Removes the job's body, results and record.
    asio::awaitable<void> remove(std::string job);

private:
    MetadataStore& store_;
};

} // namespace endiveroad::io
