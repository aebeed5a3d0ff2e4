#pragma once

#include "io/FrameReader.h"
#include "io/Tasks.h"
#include "io/access/Handshake.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <endiveroad/Error.h>
#include <endiveroad/Settings.h>
#include <endiveroad/Time.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

/// Framed connections between endiveroad processes. Both ends may send requests; answers come back in any order and
/// are matched by correlation number. Where the process has shared keys, no other message is taken or sent before the
/// peer has proved one (src/io/access). A connection on which nothing is heard for silenceLimit is closed, and its open
/// requests end as unknown, or as not sent if no byte of them was written. A request that was under way for longer than
/// maxRequestAge, be it in a queue, in the network or in the buffers of a paused process, is not passed on.
namespace endiveroad::io {

namespace asio = boost::asio;

class PeerConnection;
using PeerConnectionPtr = std::shared_ptr<PeerConnection>;

/// Tells the one who serves a request that its sender no longer waits, and the one who sends it to wait no longer.
class PeerCancellation {
public:
    void cancel()
    {
        isCancelled_ = true;
        if (onCancel_)
            onCancel_();
    }
    bool isCancelled() const { return isCancelled_; }

    /// Sets what to call at cancel(); called at once if that has happened.
    void onCancel(std::function<void()> callback)
    {
        onCancel_ = std::move(callback);
        if (isCancelled_ && onCancel_)
            onCancel_();
    }

private:
    bool isCancelled_ = false;
    std::function<void()> onCancel_;
};

using PeerCancellationPtr = std::shared_ptr<PeerCancellation>;

/// A request or notice as received.
struct PeerMessage {
    MessageType type = MessageType::None;
    std::string payload;
    /// The sender's deadline, mapped onto this process's clock; never if it gave none.
    Instant deadline = never;
    /// Set for requests.
    PeerCancellationPtr cancellation = nullptr;
};

/// What a process does with messages of its peers.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;

    /// Answers a request with an encoded struct. An Error thrown here reaches the sender as the same code.
    virtual asio::awaitable<std::string> onRequest(PeerConnectionPtr, PeerMessage) = 0;

    /// Keys that a peer has to prove on a new connection; null if everyone is accepted.
    virtual std::shared_ptr<const AccessKeys> accessKeys() const { return nullptr; }

    virtual void onNotice(const PeerConnectionPtr&, const PeerMessage&) = 0;
    virtual void onClosed(const PeerConnectionPtr&) = 0;
};

class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
    static constexpr Duration heartbeatInterval = std::chrono::milliseconds(500);
    static constexpr Duration silenceLimit = std::chrono::milliseconds(2000);
    /// A VM that is dark answers nothing; the next try comes soon after.
    static constexpr Duration connectTimeout = std::chrono::milliseconds(400);
    static constexpr Duration proofTimeout = std::chrono::milliseconds(1000);
    /// Longest time between a request's call() and its arrival, counted from the receiver's last echoed heartbeat.
    static constexpr Duration maxRequestAge = std::chrono::milliseconds(2500);
    static constexpr size_t maxQueuedBytes = 256U << 20;

    /// Longest frame that is read from a peer that has not proved a key.
    static constexpr uint32_t maxHandshakeBytes = 1024;

    PeerConnection(asio::ip::tcp::socket, PeerHandler&, HandshakeSide = HandshakeSide::Acceptor);

    /// Connects, starts, and waits for the peer's proof if keys are used. Throws PeerUnavailableError,
    /// AccessRefusedError.
    static asio::awaitable<PeerConnectionPtr> connect(Address, PeerHandler&);

    /// Starts reading, writing and heartbeats; the handler must outlive the connection.
    void start();

    /// Sends a request and waits for its answer. Throws PeerUnavailableError if no byte of it was sent or the peer did
    /// not pass it on, AccessRefusedError if the peer takes nothing from this process, OutcomeUnknownError if the
    /// connection, the deadline or a cancellation ended first, else the Error that the peer answered with. Waits for
    /// the peer's first heartbeat before it sends.
    asio::awaitable<std::string> call(
        MessageType, std::string payload, Instant deadline, PeerCancellationPtr cancellation = nullptr);

    void notify(MessageType, const std::string& payload);

    void close();
    bool isOpen() const { return isOpen_; }

    /// The key by which the peer proved itself; nothing if none was asked for.
    std::optional<SharedKey> provenBy() const { return handshake_ ? handshake_->peerKey() : std::nullopt; }

    /// True while a request of the peer is served or an answer is not yet handed to the network.
    bool isBusy() const { return isOpen_ && (!served_.empty() || !outgoing_.empty() || isFlushing_); }

    /// Name of the peer process, once its Hello has come; empty before.
    std::string peerName;

private:
    struct PendingCall {
        explicit PendingCall(const asio::any_io_executor& executor)
            : timer(executor)
        {
        }

        asio::steady_timer timer;
        std::string payload;
        bool isAnswered = false;
        bool isError = false;
        bool isWritten = false;
    };

    /// A frame that waits to be written; correlation is 0 unless it is a request.
    struct Outgoing {
        std::string bytes;
        uint64_t correlation = 0;
    };

    void send(FrameHeader, std::string_view payload);
    bool withdraw(uint64_t correlation);
    std::string takeBatch();
    [[noreturn]] void giveUp(uint64_t correlation, const PendingCall&);
    asio::awaitable<void> awaitFirstHeartbeat(Instant deadline);
    void sendHeartbeat();
    void onHeartbeat(const FrameHeader&);
    void onRequest(const FrameHeader&, PeerMessage);
    asio::awaitable<void> readLoop();
    void takeFrames(FrameReader&);
    /// Writes what is queued once the handlers that are ready now have run, so that their frames go out together.
    void scheduleFlush();
    void flush();
    asio::awaitable<void> heartbeatLoop();
    asio::awaitable<void> serve(FrameHeader, PeerMessage);
    asio::awaitable<void> waitForProof();
    bool isProofWanted() const { return handshake_ && !handshake_->isPeerAuthenticated(); }
    void onHandshake(const FrameHeader&, const std::string& payload);
    void refuse(const Error&);
    std::string peerAddress() const;
    void dispatch(const FrameHeader&, std::string payload);
    void onAnswer(const FrameHeader&, std::string payload);

    asio::ip::tcp::socket socket_;
    PeerHandler& handler_;
    asio::steady_timer heartbeatTimer_;
    asio::steady_timer proofWakeup_;
    HandshakeSide side_;
    std::unique_ptr<Handshake> handshake_;
    /// Frames that wait for the peer's proof.
    std::deque<Outgoing> held_;
    /// Why either side refused the other; empty if none did.
    std::string refusal_;
    bool isClosing_ = false;
    bool isFlushing_ = false;
    asio::steady_timer firstHeartbeat_;
    std::deque<Outgoing> outgoing_;
    size_t outgoingBytes_ = 0;
    std::unordered_map<uint64_t, std::shared_ptr<PendingCall>> pending_;
    std::unordered_map<uint64_t, PeerCancellationPtr> served_;
    uint64_t nextCorrelation_ = 1;
    uint64_t lastRequest_ = 0;
    uint32_t peerClockMs_ = 0;
    Instant silentAt_ = never;
    bool isOpen_ = true;
};

} // namespace endiveroad::io
