#pragma once

#include "io/HttpServer.h"
#include "io/hosted/BatchGateway.h"
#include "io/hosted/HostedNode.h"
#include "io/hosted/ServiceCaller.h"
#include "io/hosted/StreamPass.h"

/// Takes callers' requests on a shared platform: calls of plain services go straight to a server, operations on batch
/// jobs to a coordinator. Keeps nothing that has to last.
namespace endiveroad::io {

class HostedEntry : public HostedNode, private CoordinatorConnections {
public:
    /// Hint to callers that were refused because nothing could serve them at the moment.
    static constexpr Duration retryAfter = std::chrono::milliseconds(500);

    /// Time before a caller's deadline at which it is told that there is no answer.
    static constexpr Duration answerMargin = std::chrono::milliseconds(20);

    /// Time after SIGTERM during which callers may still open connections: the platform takes some to notice.
    static constexpr Duration lingerTime = std::chrono::milliseconds(3300);

    /// Part of the grace time that is left unused.
    static constexpr Duration graceMargin = std::chrono::milliseconds(500);

    HostedEntry(std::unique_ptr<Platform>, HostedOptions);

private:
    /// Serves the platform's question whether this process wants callers.
    class Readiness;
    /// Serves callers.
    class Callers;

    void start() override;
    asio::awaitable<void> drain() override;
    void onDirectoryChanged(const Directory& before, const Directory& present) override;
    void onNodeNotice(const PeerConnectionPtr&, const PeerMessage&) override;
    std::vector<Gauge> gauges() const override;

    std::vector<std::string> coordinators() const override { return peersOf(HostedRole::Coordinator); }
    PeerConnectionPtr coordinator(const std::string& name) const override { return peer(name); }

    asio::awaitable<void> serve(HttpExchange&);
    asio::awaitable<HttpResponse> serveCall(
        const HttpQuery&, const CallerRequest&, const RouteDeclaration&, Instant deadline, PeerCancellationPtr);
    asio::awaitable<HttpResponse> serveBatch(wire::BatchCall, Instant deadline, PeerCancellationPtr);
    HttpResponse refuse(const CallerRequest&, const Error&, Duration hint);
    bool isReady() const;

    std::unique_ptr<io::HttpHandler> readiness_;
    std::unique_ptr<io::HttpHandler> callers_;
    std::unique_ptr<HttpServer> readinessServer_;
    std::unique_ptr<HttpServer> callerServer_;
    ServiceCaller services_;
    StreamPass streams_;
    BatchGateway gateway_;
    bool wasReady_ = false;
};

} // namespace endiveroad::io
