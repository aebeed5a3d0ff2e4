#include "io/hosted/ServerClient.h"

#include "io/ProcessMetrics.h"

namespace endiveroad::io {

namespace {

Counter counterOf(RequestPath path)
{
    switch (path) {
    case RequestPath::Call:
        return Counter::CallsToServers;
    case RequestPath::Stream:
        return Counter::StreamsToServers;
    case RequestPath::Item:
        return Counter::ItemsToServers;
    case RequestPath::StateQuery:
        return Counter::StateQueriesToServers;
    case RequestPath::Order:
        return Counter::OrdersToServers;
    }
    return Counter::CallsToServers;
}

} // namespace

ServerClient::ServerClient(
    HttpClient& http, const ReplicaProtocol& protocol, ServerAnswerListener& answerListener, RequestLimits& limits)
    : http_(http)
    , protocol_(protocol)
    , answerListener_(answerListener)
    , limits_(limits)
{
}

HttpClient::OnHead ServerClient::begin(const ServerPermit& permit, HttpClient::OnHead onHead)
{
    processMetrics().count(counterOf(permit.path()));
    if (permit.isLimited())
        processMetrics().count(Counter::LimitedRequests);
    return [this, permit, onHead = std::move(onHead)](const HttpResponse& head) {
        const ReplicaAnswer answer = protocol_.decode(head);
        if (answer.verdict == ReplicaVerdict::ServerMismatch)
            processMetrics().count(Counter::ServerMismatches);
        answerListener_.onAnswer(answer, permit.receiver());
        limits_.onAnswer(answer, permit);
        if (onHead)
            onHead(head);
    };
}

asio::awaitable<HttpResponse> ServerClient::request(ServerPermit permit, Address address, HttpRequest request,
    Instant deadline, HttpCancellation* cancellation, HttpClient::OnHead onHead)
{
    HttpClient::OnHead onAnyHead = begin(permit, std::move(onHead));
    co_return co_await http_.request(
        std::move(address), std::move(request), deadline, cancellation, std::move(onAnyHead));
}

asio::awaitable<HttpResponse> ServerClient::stream(ServerPermit permit, Address address, HttpRequest request,
    Instant deadline, HttpClient::OnBody onBody, HttpCancellation* cancellation, HttpClient::OnHead onHead)
{
    HttpClient::OnHead onAnyHead = begin(permit, std::move(onHead));
    co_return co_await http_.stream(
        std::move(address), std::move(request), deadline, std::move(onBody), cancellation, std::move(onAnyHead));
}

} // namespace endiveroad::io
