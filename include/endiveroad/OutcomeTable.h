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

/// Complete answer to a call, stored for later attempts with its idempotency key.
struct CallOutcome {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    auto operator<=>(const CallOutcome&) const = default;

    /// Memory used by the outcome, in bytes.
    size_t bytes() const;
};

/// An idempotency key as the caller sent it.
struct CallKey {
    std::string text;
    /// Hash of the request's content; the same key with another hash is a conflict.
    uint64_t fingerprint = 0;
    /// Wall time in ms at which the caller created the key; 0 if it did not say.
    int64_t createdMs = 0;

    auto operator<=>(const CallKey&) const = default;
};

/// Outcomes of non-idempotent calls by idempotency key, held by the home agent of the keys. At most one call per key
/// runs.
///
/// The table does not know the keys of earlier incarnations of the agent, nor those whose outcome has expired. A
/// low-water mark covers both: no key created up to the mark runs. Wrong clocks of callers do no harm, because a key
/// whose creation time lies in the future does not run either.
///
/// An earlier incarnation may have run keys created up to futureTolerance after its latest wallMs(). They do not lie
/// above the mark if the wall clock of this host, at the start of an incarnation, is at most clockMargin -
/// futureTolerance behind the latest wallMs() of any earlier one. This is the only requirement on clocks. Within an
/// incarnation the table counts time on the monotonic clock, so steps of the wall clock have no effect.
class OutcomeTable {
public:
    enum class Verdict {
        Run,
        /// An earlier attempt with the key still runs.
        Wait,
        /// The answer to an earlier attempt is stored; see outcome().
        Replay,
        /// The key was used before with other content.
        Conflict,
        /// The key may have run, or there is not even memory left to register it as refused. This attempt does not run.
        Unknown,
        /// The key was refused less than refusedKeyBlockTime ago. Attempts sent before the refusal may still arrive and
        /// must not run, so every attempt is refused; each refusal extends the block.
        AlreadyRefused,
        /// The key's creation time lies in the future; no attempt with it runs.
        CreatedInFuture,
        /// No memory for another outcome: the key is refused, and no attempt with it runs until refusedKeyBlockTime has
        /// passed.
        Full,
    };

    /// At a start the low-water mark is this far ahead of the wall clock. Keys created up to the mark get Unknown, also
    /// those created shortly after the start.
    static constexpr Duration clockMargin = std::chrono::milliseconds(200);
    /// A creation time may be this far ahead of the clock of this host.
    static constexpr Duration futureTolerance = std::chrono::milliseconds(100);
    /// Time for which a refused key stays blocked. Must exceed the longest time that an attempt may be in transit from
    /// entry to agent. The connections bound it: they reject requests older than PeerConnection::maxRequestAge.
    static constexpr Duration refusedKeyBlockTime = std::chrono::milliseconds(3500);
    static constexpr size_t defaultMaxBytes = 32U << 20;
    /// Largest single answer that is stored. Later attempts with the key of a larger one get Unknown.
    static constexpr size_t maxOutcomeBytes = 1U << 20;

    /// startedWallMs is the wall time of the host at startedAt. Refused keys may use an eighth of maxBytes in addition.
    OutcomeTable(int64_t startedWallMs, Instant startedAt, size_t maxBytes = defaultMaxBytes);

    /// Decides what to do with a call; Run registers the key as running. Keys created up to uncertainUntilMs get
    /// Unknown unless the table holds them. A key without a creation time counts as created one retention time ago:
    /// recent enough not to lie below a mark that an expired key raised, but it gets Unknown until one retention time
    /// has passed since the mark of the start.
    Verdict begin(const CallKey&, int64_t uncertainUntilMs, Duration retention, Instant now);

    /// The backend server answered the call completely. The answer is stored for the retention time, or not at all if
    /// it is too large or there is no memory; then later attempts with the key get Unknown. Like finishUnknown() and
    /// refuse(), requires that begin() has registered the key; throws std::out_of_range otherwise.
    void finish(const std::string& key, CallOutcome, Duration retention, Instant now);

    /// The call ended without a complete answer but may have reached the backend server.
    void finishUnknown(const std::string& key, Duration retention, Instant now);

    /// The call certainly did not reach the backend server. No attempt with the key runs until refusedKeyBlockTime has
    /// passed.
    void refuse(const std::string& key, Instant now);

    const CallOutcome* outcome(const std::string& key) const;
    /// Earliest time at which a call with a refused key may be sent again; now if the key is not blocked.
    Instant retryAt(const std::string& key, Instant now) const;

    /// Time from which a key with this creation time is no longer CreatedInFuture.
    Instant acceptableFrom(int64_t createdMs) const;

    size_t size() const { return entries_.size(); }
    size_t bytes() const { return bytes_; }

    /// Wall time in ms, counted on the monotonic clock since the start.
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

    void removeExpired(Instant now);
    void setEnded(const std::string& key, State, Instant keepUntil);

    int64_t startedWallMs_;
    Instant startedAt_;
    size_t maxBytes_;
    size_t bytes_ = 0;
    int64_t lowWaterMarkMs_;
    std::unordered_map<std::string, Entry> entries_;
    std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> expiries_;
};

} // namespace endiveroad
