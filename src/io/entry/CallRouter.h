#pragma once

#include "io/HttpServer.h"
#include "io/entry/AgentDirectory.h"

#include <endiveroad_types.h>

/// Calls to plain services and interactive model calls, from a caller's HTTP request to an agent and back.
namespace endiveroad::io {

class CallRouter {
public:
    /// Header with the caller's time limit in ms; the pool's timeout bounds it.
    static constexpr std::string_view timeoutHeader = "Endiveroad-Timeout-Ms";
    static constexpr std::string_view keyHeader = "Idempotency-Key";
    /// Header with the wall time in ms at which the caller made its key.
    static constexpr std::string_view keyCreatedHeader = "Idempotency-Key-Created-Ms";

    /// Header that names the call, towards the caller and from it; the agent names its attempt to the backend server.
    static constexpr std::string_view requestIdHeader = "X-Request-Id";

    static constexpr Duration retryAfter = std::chrono::milliseconds(500);

    CallRouter(AgentDirectory&, std::string entryName, int64_t incarnation, std::string failureDomain);

    /// Routes one call to the pool; target is the path and query towards the backend server.
    asio::awaitable<void> route(HttpExchange&, std::string pool, std::string target);

    /// Sends one call of the entry's own, such as a batch to score, to any agent of the pool.
    asio::awaitable<HttpResponse> callAny(std::string pool, HttpRequest, Instant deadline);

private:
    struct Call;
    struct AttemptResult;

    asio::awaitable<HttpResponse> callHomeAgent(const PoolDeclaration&, Call, Instant deadline);
    asio::awaitable<HttpResponse> callCancellable(HttpExchange&, const PoolDeclaration&, Call, Instant deadline);
    asio::awaitable<HttpResponse> callReplicas(const PoolDeclaration&, Call, Instant deadline);
    asio::awaitable<AttemptResult> callAgent(std::string agent, Call, Instant deadline);
    static void recordAnswer(wire::CallAnswer, AttemptResult&);
    std::string nextRequestId();

    AgentDirectory& agents_;
    std::string entryName_;
    std::string failureDomain_;
    int64_t incarnation_;
    uint64_t nextRequest_ = 1;
};

} // namespace endiveroad::io
