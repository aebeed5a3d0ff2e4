#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Error.h>
#include <endiveroad/Time.h>
#include <optional>

namespace endiveroad {

/// How an attempt at a call ended without an answer of the backend server.
enum class AttemptEnd {
    /// The agent promises that it has not run and will not.
    NotRun,
    /// As NotRun, because the deadline had passed.
    DeadlinePassed,
    /// No byte of the request was sent to the agent.
    NotSent,
    /// It may have run.
    Unknown,
};

/// An entry's decision after each attempt at one call: repeat it, or which error the caller gets at once.
class CallAttempts {
public:
    enum class Kind {
        /// May run more than once, so any replica will do.
        Idempotent,
        /// Runs at most once, at the home agent of its key.
        Keyed,
    };

    static constexpr int maxAttempts = 4;

    CallAttempts(Kind, Instant deadline);

    /// Returns nothing if the call is to be sent once more, under a new request id, else the final error.
    std::optional<ErrorCode> onEnd(AttemptEnd, Instant now);

    /// The final error when there is no agent to send the call to.
    ErrorCode onNoAgent() const;

private:
    Kind kind_;
    Instant deadline_;
    int attempts_ = 0;
    bool isMaybeRun_ = false;
};

} // namespace endiveroad
