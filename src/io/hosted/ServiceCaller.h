#pragma once

#include "io/PeerConnection.h"
#include "io/hosted/Protocol.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <endiveroad/Directory.h>
#include <endiveroad/ServerLoads.h>
#include <functional>
#include <memory>
#include <set>
#include <string>

/// Calls of plain services, over kept connections straight to their servers.
namespace endiveroad::io {

namespace asio = boost::asio;

/// What became of a call.
struct ServiceResult {
    /// The server's answer; nothing if none may be handed on.
    std::optional<HttpResponse> response;
    std::string stamp;
    /// Some server may have begun to run it, though no answer came.
    bool mayHaveRun = false;
    /// The caller has gone.
    bool isCancelled = false;
    int32_t attempts = 0;
    /// Ids of the servers that were tried, in order, separated by spaces.
    std::string servers;
    /// Answers of 500 among the attempts.
    int32_t serverErrors = 0;
    /// Why there is no answer.
    std::string reason;
};

/// Tries servers of a route's services one after the other. A request of an idempotent route goes to a second server
/// when the first one is slow, and to another one after a failure; any other request goes on only after a server has
/// surely not run it.
class ServiceCaller {
public:
    /// Share of the route's objective after which an idempotent request is sent to a second server as well.
    static constexpr int hedgeDivisor = 2;

    /// Pause before servers that refused are asked again.
    static constexpr Duration refusedPause = std::chrono::milliseconds(25);

    static constexpr Duration connectTimeout = std::chrono::milliseconds(250);

    using DirectorySource = std::function<std::shared_ptr<const Directory>()>;

    ServiceCaller(asio::io_context&, HttpClient&, const ReplicaProtocol&, DirectorySource, uint64_t seed);

    /// The request's server and patience are filled in here.
    asio::awaitable<ServiceResult> call(
        RouteDeclaration, ReplicaRequest, Instant deadline, PeerCancellationPtr cancellation);

    /// A ready server of the route's services that has not been tried; nothing if there is none.
    std::optional<ServerRecord> chooseServer(const RouteDeclaration&, const std::set<std::string>& tried);

    /// Drops what is known of servers that are gone.
    void onDirectory(const Directory&);

private:
    class Race;

    const std::string& chooseService(const RouteDeclaration&);
    void startAttempt(const std::shared_ptr<Race>&, const ServerRecord&);
    asio::awaitable<void> attempt(std::shared_ptr<Race>, ServerRecord, HttpCancellation*);
    void finishAttempt(Race&, const ServerRecord&, HttpResponse, Instant startedAt);

    asio::io_context& context_;
    HttpClient& http_;
    const ReplicaProtocol& protocol_;
    DirectorySource directory_;
    ServerLoads loads_;
    std::minstd_rand random_;
};

} // namespace endiveroad::io
