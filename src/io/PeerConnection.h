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

/// Framed connections between endiveroad processes. Both ends may send requests; answers may come in any order and are
/// matched to their requests by correlation number. If the process has shared keys, it neither handles nor sends any
/// other message until the peer has proved that it holds one of them (src/io/access). A connection that receives no
/// frame for silenceLimit is closed, up to heartbeatInterval later. Each of its open requests then fails with
/// OutcomeUnknownError, or with PeerUnavailableError if no byte of it was written. A request that may be older than
/// maxRequestAge, whether it was delayed in a queue, in the network or in the buffers of a paused process, is rejected
/// without reaching the receiver's handler.
namespace endiveroad::io {

namespace asio = boost::asio;

class PeerConnection;
using PeerConnectionPtr = std::shared_ptr<PeerConnection>;

/// Cancels a request. At the sender, cancel() ends the wait for the answer; at the receiver, it tells the handler that
/// the sender no longer waits.
class PeerCancellation {
public:
    void cancel()
    {
        isCancelled_ = true;
        if (onCancel_)
            onCancel_();
    }
    bool isCancelled() const { return isCancelled_; }

    /// Sets the function that cancel() calls. Calls it at once if the request is already cancelled.
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

/// A received request or notice.
struct PeerMessage {
    MessageType type = MessageType::None;
    std::string payload;
    /// The sender's deadline on this process's clock; never for a message without one, such as a notice.
    Instant deadline = never;
    /// Set for requests.
    PeerCancellationPtr cancellation = nullptr;
};

/// Handles the messages that peers send to this process.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;

    /// Answers a request with an encoded struct. If it throws an Error, the sender's call() throws one with the same
    /// code; any other exception becomes OutcomeUnknownError there.
    virtual asio::awaitable<std::string> onRequest(PeerConnectionPtr, PeerMessage) = 0;

    /// Shared keys, one of which a peer must prove to hold on a new connection; null if any peer is accepted.
    virtual std::shared_ptr<const AccessKeys> accessKeys() const { return nullptr; }

    virtual void onNotice(const PeerConnectionPtr&, const PeerMessage&) = 0;
    virtual void onClosed(const PeerConnectionPtr&) = 0;
};

class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
    static constexpr Duration heartbeatInterval = std::chrono::milliseconds(500);
    static constexpr Duration silenceLimit = std::chrono::milliseconds(2000);
    /// Short, because a VM that is down does not answer at all and the connection is soon tried again.
    static constexpr Duration connectTimeout = std::chrono::milliseconds(400);
    static constexpr Duration proofTimeout = std::chrono::milliseconds(1000);
    /// Greatest age at which a request is still served, measured by the receiver's clock from its heartbeat that the
    /// request echoes. The request was sent after that heartbeat, so this is an upper bound on its age.
    static constexpr Duration maxRequestAge = std::chrono::milliseconds(2500);
    /// Heartbeats tell their time with this precision.
    static constexpr Duration heartbeatPrecision = std::chrono::milliseconds(2);
    /// Shorter suspensions are below the precision of the clocks.
    static constexpr Duration minSuspension = std::chrono::milliseconds(20);
    static constexpr size_t maxQueuedBytes = 256U << 20;

    /// Greatest payload size accepted from a peer that has not yet proved a key.
    static constexpr uint32_t maxHandshakeBytes = 1024;

    PeerConnection(asio::ip::tcp::socket, PeerHandler&, HandshakeSide = HandshakeSide::Acceptor);

    /// Connects and starts the connection, then waits for the peer's proof if keys are used. Throws
    /// PeerUnavailableError if the peer cannot be reached or sends no proof in time, AccessRefusedError if this side
    /// refuses the peer or the peer's refusal arrives before its proof; a later refusal is reported by call().
    static asio::awaitable<PeerConnectionPtr> connect(Address, PeerHandler&);

    /// Starts to read, write and send heartbeats. The handler must outlive the connection.
    void start();

    /// Sends a request and returns its answer. Waits for the peer's first heartbeat before it sends. If the
    /// connection closes, the deadline passes or the request is cancelled before the answer comes, throws
    /// AccessRefusedError if either side refused the other, else PeerUnavailableError if no byte of the request was
    /// written, else OutcomeUnknownError. If the peer answers with an error, throws an Error (not a derived type) with
    /// the peer's code; a peer that rejects a request as too old answers with the code of PeerUnavailableError.
    asio::awaitable<std::string> call(
        MessageType, std::string payload, Instant deadline, PeerCancellationPtr cancellation = nullptr);

    void notify(MessageType, const std::string& payload);

    /// Time of this side's last heartbeat that the peer is known to have received, after it had handled what this side
    /// had sent before restartConfirmation(); Instant::min() if there is none. A suspension of the machine voids it.
    Instant confirmedAt();

    /// What was confirmed so far no longer counts.
    void restartConfirmation();

    void close();
    bool isOpen() const { return isOpen_; }

    /// The key that the peer proved to hold; nothing if this process uses no keys.
    std::optional<SharedKey> peerKey() const { return handshake_ ? handshake_->peerKey() : std::nullopt; }

    /// True while a request of the peer is being served or frames wait to be written to the socket; frames held back
    /// until the peer's proof do not count.
    bool isBusy() const { return isOpen_ && (!servedRequests_.empty() || !outgoing_.empty() || isFlushing_); }

    /// Name of the peer process: set by PeerMesh for a connection that it opened, else from the peer's Hello; empty
    /// before.
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

    /// A queued frame; correlation is 0 unless it is a request.
    struct QueuedFrame {
        std::string bytes;
        uint64_t correlation = 0;
    };

    void send(FrameHeader, std::string_view payload);
    bool removeQueued(uint64_t correlation);
    std::string dequeueBatch();
    [[noreturn]] void failUnanswered(uint64_t correlation, const PendingCall&);
    asio::awaitable<void> waitForFirstHeartbeat(Instant deadline);
    void sendHeartbeat();
    void onHeartbeat(const FrameHeader&);
    /// Every frame names the last heartbeat that its sender has received.
    void onEcho(const FrameHeader&);
    void checkSuspension();
    void onRequest(const FrameHeader&, PeerMessage);
    asio::awaitable<void> readLoop();
    void processFrames(FrameReader&);
    /// Writes the queued frames after the handlers that are ready now have run, so that frames from several handlers
    /// go out in one write.
    void scheduleFlush();
    void flush();
    asio::awaitable<void> heartbeatLoop();
    asio::awaitable<void> serve(FrameHeader, PeerMessage);
    asio::awaitable<void> waitForProof();
    bool isAwaitingProof() const { return handshake_ && !handshake_->isPeerAuthenticated(); }
    void onHandshake(const FrameHeader&, const std::string& payload);
    void refusePeer(const Error&);
    std::string peerAddress() const;
    void dispatch(const FrameHeader&, std::string payload);
    void onAnswer(const FrameHeader&, std::string payload);

    asio::ip::tcp::socket socket_;
    PeerHandler& handler_;
    asio::steady_timer heartbeatTimer_;
    asio::steady_timer proofWakeup_;
    HandshakeSide side_;
    std::unique_ptr<Handshake> handshake_;
    /// Frames to send once the peer has proved a key.
    std::deque<QueuedFrame> framesAwaitingProof_;
    /// Why one side refused the other; empty if neither did.
    std::string refusal_;
    bool isClosingAfterFlush_ = false;
    bool isFlushing_ = false;
    asio::steady_timer firstHeartbeatWakeup_;
    std::deque<QueuedFrame> outgoing_;
    size_t outgoingBytes_ = 0;
    std::unordered_map<uint64_t, std::shared_ptr<PendingCall>> pendingCalls_;
    std::unordered_map<uint64_t, PeerCancellationPtr> servedRequests_;
    uint64_t nextCorrelation_ = 1;
    uint64_t lastRequestNumber_ = 0;
    uint32_t peerClockMs_ = 0;
    Instant silenceDeadline_ = never;
    Instant confirmedAt_ = Instant::min();
    /// Heartbeats from before this time confirm nothing.
    Instant confirmedFrom_ = Instant::min();
    /// suspendedTime() when it was last looked at.
    Duration suspended_ = Duration::zero();
    bool isOpen_ = true;
};

} // namespace endiveroad::io
