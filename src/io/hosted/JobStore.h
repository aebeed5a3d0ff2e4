#pragma once

#include "io/hosted/MetadataStore.h"

#include <endiveroad/BatchJob.h>
#include <optional>
#include <string>
#include <vector>

/// Batch jobs as they last in the platform's store. Every change names the revision of the owner record under which it
/// is made, so that a coordinator that is no longer the owner changes nothing.
namespace endiveroad::io {

/// The owner record of a job: small, read by everyone who looks for the job.
struct JobRecord {
    std::string owner;
    std::string host;
    std::string route;
    /// Wall time of the submission in ms since the epoch.
    int64_t submittedMs = 0;
    bool isEnded = false;
    size_t items = 0;
    int32_t maxAttempts = 3;
    int32_t maxScoringAttempts = 3;
    bool isSingleVersion = false;
    int64_t resultDueMs = 0;
    int64_t maxQueueMs = 0;

    auto operator<=>(const JobRecord&) const = default;
};

struct StoredJob {
    std::string id;
    JobRecord record;
    /// Revision of the record.
    int64_t revision = 0;

    auto operator<=>(const StoredJob&) const = default;
};

enum class AppendOutcome { Appended, OwnerChanged };

/// All calls throw StoreUnavailableError and OutcomeUnknownError as MetadataStore does. A call whose outcome is unknown
/// may be repeated with the same arguments until it is known.
class JobStore {
public:
    static constexpr Duration callTimeout = std::chrono::milliseconds(1600);

    /// Pause before a call that the store did not take is made again.
    static constexpr Duration retryPause = std::chrono::milliseconds(150);

    /// Bytes of a body, or of results, in one value of the store.
    static constexpr size_t maxValueBytes = 700U << 10;

    explicit JobStore(MetadataStore&);

    /// Returns the revision of the new record; nothing if the job exists already.
    asio::awaitable<std::optional<int64_t>> accept(std::string job, JobRecord, std::string body);

    asio::awaitable<std::optional<StoredJob>> read(std::string job);
    asio::awaitable<std::vector<StoredJob>> readAll();

    /// Replaces a record if it still has the revision. Returns the new revision, nothing if it has changed.
    asio::awaitable<std::optional<int64_t>> replace(std::string job, JobRecord, int64_t revision);

    /// Body with which the job was submitted.
    asio::awaitable<std::string> readBody(std::string job);

    /// Results in the order of their positions.
    asio::awaitable<std::vector<BatchResult>> readResults(std::string job);

    /// Results take the positions from `first` on.
    asio::awaitable<AppendOutcome> append(
        std::string job, int64_t revision, size_t first, std::vector<BatchResult> results);

    /// Removes everything of a job.
    asio::awaitable<void> remove(std::string job);

private:
    MetadataStore& store_;
};

} // namespace endiveroad::io
