#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Error.h>
#include <endiveroad/Time.h>
#include <optional>

namespace endiveroad {

/// Why an attempt at a call returned no answer from the backend server.
enum class AttemptFailure {
    /// The agent guarantees that the call has not run and will not.
    NotRun,
    /// Like NotRun; the agent refused because the deadline had passed.
    DeadlinePassed,
    /// No byte of the request was sent to the agent, or the agent's connection rejected it as too old. For a keyed call
    /// this is weaker than NotRun, since an earlier attempt may have come through another entry.
    NotSent,
    /// The call may have run.
    Unknown,
};

/// Decides at an entry, after each failed attempt at one call, whether to retry or which error the caller gets.
class CallAttempts {
public:
    enum class Kind {
        /// May run more than once, so the entry may retry at any replica.
        Idempotent,
        /// Runs at most once, only at the home agent of its idempotency key (KeyHomes).
        Keyed,
    };

    static constexpr int maxAttempts = 4;

    CallAttempts(Kind, Instant deadline);

    /// Takes the end of an attempt. Returns the final error, or nothing if the entry shall retry with a new request id.
    std::optional<ErrorCode> onFailure(AttemptFailure, Instant now);

    /// The final error if there is no agent to which the call can be sent.
    ErrorCode errorWithoutAgent() const;

private:
    Kind kind_;
    Instant deadline_;
    int attempts_ = 0;
    bool mayHaveRun_ = false;
};

} // namespace endiveroad
