#pragma once

#include "io/HttpServer.h"
#include "io/Node.h"
#include "io/entry/AgentDirectory.h"
#include "io/entry/CallRouter.h"
#include "io/entry/JobRunner.h"
#include "io/entry/WeightRollout.h"

#include <endiveroad/Route.h>

namespace endiveroad::io {

/// The entry process. Serves callers over HTTP, forwards their calls to agents, and coordinates the rollout jobs that
/// rendezvous hashing assigns to it.
class EntryNode final : public Node, public HttpHandler {
public:
    explicit EntryNode(NodeOptions);

    asio::awaitable<void> onHttp(HttpExchange&) override;

protected:
    void onSettings(std::shared_ptr<const Settings> before, std::shared_ptr<const Settings> inForce) override;
    asio::awaitable<std::string> onNodeRequest(PeerConnectionPtr, PeerMessage) override;
    void onNodeNotice(const PeerConnectionPtr&, const PeerMessage&) override;
    void onPeerHello(const PeerConnectionPtr&, const std::string& role) override;
    void onPeerClosed(const PeerConnectionPtr&) override;
    std::optional<Address> peerAddress(const Settings&) const override;
    std::map<std::string, Address> peerTargets(const Settings&) const override;
    bool wantsStore() const override;
    asio::awaitable<void> drain() override;
    std::string statusJson() const override;
    std::vector<Gauge> nodeGauges() const override;
    std::vector<SurveyTarget> surveyTargets(SurveyScope) const override;

private:
    asio::awaitable<void> handle(HttpExchange&, const Route&);
    asio::awaitable<HttpResponse> respond(HttpQuery, Route);
    /// Answers a request about a job, or forwards it to the job's coordinating entry and answers it only if forwarding
    /// fails. A request that was forwarded to
    /// this entry is always answered here, so that entries with different views of the coordinator do not forward it in
    /// a loop.
    asio::awaitable<HttpResponse> handleJobRequest(HttpQuery, Route, bool isForwarded);
    asio::awaitable<HttpResponse> handleJobRequestLocally(const HttpQuery&, const Route&);
    asio::awaitable<HttpResponse> forward(PeerConnectionPtr, const HttpQuery&);
    HttpResponse announce(const JobDeclaration&, const std::string& body);
    /// Sends the newest announced weights of each pool to a peer.
    void sendPolicies(const PeerConnectionPtr&);
    void onReport(const std::string& pool, const ReplicaReport&);

    /// Name of the entry that coordinates a job: the first by rendezvous hashing over the connected entries and this
    /// one. An entry that is draining does not count itself.
    std::string coordinatingEntry(const std::string& job) const;
    JobRunner& runner(const JobDeclaration&);

    /// True if every pool of this entry's region that declares replicas has a report of at least one agent.
    bool hasReportFromEachPool() const;

    std::unique_ptr<HttpServer> server_;
    AgentDirectory agents_;
    std::unique_ptr<CallRouter> calls_;
    std::unique_ptr<WeightRollout> weightRollout_;
    std::map<std::string, std::unique_ptr<JobRunner>> runners_;
    /// From then on the entry is ready even if hasReportFromEachPool() is false.
    Instant readyWithoutReportsAt_ = never;
};

} // namespace endiveroad::io
