#pragma once

#include "io/HttpClient.h"
#include "io/PeerConnection.h"
#include "io/hosted/MetadataStore.h"

#include <endiveroad/AttemptEffects.h>
#include <functional>
#include <list>
#include <memory>
#include <vector>

/// Transports for calls to the platform's store.
namespace endiveroad::io {

/// Sends calls over this process's own connections. Cancels a pending call once a call sent at least overtakingMargin
/// later has been answered: a store that was unresponsive never answers the requests that it received in that time.
class DirectStoreTransport : public StoreTransport {
public:
    /// A call is cancelled when one that was sent at least this much later is answered.
    static constexpr Duration overtakingMargin = std::chrono::milliseconds(250);

    DirectStoreTransport(HttpClient&, Address);

    asio::awaitable<HttpResponse> send(HttpRequest, Instant deadline, bool mayWait) override;

    void setAddress(Address address) { address_ = std::move(address); }

private:
    /// A call without an answer yet.
    struct PendingCall {
        Instant sentAt;
        HttpCancellation cancellation;
    };
    using PendingCalls = std::list<PendingCall>;
    class PendingCallGuard;

    void cancelOvertaken(Instant sentAt);

    HttpClient& http_;
    Address address_;
    /// Shared with the calls, whose coroutines may be destroyed after this transport.
    std::shared_ptr<PendingCalls> pending_ = std::make_shared<PendingCalls>();
};

/// Sends calls directly, or through a peer if the store cannot be reached or rejects this process. A write may
/// then be sent more than once: a conditional one takes effect at most once, any other one may do so repeatedly.
class RelayedStoreTransport : public StoreTransport {
public:
    /// Part of a call's time that is reserved for an attempt through a peer.
    static constexpr Duration relayReserve = std::chrono::milliseconds(700);

    /// Time after a failed direct attempt in which calls go through a peer first.
    static constexpr Duration directPause = std::chrono::milliseconds(1000);

    /// Largest number of peers through which a call is tried.
    static constexpr size_t maxRelays = 2;

    /// Returns the peers that can relay a call, in the order in which they are tried.
    using Relays = std::function<std::vector<PeerConnectionPtr>()>;

    RelayedStoreTransport(StoreTransport& direct, Relays);

    asio::awaitable<HttpResponse> send(HttpRequest, Instant deadline, bool mayWait) override;

    /// Time of the store's last answer, direct or relayed; rejections do not count.
    Instant lastAnswerAt() const { return lastAnswerAt_; }

private:
    struct Attempt {
        std::optional<HttpResponse> answer;
        AttemptEffects effects;
    };

    asio::awaitable<void> tryDirect(const HttpRequest&, Instant deadline, bool mayWait, Attempt&);
    asio::awaitable<void> tryRelays(const HttpRequest&, Instant deadline, bool mayWait, Attempt&);

    StoreTransport& direct_;
    Relays relays_;
    Instant directPausedUntil_ = Instant::min();
    Instant lastAnswerAt_ = Instant::min();
};

/// Sends a peer's call to the store. The message has an encoded wire::StoreCall, the result is an encoded
/// wire::StoreAnswer. Throws what the transport throws.
asio::awaitable<std::string> relayStoreCall(StoreTransport& direct, PeerMessage);

} // namespace endiveroad::io
