#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Time.h>
#include <queue>
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

    /// Memory that the outcome takes, in bytes.
    size_t bytes() const;
};

/// An idempotency key as a caller stated it.
struct CallKey {
    std::string text;
    /// Hash of the request's content; the same key with another is a conflict.
    uint64_t fingerprint = 0;
    /// Wall time in ms at which the caller made the key; 0 if it did not say.
    int64_t createdMs = 0;

    auto operator<=>(const CallKey&) const = default;
};

/// Outcomes of non-idempotent calls by idempotency key, at their home. A key runs at most once.
///
/// One low-water mark stands for all that the table does not know: the keys of earlier incarnations and those whose
/// outcome it has forgotten. A key made before the mark is never run. The mark is sound whatever the callers' clocks
/// say, because a key that claims to be made after the present is not run either. It asks of this host only that its
/// wall clock at the start of an incarnation is not more than clockMargin - futureTolerance behind what any earlier
/// incarnation of the agent has read. During an incarnation time is counted on the monotonic clock, so that steps of
/// the wall clock have no effect.
class OutcomeTable {
public:
    enum class Verdict {
        Run,
        Wait,
        Replay,
        Conflict,
        /// The key may have run; it will not run again.
        Unknown,
        /// "Not run" was told for the key a moment ago; an attempt that is still under way must not run.
        RefusedBefore,
        /// The key claims to be made in the future; no attempt with it is taken.
        TooNew,
        /// No memory for another outcome; the key is refused, and no attempt runs until refusalHold has passed.
        Full,
    };

    static constexpr Duration clockMargin = std::chrono::milliseconds(200);
    static constexpr Duration futureTolerance = std::chrono::milliseconds(100);
    /// Longest time that an attempt may be under way between entry and agent: silence and pause limits of connections.
    static constexpr Duration refusalHold = std::chrono::milliseconds(3500);
    static constexpr size_t defaultMaxBytes = 32U << 20;
    /// Larger answers are not kept; repeats of their keys get "unknown".
    static constexpr size_t maxOutcomeBytes = 1U << 20;

    /// startedWallMs: wall time of the host at startedAt.
    OutcomeTable(int64_t startedWallMs, Instant startedAt, size_t maxBytes = defaultMaxBytes);

    /// Decides what to do with a call; Run registers the key as running. Keys made before doubtfulBeforeMs are unknown
    /// unless the table holds them. A key without creation time counts as made one retention time ago.
    Verdict begin(const CallKey&, int64_t doubtfulBeforeMs, Duration retention, Instant now);

    /// The call ended with a whole answer, kept for the retention time.
    void finish(const std::string& key, CallOutcome, Duration retention, Instant now);

    /// The call was given up after it may have reached the backend server.
    void finishUnknown(const std::string& key, Duration retention, Instant now);

    /// The call surely did not reach the backend server. Until refusalHold has passed no attempt with the key runs.
    void refuse(const std::string& key, Instant now);

    const CallOutcome* outcome(const std::string& key) const;
    /// Instant from which a refused key may be sent again; now if it may be at once.
    Instant retryAt(const std::string& key, Instant now) const;

    /// Instant from which a key with this creation time does not claim to be made in the future.
    Instant takenAt(int64_t createdMs) const;

    size_t size() const { return entries_.size(); }
    size_t bytes() const { return bytes_; }

    /// Wall time in ms by this incarnation's count.
    int64_t wallMs(Instant now) const;

private:
    enum class State { Running, Finished, Unknown, Refused };

    struct Entry {
        State state = State::Running;
        uint64_t fingerprint = 0;
        int64_t createdMs = 0;
        Instant keepUntil = never;
        size_t bytes = 0;
        CallOutcome outcome;
    };

    struct Expiry {
        Instant instant;
        std::string key;

        auto operator<=>(const Expiry&) const = default;
    };

    void forgetOld(Instant now);
    void end(const std::string& key, State, Instant keepUntil);

    int64_t startedWallMs_;
    Instant startedAt_;
    size_t maxBytes_;
    size_t bytes_ = 0;
    int64_t lowWaterMs_;
    std::unordered_map<std::string, Entry> entries_;
    std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> expiries_;
};

} // namespace endiveroad
