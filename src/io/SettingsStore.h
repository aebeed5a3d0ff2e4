#pragma once

#include "io/StoreClient.h"

#include <endiveroad/SettingsDocument.h>
#include <functional>

/// Reads, applies and rolls back revisions of the settings tree in the key-value service.
namespace endiveroad::io {

/// Decides how long and how often calls to the key-value service are retried.
class StoreRetryPolicy {
public:
    virtual ~StoreRetryPolicy() = default;

    /// Deadline of the next call.
    virtual Instant callDeadline() const = 0;

    /// Waits before the next attempt. Returns false at once if there is to be none.
    virtual asio::awaitable<bool> waitBeforeRetry(int attempt) = 0;
};

/// Retries with exponential backoff and full jitter until a deadline.
class BackoffRetryPolicy : public StoreRetryPolicy {
public:
    static constexpr Duration callTimeout = std::chrono::seconds(2);
    static constexpr Duration firstDelay = std::chrono::milliseconds(50);
    static constexpr Duration maxDelay = std::chrono::seconds(2);

    explicit BackoffRetryPolicy(Instant deadline);

    Instant callDeadline() const override;
    asio::awaitable<bool> waitBeforeRetry(int attempt) override;

private:
    Instant deadline_;
};

/// Metadata of a change that an operator makes.
struct SettingsWrite {
    /// Unique; shows whether a write took effect if its answer was lost.
    std::string writeId;
    std::string author;
    int64_t appliedMs = 0;
    /// If set, the change is rejected unless this revision is in force.
    std::optional<int64_t> expectedRevision;
};

class SettingsStore {
public:
    static constexpr std::string_view headKey = "endiveroad/settings/head";
    static constexpr std::string_view partPrefix = "endiveroad/settings/part/";

    SettingsStore(StoreClient&, StoreRetryPolicy&);

    /// Puts a tree in force and returns its revision, which is new even if the tree is unchanged. Throws
    /// SettingsConflictError, whose message lists both changes, if the expected revision is not in force or another
    /// change came first. Throws StoreUnavailableError if the service gave no usable answer or a part of the settings
    /// is missing; the change may then be in force only if the message names the write.
    asio::awaitable<int64_t> apply(SettingsWrite, SettingsValue tree);

    /// Puts the tree of a past revision in force as a new revision. Throws NotFoundError if the history does not
    /// contain the past revision, otherwise like apply().
    asio::awaitable<int64_t> rollBack(SettingsWrite, int64_t revision);

    /// Reads the head; an empty one if nothing was applied yet. Throws StoreUnavailableError.
    asio::awaitable<SettingsHead> head();

    /// Reads the document of the revision in force; nothing if nothing was applied yet. Parts contained in the known
    /// document are not read again. Throws StoreUnavailableError.
    asio::awaitable<std::optional<SettingsDocument>> load(SettingsDocument known);

    /// The key-value service's modification revision of the last head found; 0 if none was.
    int64_t headModRevision() const { return headModRevision_; }

private:
    struct StoredHead {
        SettingsHead head;
        int64_t modRevision = 0;
    };

    asio::awaitable<std::optional<StoredValue>> read(std::string key);
    asio::awaitable<bool> create(std::string key, std::string value);
    asio::awaitable<StoredHead> readHead();
    asio::awaitable<std::optional<SettingsDocument>> loadParts(
        std::map<std::string, std::string> keys, SettingsDocument known);
    asio::awaitable<void> removeAll(std::vector<std::string> keys);
    asio::awaitable<int64_t> swapHead(StoredHead before, SettingsHead after);
    asio::awaitable<std::string> conflictText(SettingsHead before, SettingsHead after, SettingsValue wanted);

    StoreClient& client_;
    StoreRetryPolicy& retryPolicy_;
    int64_t headModRevision_ = 0;
};

} // namespace endiveroad::io
