#pragma once

#include "io/CrashGuard.h"
#include "io/HttpClient.h"
#include "io/PeerConnection.h"

#include <boost/asio/steady_timer.hpp>
#include <endiveroad/CallAdmission.h>
#include <endiveroad/Settings.h>
#include <endiveroad_types.h>
#include <map>

namespace endiveroad::io {

/// Runs calls on the agent's backend server. CallAdmission decides which; a call that is not idempotent runs at most
/// once per idempotency key.
class CallRunner {
public:
    /// Largest lead of a caller's clock that is waited out: a call whose key was created in the future waits until its
    /// creation time, and is refused if that is further ahead than this.
    static constexpr Duration maxClockLead = std::chrono::seconds(2);

    CallRunner(HttpClient&, CrashGuard&, Admission&, std::string agent, Address server, int64_t startedWallMs);

    /// Applies the declaration of the agent's pool in a settings revision.
    void onPool(const PoolDeclaration&, int64_t revision);

    /// A peer has had the revision in force since the given instant.
    void onInForceSince(int64_t revision, Instant since) { admission_.onInForceSince(revision, since); }

    /// Runs or refuses the call. Errors of the call are returned in the answer, not thrown. A cancellation ends a call
    /// without a key; one with a key continues, because its outcome is stored for repeats.
    asio::awaitable<wire::CallAnswer> run(wire::CallRequest, Instant deadline, PeerCancellationPtr cancellation);

private:
    asio::awaitable<wire::CallAnswer> runAdmitted(const wire::CallRequest&, const CallMetadata&, PeerCancellationPtr);
    /// Waits until the running attempt with the same key ends, or until the deadline.
    asio::awaitable<void> waitForRunningAttempt(const CallMetadata&);
    void wakeWaiters(const std::string& key);
    /// Answer to a call that does not run: the stored outcome of its key, or an error.
    wire::CallAnswer answerWithoutRun(const CallMetadata&, const CallDecision&) const;

    ServerAttempt attemptOf(const wire::CallRequest&) const;

    HttpClient& http_;
    CrashGuard& crashGuard_;
    Address server_;
    CallAdmission admission_;
    /// Timers of the repeats that wait for the running attempt with their key; cancelled when it ends.
    std::multimap<std::string, asio::steady_timer*> waiters_;
};

} // namespace endiveroad::io
