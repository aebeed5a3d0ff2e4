#pragma once

#include "io/HttpClient.h"
#include "io/PeerConnection.h"

#include <boost/asio/steady_timer.hpp>
#include <endiveroad/CallAdmission.h>
#include <endiveroad/Settings.h>
#include <endiveroad_types.h>
#include <map>

/// Runs calls on the backend server beside the agent; non-idempotent ones at most once per key.
namespace endiveroad::io {

class CallRunner {
public:
    /// Longest time that a call waits here because its key claims to be made in the future.
    static constexpr Duration maxClockLead = std::chrono::seconds(2);

    CallRunner(HttpClient&, Admission&, std::string agent, Address server, int64_t startedWallMs);

    /// Takes the declaration of the agent's pool as of a revision.
    void onPool(const PoolDeclaration&, int64_t revision);

    /// A peer has had the revision in force since the given instant.
    void onInForceSince(int64_t revision, Instant since) { admission_.onInForceSince(revision, since); }

    /// Runs or refuses the call; never throws an Error for what happens to the call itself. A cancellation ends an
    /// idempotent call; one with a key goes on, since its outcome is kept for repeats.
    asio::awaitable<wire::CallAnswer> run(wire::CallRequest, Instant deadline, PeerCancellationPtr cancellation);

private:
    asio::awaitable<wire::CallAnswer> runAdmitted(const wire::CallRequest&, const CallMetadata&, PeerCancellationPtr);
    asio::awaitable<void> waitForRunningAttempt(const CallMetadata&);
    void wakeWaiters(const std::string& key);
    wire::CallAnswer answerWithoutRun(const CallMetadata&, const CallDecision&) const;

    HttpClient& http_;
    Address server_;
    CallAdmission admission_;
    /// Repeats that wait for the first attempt with their key; their timers are cancelled when it ends.
    std::multimap<std::string, asio::steady_timer*> waiters_;
};

} // namespace endiveroad::io
