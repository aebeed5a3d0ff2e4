#pragma once

#include "io/HttpClient.h"

#include <boost/asio/steady_timer.hpp>
#include <endiveroad/Admission.h>
#include <endiveroad/OutcomeTable.h>
#include <endiveroad/Settings.h>
#include <endiveroad_types.h>

/// Runs calls on the backend server beside the agent; non-idempotent ones at most once per key.
namespace endiveroad::io {

class CallRunner {
public:
    static constexpr Duration clockMargin = std::chrono::milliseconds(200);
    static constexpr Duration repeatPoll = std::chrono::milliseconds(10);
    static constexpr int32_t retryAfterMs = 500;

    CallRunner(HttpClient&, Admission&, Address server, int64_t startedWallMs);

    void onPolicy(const CallPolicy& policy) { policy_ = policy; }

    /// Runs or refuses the call; never throws an Error for what happens to the call itself.
    asio::awaitable<wire::CallAnswer> run(wire::CallRequest, Instant deadline);

private:
    asio::awaitable<wire::CallAnswer> runKeyed(wire::CallRequest, Instant deadline);
    asio::awaitable<wire::CallAnswer> runAdmitted(const wire::CallRequest&, Instant deadline);
    asio::awaitable<wire::CallAnswer> waitForOutcome(const wire::CallRequest&, Instant deadline);

    HttpClient& http_;
    Admission& admission_;
    Address server_;
    CallPolicy policy_;
    OutcomeTable outcomes_;
};

} // namespace endiveroad::io
