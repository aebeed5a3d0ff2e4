#pragma once

#include "io/CrashGuard.h"
#include "io/HttpServer.h"
#include "io/entry/AgentDirectory.h"

#include <endiveroad_types.h>

namespace endiveroad::io {

/// Forwards callers' HTTP requests, to services and to models, to the agents of a pool, and returns their answers.
/// Retries idempotent calls at other agents. A call that is not idempotent needs an idempotency key and goes only to
/// the home agent of that key.
class CallRouter {
public:
    /// Header with the caller's time limit in ms. A limit above the pool's timeout is lowered to it.
    static constexpr std::string_view timeoutHeader = "Endiveroad-Timeout-Ms";
    static constexpr std::string_view keyHeader = "Idempotency-Key";
    /// Header with the wall time in ms at which the caller created its key.
    static constexpr std::string_view keyCreatedHeader = "Idempotency-Key-Created-Ms";

    /// Header with the id of the call. The entry takes it from the caller's request or creates one, and returns it with
    /// the answer. In the request to the backend server it holds the id that the entry gave to this attempt instead.
    static constexpr std::string_view requestIdHeader = "X-Request-Id";

    /// Retry-After of a call that failed at the agents, if the agent gave none, and of this entry's own errors with
    /// status 503.
    static constexpr Duration retryAfter = std::chrono::milliseconds(500);

    CallRouter(AgentDirectory&, CrashGuard&, std::string entryName, int64_t incarnation, std::string failureDomain);

    /// Runs a caller's call on a pool and sends the answer. Target is the path and query for the backend server.
    asio::awaitable<void> route(HttpExchange&, std::string pool, std::string target);

    /// Sends an idempotent call of the entry's own, such as a scoring call, to any agent of the pool. Throws an Error
    /// if no backend server answers it.
    asio::awaitable<HttpResponse> callAny(std::string pool, HttpRequest, Instant deadline);

private:
    struct Call;
    struct AttemptResult;

    /// Sends a call that is not idempotent to the home agent of its idempotency key, once.
    asio::awaitable<HttpResponse> callHomeAgent(const PoolDeclaration&, Call, Instant deadline);
    /// Like callReplicas(), but cancels the call if the caller disconnects.
    asio::awaitable<HttpResponse> callCancellable(HttpExchange&, const PoolDeclaration&, Call, Instant deadline);
    /// Sends an idempotent call to a replica with a free slot, and retries as CallAttempts decides.
    asio::awaitable<HttpResponse> callReplicas(const PoolDeclaration&, Call, Instant deadline);
    asio::awaitable<AttemptResult> callAgent(std::string agent, Call, Instant deadline);
    /// Fills the result from an agent's answer.
    static void recordAnswer(wire::CallAnswer, AttemptResult&);
    std::string nextRequestId();
    /// Time until the end of the content's block.
    Duration remainingBlock(const ContentId&) const;

    AgentDirectory& agents_;
    CrashGuard& crashGuard_;
    std::string entryName_;
    std::string failureDomain_;
    int64_t incarnation_;
    uint64_t nextRequest_ = 1;
};

} // namespace endiveroad::io
