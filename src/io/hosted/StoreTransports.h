#pragma once

#include "io/HttpClient.h"
#include "io/PeerConnection.h"
#include "io/hosted/MetadataStore.h"

#include <functional>
#include <list>
#include <memory>
#include <vector>

/// Ways of a call to the platform's store.
namespace endiveroad::io {

/// Over a connection of this process. A call that waits for an answer while calls that were sent well after it have
/// theirs is given up: a store that was silent for a while does not answer what it got in that time.
class DirectStoreTransport : public StoreTransport {
public:
    /// How much later a call has to be sent whose answer gives an earlier call up.
    static constexpr Duration overtakingMargin = std::chrono::milliseconds(250);

    DirectStoreTransport(HttpClient&, Address);

    asio::awaitable<HttpResponse> send(HttpRequest, Instant deadline, bool mayWait) override;

    void setAddress(Address address) { address_ = std::move(address); }

private:
    /// A call without an answer yet.
    struct Pending {
        Instant sentAt;
        HttpCancellation cancellation;
    };
    using PendingCalls = std::list<Pending>;
    class InFlight;

    void giveUpOvertaken(Instant sentAt);

    HttpClient& http_;
    Address address_;
    /// Shared with the calls, whose coroutines may be destroyed after this transport.
    std::shared_ptr<PendingCalls> pending_ = std::make_shared<PendingCalls>();
};

/// Directly, or through a peer where the store cannot be reached or turns this process away. Conditional writes may
/// then be sent twice, of which one takes effect at most.
class RelayedStoreTransport : public StoreTransport {
public:
    /// Part of a call's time that is kept for the way through a peer.
    static constexpr Duration relayReserve = std::chrono::milliseconds(700);

    /// Time for which peers are asked first after the direct way failed.
    static constexpr Duration directPause = std::chrono::milliseconds(1000);

    /// Peers through which a call is tried at most.
    static constexpr size_t maxRelays = 2;

    /// Peers that may carry a call, in the order in which they are asked.
    using Relays = std::function<std::vector<PeerConnectionPtr>()>;

    RelayedStoreTransport(StoreTransport& direct, Relays);

    asio::awaitable<HttpResponse> send(HttpRequest, Instant deadline, bool mayWait) override;

    /// When the store last answered, directly or through a peer.
    Instant lastAnswerAt() const { return lastAnswerAt_; }

private:
    struct Attempt {
        std::optional<HttpResponse> answer;
        /// The call may have been carried out though no answer came.
        bool isInDoubt = false;
        std::string reason;
    };

    asio::awaitable<void> tryDirect(const HttpRequest&, Instant deadline, bool mayWait, Attempt&);
    asio::awaitable<void> tryRelays(const HttpRequest&, Instant deadline, bool mayWait, Attempt&);

    StoreTransport& direct_;
    Relays relays_;
    Instant directPausedUntil_ = Instant::min();
    Instant lastAnswerAt_ = Instant::min();
};

/// Carries a peer's call to the store: the payload is a StoreCall, the result a StoreAnswer. Throws as the transport.
asio::awaitable<std::string> relayStoreCall(StoreTransport& direct, PeerMessage);

} // namespace endiveroad::io
