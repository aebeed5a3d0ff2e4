#pragma once

#include <cstdint>
#include <endiveroad/Admission.h>
#include <endiveroad/KeyHomes.h>
#include <endiveroad/OutcomeTable.h>
#include <endiveroad/RequestId.h>
#include <endiveroad/RequestWindow.h>
#include <optional>
#include <string>

namespace endiveroad {

/// What an agent has to know of a call to decide on it.
struct CallDemand {
    RequestId id;
    /// Set for a call that is not idempotent.
    std::optional<CallKey> key;
    Instant deadline = never;

    auto operator<=>(const CallDemand&) const = default;
};

/// What an agent does with a call.
struct CallDecision {
    enum class Verdict {
        Run,
        /// The first attempt with the key still runs; ask again with resume() once it has ended.
        Wait,
        /// Answer with the kept outcome of the key.
        Replay,
        /// The key was used with another content.
        Conflict,
        /// The key claims to be made in the future; ask again with resume() at retryAt, or refuse the call.
        TooNew,
        /// The call, and every earlier attempt with its key, has not run and will not.
        NotRun,
        /// The call or an earlier attempt may have run.
        Unknown,
    };

    Verdict verdict = Verdict::Unknown;
    Refusal refusal = Refusal::None;
    /// When a refused call may be sent again.
    Instant retryAt = never;

    auto operator<=>(const CallDecision&) const = default;
};

/// Decides at an agent which calls run on its backend server. "Not run" is told for a key only by its home, and only
/// while no attempt still under way can run.
class CallAdmission {
public:
    /// Time after which a call that found no free slot may be sent again.
    static constexpr Duration retryDelay = std::chrono::milliseconds(500);

    /// startedWallMs: wall time of the host at startedAt. The Admission is shared with other kinds of work.
    CallAdmission(Admission&, std::string self, int64_t startedWallMs, Instant startedAt,
        size_t maxOutcomeBytes = OutcomeTable::defaultMaxBytes);

    void onReplicas(std::vector<std::string> names, int64_t revision, Instant now);
    void onInForceSince(int64_t revision, Instant since);
    void setOutcomeRetention(Duration retention) { retention_ = retention; }

    /// Decides on a call that has just arrived; Run takes a slot, given back by one of the finish functions.
    CallDecision begin(const CallDemand&, Instant now);

    /// Decides again on a call that was told to wait or that its key is too new.
    CallDecision resume(const CallDemand&, Instant now);

    /// The call ended with a whole answer.
    void finish(const CallDemand&, CallOutcome, Instant now);

    /// The backend server may have begun the call, but its answer did not come whole.
    void finishUnknown(const CallDemand&, Instant now);

    /// The backend server surely did not get the call.
    void finishNotRun(const CallDemand&, Instant now);

    /// Kept answer of a key, or null.
    const CallOutcome* outcome(const std::string& key) const { return outcomes_.outcome(key); }

    const OutcomeTable& outcomes() const { return outcomes_; }

private:
    CallDecision decideKeyed(const CallDemand&, Instant now);
    CallDecision admit(const CallDemand&, Instant now);

    Admission& admission_;
    RequestWindow window_;
    OutcomeTable outcomes_;
    KeyHomes homes_;
    Duration retention_ = std::chrono::minutes(10);
};

} // namespace endiveroad
