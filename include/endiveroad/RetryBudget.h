#pragma once

#include <cstddef>
#include <endiveroad/Time.h>

/// Limits further copies of calls to a service that is overloaded.
namespace endiveroad {

/// Load pattern: answers take longer because a service is full, so that each call is hedged and the copies take the
/// capacity that other calls wait for. Without overload hedges are not limited.
class RetryBudget {
public:
    /// Repeats for each first attempt while the service is overloaded.
    static constexpr double share = 0.1;

    /// Most repeats that earlier first attempts allow.
    static constexpr double most = 10;

    /// Time after a call has waited in which the service counts as overloaded.
    static constexpr Duration overloadTime = std::chrono::seconds(1);

    /// A call was sent that may not have run before.
    void onFirstAttempt();

    /// A call was sent that has or may have run before, as a hedge or a retry.
    void onRepeat();

    /// A call waits for the service.
    void onWaiting(Instant now);

    /// Whether a call without an answer may be sent to one more server while so many others wait.
    bool mayHedge(size_t waitingCalls, Instant now) const;

private:
    double repeats_ = most;
    Instant overloadedUntil_ = Instant::min();
};

} // namespace endiveroad
