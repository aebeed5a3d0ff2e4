#pragma once

#include "io/StoreClient.h"

#include <endiveroad/SettingsDocument.h>
#include <functional>

/// Revisions of the settings tree in the key-value service: read, applied, rolled back.
namespace endiveroad::io {

/// How long a command goes on when the key-value service does not answer.
class StorePatience {
public:
    virtual ~StorePatience() = default;

    /// Deadline of the next call.
    virtual Instant callDeadline() const = 0;

    /// Waits before another attempt. Returns false when no time is left for one.
    virtual asio::awaitable<bool> waitForAttempt(int attempt) = 0;
};

/// Exponential back-off with full jitter up to a deadline.
class BackoffPatience : public StorePatience {
public:
    static constexpr Duration callTimeout = std::chrono::seconds(2);
    static constexpr Duration firstDelay = std::chrono::milliseconds(50);
    static constexpr Duration maxDelay = std::chrono::seconds(2);

    explicit BackoffPatience(Instant deadline);

    Instant callDeadline() const override;
    asio::awaitable<bool> waitForAttempt(int attempt) override;

private:
    Instant deadline_;
};

/// A change that an operator wants.
struct SettingsWrite {
    /// Unique; settles whether a write whose answer was lost took effect.
    std::string writeId;
    std::string author;
    int64_t appliedMs = 0;
    /// Refuse unless this revision is in force.
    std::optional<int64_t> expectedRevision;
};

class SettingsStore {
public:
    static constexpr std::string_view headKey = "endiveroad/settings/head";
    static constexpr std::string_view partPrefix = "endiveroad/settings/part/";

    SettingsStore(StoreClient&, StorePatience&);

    /// Puts a tree in force and returns its revision, a new one also if nothing differs. Throws
    /// SettingsConflictError telling both changes if another revision came between, StoreUnavailableError if the
    /// service did not answer in time; the change may then be in force.
    asio::awaitable<int64_t> apply(SettingsWrite, SettingsValue tree);

    /// Puts the tree of a past revision in force as a new one. Throws NotFoundError if the history lacks it, else as
    /// apply().
    asio::awaitable<int64_t> rollBack(SettingsWrite, int64_t revision);

    /// The head; an empty one if nothing was applied yet. Throws StoreUnavailableError.
    asio::awaitable<SettingsHead> head();

    /// The document of the revision in force. Parts that the known document has are not read again. Nothing if nothing
    /// was applied yet. Throws StoreUnavailableError.
    asio::awaitable<std::optional<SettingsDocument>> load(SettingsDocument known);

    /// The service's revision of the head that was read last.
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
    StorePatience& patience_;
    int64_t headModRevision_ = 0;
};

} // namespace endiveroad::io
