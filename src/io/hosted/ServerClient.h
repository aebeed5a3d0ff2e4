#pragma once

#include "io/HttpClient.h"
#include "io/hosted/Protocol.h"
#include "io/hosted/RequestLimits.h"

#include <set>

/// The only way to send requests to backend servers of a shared platform, whatever they are for. Every request needs a
/// permit, so that no path passes by the limits that servers name, and every answer's head is heard.
namespace endiveroad::io {

/// What the sender wants to know of the start of the server that runs a request. Its software depends on it, and a
/// registration may lag behind a server that starts again under its id.
enum class StartCheck {
    None,
    /// The server is asked for its start.
    Learn,
    /// The request is sent only to the start that is registered; to another one it fails with ServerStartError.
    Require,
};

class ServerClient {
public:
    /// Time for a server's host to accept or refuse a connection.
    static constexpr Duration probeTimeout = std::chrono::milliseconds(100);

    /// Beyond this number, servers that state no start are not told apart from others.
    static constexpr size_t maxSilentStarts = 4096;

    ServerClient(HttpClient&, const ReplicaProtocol&, ServerAnswerListener&, RequestLimits&);

    const ReplicaProtocol& protocol() const { return protocol_; }

    /// HttpClient::request() to the server of the permit.
    asio::awaitable<HttpResponse> request(ServerPermit, Address, HttpRequest, Instant deadline,
        HttpCancellation* = nullptr, HttpClient::OnHead = nullptr);

    /// HttpClient::stream() to the server of the permit.
    asio::awaitable<HttpResponse> stream(ServerPermit, Address, HttpRequest, Instant deadline, HttpClient::OnBody,
        HttpCancellation* = nullptr, HttpClient::OnHead = nullptr, StartCheck = StartCheck::None);

    /// Software of a server that answered a request of stream(): that of its registration, if it stated the registered
    /// start or servers of its kind state none. Otherwise it is unknown.
    static SoftwareVersion softwareOf(const ServerRecord&, const HttpResponse& head, StartCheck);

private:
    /// Counts the request. The function returned passes the answer's head to those who listen to servers.
    HttpClient::OnHead begin(const ServerPermit&, HttpClient::OnHead);
    std::shared_ptr<const StartQuery> makeStartQuery(const ServerIncarnation& receiver, StartCheck);
    int64_t statedStart(const ServerIncarnation& receiver, const HttpResponse&);
    /// A request to a server that states no start has failed: finds out whether the server has ended, since nothing
    /// else will tell before its next start registers.
    asio::awaitable<void> inspectEnd(ServerIncarnation, Address);

    HttpClient& http_;
    const ReplicaProtocol& protocol_;
    ServerAnswerListener& answerListener_;
    RequestLimits& limits_;
    /// Servers that state no start when they are asked.
    std::set<ServerIncarnation> silentStarts_;
};

} // namespace endiveroad::io
