#pragma once

#include "io/CrashGuard.h"
#include "io/PeerConnection.h"
#include "io/hosted/Authorisation.h"
#include "io/hosted/Protocol.h"
#include "io/hosted/ServerChooser.h"
#include "io/hosted/ServerClient.h"
#include "io/hosted/ServerRunListener.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <endiveroad/Directory.h>
#include <endiveroad/Error.h>
#include <endiveroad/RetryBudget.h>
#include <endiveroad/WaitingCalls.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

/// Calls to backend servers whose answers are not streamed, sent directly over persistent connections. Also chooses the
/// servers for StreamProxy.
namespace endiveroad::io {

namespace asio = boost::asio;

/// The servers are full, and the calls that wait take longer than the request has.
class ServersFullError : public NotRunError {
public:
    ServersFullError(const std::string& detail, Instant retryAt)
        : NotRunError(detail)
        , retryAt_(retryAt)
    {
    }

    Instant retryAt() const { return retryAt_; }

private:
    Instant retryAt_;
};

/// The servers that one request has been sent to, by id.
struct TriedServers {
    /// Tried again only if mayTryAgain is set and no other has room.
    std::set<std::string> any;
    bool mayTryAgain = true;
    /// Answered that they will not run this request; never tried again.
    std::set<std::string> misdirected;

    auto operator<=>(const TriedServers&) const = default;
};

/// Outcome of a call.
struct ServiceResult {
    /// The server's answer; nothing if there is none to return to the caller.
    std::optional<HttpResponse> response;
    /// ReplicaAnswer::stamp of the answer.
    std::string stamp;
    /// A server may have run the call, wholly or in part.
    bool mayHaveRun = false;
    ContentId content;
    /// No server can take the call in time; when it is worth sending again. Nothing if that is not known.
    std::optional<Instant> retryAt;
    /// The content is blocked until then, so it was not sent to any further server.
    std::optional<Instant> blockedUntil;
    /// The request was no longer authorised when an attempt was due, so it was not sent again.
    std::optional<Error> refusal;
    /// The caller has disconnected.
    bool isCancelled = false;
    int32_t attempts = 0;
    /// Ids of the servers that were tried, in order, separated by spaces.
    std::string servers;
    /// Number of attempts that were answered with status 500.
    int32_t serverErrors = 0;
    /// Reason of the last failed attempt.
    std::string reason;
};

/// Sends a request to the servers of a route's services until one answers. A request of an idempotent route is also
/// sent to one more server each time an answer takes too long, up to the route's maxAttempts, and is retried after a
/// failure. Any other request is retried
/// only if the server has certainly not run it.
class ServiceCaller {
public:
    /// An idempotent request without an answer is sent to one more server each time the route's latency objective
    /// divided by this has passed.
    static constexpr int hedgeDivisor = 2;

    /// Longest time between two looks for a server by a call that waits for one.
    static constexpr Duration waitInterval = ServerLoads::refusalPause;

    static constexpr Duration connectTimeout = std::chrono::milliseconds(250);

    using DirectorySource = ServerChooser::DirectorySource;

    ServiceCaller(asio::io_context&, ServerClient&, RequestLimits&, CrashGuard&, DirectorySource, uint64_t seed);

    /// Null for none. The listener is told of the calls that servers run.
    void setRunListener(ServerRunListener* listener) { runListener_ = listener; }

    /// Sets the request's server and timeout for each attempt. An attempt that was sent before the authorisation ended
    /// is finished. The answer is wanted by `objectiveAt`; if that is not given, within the route's latency objective.
    asio::awaitable<ServiceResult> call(RouteDeclaration, ReplicaRequest, Instant deadline,
        PeerCancellationPtr cancellation, ContentKind, Authorisation,
        std::optional<Instant> objectiveAt = std::nullopt);

    /// Waits for a server that has room for one run of a request. Nothing if there is none by the deadline or when the
    /// request is cancelled, if no ready server is left for it, or if the content is blocked. Throws ServersFullError
    /// if none can take the request in time, and the error of the authorisation if that has ended. If a software
    /// version is given, only servers that run it count.
    asio::awaitable<std::optional<ChosenServer>> obtainServer(RouteDeclaration, ReplicaRequest, TriedServers,
        std::optional<SoftwareVersion>, Instant deadline, PeerCancellationPtr, Authorisation);

    /// A server could not be reached.
    void onUnreachable(const std::string& server);

    /// Permits may have come for limited servers.
    void onPermit();

    /// True if a server of one of the route's services takes new requests.
    bool hasReadyServer(const RouteDeclaration&) const;
    /// True if a server other than `except` with this software does.
    bool hasReadyServer(const RouteDeclaration&, const SoftwareVersion&, const std::string& except = {}) const;

    /// Wakes the queued calls whose authorisation has ended, so that they are refused.
    void onAuthorisationsChanged();

    /// Removes the load records of servers that are no longer registered.
    void onDirectory(const Directory&);

private:
    class CallState;

    using CallStatePtr = std::shared_ptr<CallState>;

    ServerDemand demandOf(const CallState&) const;

    /// Server for the next attempt, if one may start now and a server is free to be tried.
    std::optional<ChosenServer> chooseNext(CallState&);

    /// Waits until a server may have room for the call, it is cancelled or its deadline has passed.
    asio::awaitable<void> awaitServer(CallStatePtr);

    /// Ends the calls in the queue of this one that cannot be answered in time. isNewcomer: this one has just begun to
    /// wait.
    void turnAwayHopeless(const CallState&, bool isNewcomer);

    /// Whether a call with an attempt under way may be sent to one more server.
    bool mayHedge(const CallState&);

    void leaveQueue(const CallStatePtr&);

    /// A call has left a server or the queue, so the first one that waits may go.
    void wakeFirst(const std::string& queue);

    /// True if a ready server of the route may still be tried.
    bool hasUsableServer(const CallState&) const;

    void startAttempt(const std::shared_ptr<CallState>&, const ChosenServer&);
    asio::awaitable<void> attempt(std::shared_ptr<CallState>, ChosenServer, HttpCancellation*);
    asio::awaitable<void> processFailure(
        std::shared_ptr<CallState>, ServerRecord, std::string failure, bool wasSent, Instant startedAt);
    void finishAttempt(CallState&, const ServerRecord&, HttpResponse, Instant startedAt);

    asio::io_context& context_;
    ServerClient& client_;
    CrashGuard& crashGuard_;
    ServerRunListener* runListener_ = nullptr;
    ServerChooser servers_;
    WaitingCalls waitingCalls_;
    /// By queue. Streams have none, as they are not hedged.
    std::map<std::string, RetryBudget> retryBudgets_;
    /// The calls in waitingCalls_.
    std::map<CallTicket, CallStatePtr> waiting_;
};

} // namespace endiveroad::io
