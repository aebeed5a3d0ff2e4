#pragma once

#include "io/HttpServer.h"
#include "io/hosted/BatchGateway.h"
#include "io/hosted/HostedNode.h"
#include "io/hosted/ServiceCaller.h"
#include "io/hosted/StreamProxy.h"
#include "io/hosted/UsageReporter.h"

#include <endiveroad/DrainSchedule.h>
#include <optional>

/// Entry on a shared platform. It forwards service calls directly to a backend server and operations on batch jobs to a
/// coordinator, and has no persistent state.
namespace endiveroad::io {

class HostedEntry : public HostedNode, private CoordinatorConnections, private StreamOriginSources, private UsagePeers {
public:
    /// Delay after which a caller is told to try again if its request was not run.
    static constexpr Duration retryAfter = std::chrono::milliseconds(500);

    /// Time before a caller's deadline at which it gets an error answer, so that the error arrives in time.
    static constexpr Duration answerMargin = std::chrono::milliseconds(20);

    /// Time before the end of the drain at which requests are answered whose handlers have not done so.
    static constexpr Duration lastAnswerTime = std::chrono::milliseconds(100);

    HostedEntry(std::unique_ptr<Platform>, HostedOptions);

private:
    /// Answers the platform's readiness probe.
    class ReadinessHandler;
    /// Handles callers' requests.
    class CallerHandler;

    void start() override;
    asio::awaitable<void> drain() override;
    void onDirectoryChanged(const Directory& before, const Directory& current) override;
    void onNodeNotice(const PeerConnectionPtr&, const PeerMessage&) override;
    std::vector<Gauge> gauges() const override;

    std::vector<std::string> coordinators() const override { return activePeers(HostedRole::Coordinator); }
    bool isConnected(const std::string& coordinator) const override { return peer(coordinator) != nullptr; }
    bool areNoneRegistered() const override { return directorySync().areNoCoordinatorsRegistered(); }
    asio::awaitable<std::string> callCoordinator(
        std::string coordinator, std::string payload, Instant deadline, PeerCancellationPtr) override;

    void onPeerUp(const PeerConnectionPtr&) override;
    void onPeerDown(const std::string&) override { resumptions_.onCoordinatorsChanged(); }

    const std::string& ownName() const override { return settings().name; }
    std::vector<std::string> originKeepers() const override { return coordinators(); }
    void sendOrigins(const std::string& coordinator, const std::string& notice) override;
    void sendUsage(const std::string& coordinator, const wire::UsageNotice&) override;
    asio::awaitable<std::string> askOrigin(std::string coordinator, std::string query, Instant deadline) override;

    asio::awaitable<void> serve(HttpExchange&);
    /// Refuses streams that cannot end before this process does. An empty optional for those that may begin.
    std::optional<Error> streamRefusal(Instant deadline) const;
    /// Asked before a stream with this deadline is sent to a server.
    StreamAuthorisation streamAuthorisation(Authorisation, Instant deadline) const;
    /// Waits until the callers have closed all connections or the instant.
    asio::awaitable<void> awaitNoConnections(Instant until);
    /// True if the request needs the API key of an organisation.
    static bool needsKey(const CallerRequest&, const RouteDeclaration* matched, const RoutingTable&);
    /// Name of the organisation that holds the key with this digest. Throws KeyRefusedError, or NotReadyError if the
    /// configuration has not been confirmed for too long.
    std::string authenticate(const std::string& keyDigest) const;
    /// Authorises attempts for as long as the organisation holds the key with this digest.
    Authorisation authorisationOf(std::string keyDigest, std::string organisation) const;
    asio::awaitable<HttpResponse> serveCall(const CallerRequest&, const RouteDeclaration&, ReplicaRequest,
        Instant deadline, PeerCancellationPtr, Authorisation);
    asio::awaitable<HttpResponse> serveBatch(wire::BatchCall&, Instant deadline, PeerCancellationPtr, Authorisation);
    /// True if the request is or may be an operation on a batch job that no route of the configuration declares: a job
    /// outlives its route. Operations are recognised by their form, a repeated submission by the job's id.
    bool mayConcernJob(const CallerRequest&, const HttpQuery&, const RouteDeclaration* matched) const;
    /// Has a coordinator carry the operation out. Nothing if there is no such job and the request may be meant for the
    /// backend servers of the route that it matches.
    asio::awaitable<std::optional<HttpResponse>> serveJob(const CallerRequest&, const HttpQuery&,
        const RouteDeclaration* matched, const std::string& organisation, Instant deadline, PeerCancellationPtr,
        Authorisation);
    /// The answer to the caller of an operation on a job.
    HttpResponse encodeAnswer(const std::string& job, wire::BatchAnswer) const;
    /// Counts and logs the failure and returns the error answer, which tells the caller to try again after the delay;
    /// zero for no hint.
    HttpResponse encodeFailure(const CallerRequest&, const Error&, Duration retryDelay);
    bool isReady() const;

    std::unique_ptr<io::HttpHandler> readinessHandler_;
    std::unique_ptr<io::HttpHandler> callerHandler_;
    std::unique_ptr<HttpServer> readinessServer_;
    std::unique_ptr<HttpServer> callerServer_;
    ServiceCaller serviceCaller_;
    StreamResumptions resumptions_;
    StreamProxy streamProxy_;
    BatchGateway gateway_;
    /// Null if usage is not reported.
    std::unique_ptr<UsageReporter> usageReporter_;
    bool wasReady_ = false;
    /// Set once the process has been told to stop.
    std::optional<DrainSchedule> drainSchedule_;
};

} // namespace endiveroad::io
