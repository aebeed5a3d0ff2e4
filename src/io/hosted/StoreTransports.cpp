#include "io/hosted/StoreTransports.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"
#include "wire/Codec.h"

#include <endiveroad/Error.h>
#include <endiveroad_types.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

/// Longest answer of the store: a page of a listing has about 1 MB of values, encoded as text.
constexpr size_t maxAnswerBytes = 4U << 20;

constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

constexpr Duration connectTimeout = std::chrono::milliseconds(400);

/// The store rejected the call without carrying it out.
bool isRejected(const HttpResponse& response)
{
    return response.status == statusTooManyRequests || response.status == statusUnavailable;
}

StoreUnavailableError rejection(const HttpResponse& response)
{
    return StoreUnavailableError(fmt::format("answered {}", response.status));
}

} // namespace

/// Adds a call to the pending ones and removes it on destruction, also when the call's coroutine is destroyed.
class DirectStoreTransport::PendingCallGuard {
public:
    PendingCallGuard(std::shared_ptr<PendingCalls> calls, Instant sentAt)
        : calls_(std::move(calls))
        , position_(calls_->insert(calls_->end(), { sentAt, {} }))
    {
    }
    PendingCallGuard(const PendingCallGuard&) = delete;
    PendingCallGuard& operator=(const PendingCallGuard&) = delete;
    ~PendingCallGuard() { calls_->erase(position_); }

    HttpCancellation& cancellation() { return position_->cancellation; }

private:
    std::shared_ptr<PendingCalls> calls_;
    PendingCalls::iterator position_;
};

DirectStoreTransport::DirectStoreTransport(HttpClient& http, Address address)
    : http_(http)
    , address_(std::move(address))
{
}

asio::awaitable<HttpResponse> DirectStoreTransport::send(HttpRequest request, Instant deadline, bool mayWait)
{
    processMetrics().count(Counter::StoreCalls);
    const Instant startedAt = now();
    request.connectDeadline = startedAt + connectTimeout;
    request.maxAnswerBytes = maxAnswerBytes;
    // `never` exempts a call that may wait for a change from cancelOvertaken().
    PendingCallGuard pendingCall(pending_, mayWait ? never : startedAt);
    try {
        HttpResponse response
            = co_await http_.request(address_, std::move(request), deadline, &pendingCall.cancellation());
        cancelOvertaken(startedAt);
        if (isRejected(response))
            processMetrics().count(Counter::StoreFailures);
        processMetrics().record(Latency::StoreCall, now() - startedAt, now());
        co_return response;
    } catch (const ServerUnavailableError& error) {
        processMetrics().count(Counter::StoreFailures);
        throw StoreUnavailableError(error.what());
    } catch (const Error&) {
        processMetrics().count(Counter::StoreFailures);
        throw;
    }
}

void DirectStoreTransport::cancelOvertaken(Instant sentAt)
{
    for (PendingCall& pending : *pending_) {
        const bool isOvertaken = pending.sentAt != never && pending.sentAt + overtakingMargin <= sentAt;
        if (isOvertaken && !pending.cancellation.isCancelled())
            pending.cancellation.cancel();
    }
}

RelayedStoreTransport::RelayedStoreTransport(StoreTransport& direct, Relays relays)
    : direct_(direct)
    , relays_(std::move(relays))
{
}

asio::awaitable<void> RelayedStoreTransport::tryDirect(
    const HttpRequest& request, Instant deadline, bool mayWait, Attempt& attempt)
{
    try {
        HttpRequest copy = request;
        attempt.answer = co_await direct_.send(std::move(copy), deadline, mayWait);
        if (!isRejected(*attempt.answer))
            co_return;
        attempt.effects.onFailure(rejection(*attempt.answer));
    } catch (const Error& error) {
        attempt.effects.onFailure(error);
    }
    directPausedUntil_ = now() + directPause;
}

asio::awaitable<void> RelayedStoreTransport::tryRelays(
    const HttpRequest& request, Instant deadline, bool mayWait, Attempt& attempt)
{
    wire::StoreCall call;
    call.method = request.method;
    call.target = request.target;
    call.body = request.body;
    call.mayWait = mayWait;
    const std::string payload = wire::encode(call);
    size_t triedPeers = 0;
    for (const PeerConnectionPtr& peer : relays_()) {
        if (triedPeers++ >= maxRelays || now() >= deadline)
            co_return;
        try {
            std::string copy = payload;
            const std::string answered = co_await peer->call(MessageType::StoreCall, std::move(copy), deadline);
            const auto answer = wire::decode<wire::StoreAnswer>(answered);
            HttpResponse response;
            response.status = answer.status;
            response.body = answer.body;
            attempt.answer = std::move(response);
            if (isRejected(*attempt.answer)) {
                attempt.effects.onFailure(rejection(*attempt.answer));
                continue;
            }
            log(Event::StoreRelayed,
                { { "peer", peer->peerName }, { "call", request.method + " " + request.target },
                    { "reason", attempt.effects.reason() } });
            co_return;
        } catch (const Error& error) {
            attempt.effects.onFailure(error);
        }
    }
}

asio::awaitable<HttpResponse> RelayedStoreTransport::send(HttpRequest request, Instant deadline, bool mayWait)
{
    Attempt attempt;
    const bool isDirectFirst = now() >= directPausedUntil_ || relays_().empty();
    if (isDirectFirst) {
        const Instant directDeadline = relays_().empty() ? deadline : deadline - relayReserve;
        co_await tryDirect(request, std::max(directDeadline, now() + relayReserve / 2), mayWait, attempt);
    } else {
        co_await tryRelays(request, deadline, mayWait, attempt);
    }
    if (attempt.answer && !isRejected(*attempt.answer)) {
        lastAnswerAt_ = now();
        co_return std::move(*attempt.answer);
    }
    if (isDirectFirst)
        co_await tryRelays(request, deadline, mayWait, attempt);
    else
        co_await tryDirect(request, deadline, mayWait, attempt);
    if (attempt.answer && !isRejected(*attempt.answer)) {
        lastAnswerAt_ = now();
        co_return std::move(*attempt.answer);
    }
    attempt.effects.fail<StoreUnavailableError>();
}

asio::awaitable<std::string> relayStoreCall(StoreTransport& direct, PeerMessage message)
{
    auto call = wire::decode<wire::StoreCall>(message.payload);
    HttpRequest request;
    request.method = std::move(call.method);
    request.target = std::move(call.target);
    request.body = std::move(call.body);
    if (!request.body.empty())
        request.headers.emplace_back("Content-Type", "application/json");
    const HttpResponse response = co_await direct.send(std::move(request), message.deadline, call.mayWait);
    wire::StoreAnswer answer;
    answer.status = response.status;
    answer.body = response.body;
    co_return wire::encode(answer);
}

} // namespace endiveroad::io
