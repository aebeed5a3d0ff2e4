#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Time.h>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace endiveroad {

/// Whole answer of a call, kept for repeats of its idempotency key.
struct CallOutcome {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    auto operator<=>(const CallOutcome&) const = default;
};

/// Outcomes of non-idempotent calls by idempotency key. A key runs at most once within one incarnation; a key that may
/// be older than the incarnation gets "unknown".
class OutcomeTable {
public:
    enum class Verdict { Run, Wait, Replay, Conflict, Unknown };

    /// startedWallMs: wall time at which this incarnation began; keys made before it may have run earlier.
    OutcomeTable(int64_t startedWallMs, Duration clockMargin);

    /// Decides what to do with a call. keyCreatedWallMs is 0 if the caller did not state it; then the call runs only
    /// once the retention time has passed since the incarnation began.
    Verdict begin(const std::string& key, uint64_t fingerprint, int64_t keyCreatedWallMs, int64_t nowWallMs,
        Duration retention, Instant now);

    /// The call ended with a whole answer, kept until the given instant.
    void finish(const std::string& key, CallOutcome, Instant keepUntil);

    /// The call was given up after it may have reached the backend server.
    void finishUnknown(const std::string& key, Instant keepUntil);

    /// The call surely never reached the backend server; the key may be used again.
    void withdraw(const std::string& key);

    const CallOutcome* outcome(const std::string& key) const;
    bool isRunning(const std::string& key) const;
    size_t size() const { return entries_.size(); }

    /// Forgets outcomes whose retention has passed.
    void expire(Instant now);

private:
    enum class State { Running, Finished, Unknown };

    struct Entry {
        State state = State::Running;
        uint64_t fingerprint = 0;
        Instant keepUntil = never;
        CallOutcome outcome;
    };

    int64_t startedWallMs_;
    int64_t clockMarginMs_;
    std::unordered_map<std::string, Entry> entries_;
};

} // namespace endiveroad
