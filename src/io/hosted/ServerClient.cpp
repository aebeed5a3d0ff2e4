#include "io/hosted/ServerClient.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"

#include <exception>

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
    Instant deadline, HttpClient::OnBody onBody, HttpCancellation* cancellation, HttpClient::OnHead onHead,
    StartCheck startCheck)
{
    if (startCheck != StartCheck::None)
        request.startQuery = makeStartQuery(permit.receiver(), startCheck);
    HttpClient::OnHead onAnyHead = begin(permit, std::move(onHead));
    const Address server = address;
    HttpResponse response;
    std::exception_ptr failure;
    try {
        response = co_await http_.stream(
            std::move(address), std::move(request), deadline, std::move(onBody), cancellation, std::move(onAnyHead));
    } catch (...) {
        failure = std::current_exception();
    }
    const bool isCancelled = cancellation && cancellation->isCancelled();
    if (failure && !isCancelled && silentStarts_.contains(permit.receiver()))
        co_await inspectEnd(permit.receiver(), server);
    if (failure)
        std::rethrow_exception(failure);
    co_return response;
}

asio::awaitable<void> ServerClient::inspectEnd(ServerIncarnation server, Address address)
{
    const ListenerState state = co_await http_.probe(std::move(address), now() + probeTimeout);
    if (state == ListenerState::Refusing)
        answerListener_.onEnded(server);
}

std::shared_ptr<const StartQuery> ServerClient::makeStartQuery(const ServerIncarnation& receiver, StartCheck startCheck)
{
    auto query = std::make_shared<StartQuery>();
    query->request = protocol_.encodeStateQuery();
    query->mayAsk = [this, receiver] { return limits_.tryTake(receiver, RequestPath::StateQuery).has_value(); };
    query->startOf = [this, receiver](const HttpResponse& response) { return statedStart(receiver, response); };
    query->isAccepted = [receiver, startCheck](std::optional<int64_t> startedMs) {
        const bool isOther = startedMs && *startedMs != 0 && *startedMs != receiver.startedMs;
        if (isOther) {
            processMetrics().count(Counter::ServerStartMismatches);
            log(Event::ServerRestarted,
                { { "server", receiver.id }, { "startedMs", std::to_string(*startedMs) },
                    { "registeredStartMs", std::to_string(receiver.startedMs) } });
        }
        return startCheck == StartCheck::Learn || (startedMs && !isOther);
    };
    return query;
}

int64_t ServerClient::statedStart(const ServerIncarnation& receiver, const HttpResponse& response)
{
    processMetrics().count(Counter::StateQueriesToServers);
    answerListener_.onAnswer(protocol_.decode(response), receiver);
    int64_t startedMs = 0;
    try {
        startedMs = protocol_.decodeState(response.body).startedMs;
    } catch (const Error& error) {
        log(Event::ServerStartUnknown, { { "server", receiver.id }, { "reason", error.what() } });
    }
    if (startedMs == 0 && silentStarts_.size() < maxSilentStarts)
        silentStarts_.insert(receiver);
    return startedMs;
}

SoftwareVersion ServerClient::softwareOf(const ServerRecord& server, const HttpResponse& head, StartCheck startCheck)
{
    const SoftwareVersion unknown { server.service, {} };
    if (startCheck == StartCheck::None)
        return server.software();
    if (!head.serverStartedMs)
        return unknown;
    const bool isRegistered = *head.serverStartedMs == 0 || *head.serverStartedMs == server.startedMs;
    return isRegistered ? server.software() : unknown;
}

} // namespace endiveroad::io
