#pragma once

#include <cstdint>
#include <endiveroad/Admission.h>
#include <endiveroad/DuplicateDetector.h>
#include <endiveroad/KeyHomes.h>
#include <endiveroad/OutcomeTable.h>
#include <endiveroad/RequestId.h>
#include <optional>
#include <string>

namespace endiveroad {

/// The properties of a call by which an agent decides whether to run it.
struct CallMetadata {
    RequestId id;
    /// Idempotency key; set only for a call that is not idempotent.
    std::optional<CallKey> key;
    Instant deadline = never;

    auto operator<=>(const CallMetadata&) const = default;
};

/// An agent's decision on a call.
struct CallDecision {
    enum class Verdict {
        Run,
        /// An earlier attempt with the key still runs; call resume() when it has ended.
        Wait,
        /// Answer with the stored outcome of the key.
        Replay,
        /// The key was used before with other content.
        Conflict,
        /// The key's creation time lies in the future; call resume() at retryAt, or refuse the call.
        CreatedInFuture,
        /// Neither the call nor any earlier attempt with its key has run or will run.
        NotRun,
        /// This attempt does not run. The agent cannot rule out that an earlier attempt with its key or another copy of
        /// the same request has run or will run.
        Unknown,
    };

    Verdict verdict = Verdict::Unknown;
    Refusal refusal = Refusal::None;
    /// Earliest time at which the call may be sent again, or decided again after CreatedInFuture.
    Instant retryAt = never;

    auto operator<=>(const CallDecision&) const = default;
};

/// Decides which calls an agent runs on its backend server. Only the home agent of a key (KeyHomes) may report that a
/// call with this key was not run, and only while it refuses every attempt with the key that may still be in transit.
class CallAdmission {
public:
    /// Time after which a call may be sent again that was refused, is a duplicate or did not reach the home of its key.
    static constexpr Duration retryDelay = std::chrono::milliseconds(500);

    /// startedWallMs is the wall time of the host at startedAt. The Admission also serves other kinds of work; calls
    /// are its interactive requests. maxTableBytes limits the memory of the OutcomeTable.
    CallAdmission(Admission&, std::string self, int64_t startedWallMs, Instant startedAt,
        size_t maxTableBytes = OutcomeTable::defaultMaxBytes);

    /// See KeyHomes.
    void onReplicas(std::vector<std::string> names, int64_t revision, Instant now);
    void onInForceSince(int64_t revision, Instant since);
    void setOutcomeRetention(Duration retention) { retention_ = retention; }

    /// Decides on a call that has just arrived. Run takes a slot, which one of the finish functions gives back.
    CallDecision begin(const CallMetadata&, Instant now);

    /// Decides again on a call for which the last decision was Wait or CreatedInFuture.
    CallDecision resume(const CallMetadata&, Instant now);

    /// The backend server answered the call completely.
    void finish(const CallMetadata&, CallOutcome, Instant now);

    /// The backend server may have begun the call, but no complete answer arrived.
    void finishUnknown(const CallMetadata&, Instant now);

    /// The backend server certainly did not receive the call.
    void finishNotRun(const CallMetadata&, Instant now);

    /// Stored answer of a key, or null.
    const CallOutcome* outcome(const std::string& key) const { return outcomes_.outcome(key); }

    const OutcomeTable& outcomes() const { return outcomes_; }

private:
    CallDecision decideKeyed(const CallMetadata&, Instant now);
    CallDecision admit(const CallMetadata&, Instant now);

    Admission& admission_;
    DuplicateDetector duplicateDetector_;
    OutcomeTable outcomes_;
    KeyHomes homes_;
    Duration retention_ = std::chrono::minutes(10);
};

} // namespace endiveroad
