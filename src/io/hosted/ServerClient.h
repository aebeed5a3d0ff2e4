#pragma once

#include "io/HttpClient.h"
#include "io/hosted/Protocol.h"
#include "io/hosted/RequestLimits.h"

/// The only way to send requests to backend servers of a shared platform, whatever they are for. Every request needs a
/// permit, so that no path passes by the limits that servers name, and every answer's head is heard.
namespace endiveroad::io {

class ServerClient {
public:
    ServerClient(HttpClient&, const ReplicaProtocol&, ServerAnswerListener&, RequestLimits&);

    const ReplicaProtocol& protocol() const { return protocol_; }

    /// HttpClient::request() to the server of the permit.
    asio::awaitable<HttpResponse> request(ServerPermit, Address, HttpRequest, Instant deadline,
        HttpCancellation* = nullptr, HttpClient::OnHead = nullptr);

    /// HttpClient::stream() to the server of the permit.
    asio::awaitable<HttpResponse> stream(ServerPermit, Address, HttpRequest, Instant deadline, HttpClient::OnBody,
        HttpCancellation* = nullptr, HttpClient::OnHead = nullptr);

private:
    /// Counts the request. The function returned passes the answer's head to those who listen to servers.
    HttpClient::OnHead begin(const ServerPermit&, HttpClient::OnHead);

    HttpClient& http_;
    const ReplicaProtocol& protocol_;
    ServerAnswerListener& answerListener_;
    RequestLimits& limits_;
};

} // namespace endiveroad::io
