#include "io/PeerConnection.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"
#include "wire/Codec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <endiveroad/Error.h>
#include <endiveroad_types.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

using boost::system::error_code;

constexpr size_t maxFramesPerWrite = 64;

constexpr size_t largeFrameBytes = 1U << 20;

/// This process's clock as sent in heartbeats: milliseconds modulo 2^32, with the lowest bit set so that it is never 0.
uint32_t clockMs()
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now().time_since_epoch()).count();
    return static_cast<uint32_t>(milliseconds) | 1U;
}

std::string encodeError(const Error& error)
{
    wire::CallAnswer answer;
    answer.outcome = wire::Outcome::Unknown;
    answer.errorCode = std::string(codeText(error.code()));
    answer.detail = error.what();
    return wire::encode(answer);
}

[[noreturn]] void throwAnsweredError(const std::string& payload)
{
    const auto answer = wire::decode<wire::CallAnswer>(payload);
    throw Error(codeFromText(answer.errorCode), answer.detail);
}

} // namespace

PeerConnection::PeerConnection(asio::ip::tcp::socket socket, PeerHandler& handler, HandshakeSide side)
    : socket_(std::move(socket))
    , handler_(handler)
    , heartbeatTimer_(socket_.get_executor())
    , proofWakeup_(socket_.get_executor())
    , side_(side)
    , firstHeartbeatWakeup_(socket_.get_executor(), asio::steady_timer::time_point::max())
{
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<PeerConnectionPtr> PeerConnection::connect(Address address, PeerHandler& handler)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::ip::tcp::socket socket(executor);
    asio::steady_timer timer(executor, toSteadyTime(now() + connectTimeout));
    timer.async_wait([&socket](error_code error) {
        if (!error)
            socket.close(error);
    });
    error_code error;
    const auto host = asio::ip::make_address(address.host, error);
    if (!error) {
        const asio::ip::tcp::endpoint endpoint(host, address.port);
        co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    }
    timer.cancel();
    if (error || !socket.is_open())
        throw PeerUnavailableError(fmt::format("{}: {}", address.text(), error ? error.message() : "timed out"));
    auto connection = std::make_shared<PeerConnection>(std::move(socket), handler, HandshakeSide::Initiator);
    connection->start();
    co_await connection->waitForProof();
    co_return connection;
}

void PeerConnection::start()
{
    silenceDeadline_ = now() + silenceLimit;
    restartConfirmation();
    if (auto keys = handler_.accessKeys()) {
        handshake_ = std::make_unique<Handshake>(side_, std::move(keys));
        notify(MessageType::AccessChallenge, handshake_->challenge());
    }
    auto self = shared_from_this();
    const auto executor = socket_.get_executor();
    spawn(executor, [self] { return self->readLoop(); });
    spawn(executor, [self] { return self->heartbeatLoop(); });
}

asio::awaitable<void> PeerConnection::waitForProof()
{
    auto self = shared_from_this();
    const Instant deadline = now() + proofTimeout;
    while (isOpen_ && isAwaitingProof() && now() < deadline)
        co_await waitUntil(proofWakeup_, deadline);
    if (!isAwaitingProof() && isOpen_)
        co_return;
    const std::string reason = refusal_;
    close();
    if (!reason.empty())
        throw AccessRefusedError(reason);
    throw PeerUnavailableError("the peer closed the connection or did not prove a key in time");
}

void PeerConnection::onHandshake(const FrameHeader& header, const std::string& payload)
{
    switch (header.type) {
    case MessageType::AccessChallenge:
        notify(MessageType::AccessProof, handshake_->createProof(payload));
        break;
    case MessageType::AccessProof:
        handshake_->verifyProof(payload);
        std::move(framesAwaitingProof_.begin(), framesAwaitingProof_.end(), std::back_inserter(outgoing_));
        framesAwaitingProof_.clear();
        scheduleFlush();
        proofWakeup_.cancel();
        sendHeartbeat();
        break;
    default:
        throw AccessRefusedError("a message came in place of a proof");
    }
}

void PeerConnection::refusePeer(const Error& error)
{
    log(Event::PeerRefused, { { "peer", peerName }, { "address", peerAddress() }, { "reason", error.what() } });
    refusal_ = error.what();
    framesAwaitingProof_.clear();
    notify(MessageType::AccessRefusal, error.what());
    isClosingAfterFlush_ = true;
    scheduleFlush();
}

std::string PeerConnection::peerAddress() const
{
    error_code error;
    const auto endpoint = socket_.remote_endpoint(error);
    return error ? std::string() : fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

void PeerConnection::close()
{
    if (!isOpen_)
        return;
    isOpen_ = false;
    error_code ignored;
    socket_.close(ignored);
    heartbeatTimer_.cancel();
    proofWakeup_.cancel();
    firstHeartbeatWakeup_.cancel();
    for (auto& [correlation, cancellation] : std::exchange(servedRequests_, {}))
        cancellation->cancel();
    for (auto& [correlation, call] : pendingCalls_)
        call->timer.cancel();
    handler_.onClosed(shared_from_this());
}

void PeerConnection::send(FrameHeader header, std::string_view payload)
{
    if (!isOpen_)
        return;
    const bool isHandshake = header.type == MessageType::AccessChallenge || header.type == MessageType::AccessProof
        || header.type == MessageType::AccessRefusal;
    if (header.kind == FrameKind::Heartbeat && isAwaitingProof())
        return;
    header.timestamp = Log::instance().clock().last();
    header.echoMs = peerClockMs_;
    const uint64_t request = header.kind == FrameKind::Request ? header.correlation : 0;
    std::deque<QueuedFrame>& queue = isAwaitingProof() && !isHandshake ? framesAwaitingProof_ : outgoing_;
    queue.push_back({ encodeFrame(header, payload), request });
    outgoingBytes_ += queue.back().bytes.size();
    processMetrics().count(Counter::FramesSent);
    processMetrics().count(Counter::BytesSent, queue.back().bytes.size());
    if (outgoingBytes_ > maxQueuedBytes)
        return close();
    scheduleFlush();
}

/// Removes a request from the queues. Returns false if it is not queued; then some of it may have been written.
bool PeerConnection::removeQueued(uint64_t correlation)
{
    for (std::deque<QueuedFrame>* queue : { &framesAwaitingProof_, &outgoing_ }) {
        const auto found = std::find_if(queue->begin(), queue->end(),
            [correlation](const QueuedFrame& frame) { return frame.correlation == correlation; });
        if (found == queue->end())
            continue;
        outgoingBytes_ -= std::min(outgoingBytes_, found->bytes.size());
        queue->erase(found);
        return true;
    }
    return false;
}

void PeerConnection::notify(MessageType type, const std::string& payload)
{
    FrameHeader header;
    header.kind = FrameKind::Notice;
    header.type = type;
    send(header, payload);
}

asio::awaitable<std::string> PeerConnection::call(
    MessageType type, std::string payload, Instant deadline, PeerCancellationPtr cancellation)
{
    auto self = shared_from_this();
    if (isOpen_ && peerClockMs_ == 0)
        co_await waitForFirstHeartbeat(deadline);
    if (!refusal_.empty())
        throw AccessRefusedError(refusal_);
    if (!isOpen_ || peerClockMs_ == 0)
        throw PeerUnavailableError("the connection is closed, or the peer has sent no heartbeat yet");
    FrameHeader header;
    header.kind = FrameKind::Request;
    header.type = type;
    header.correlation = nextCorrelation_++;
    header.budgetMs = static_cast<uint32_t>(std::clamp<int64_t>(millisecondsLeft(deadline), 1, UINT32_MAX));
    auto pending = std::make_shared<PendingCall>(socket_.get_executor());
    pendingCalls_.emplace(header.correlation, pending);
    if (cancellation)
        cancellation->onCancel([pending] { pending->timer.cancel(); });
    send(header, payload);
    payload = {};
    while (isOpen_ && !pending->isAnswered && now() < deadline && !(cancellation && cancellation->isCancelled()))
        co_await waitUntil(pending->timer, deadline);
    pendingCalls_.erase(header.correlation);
    if (cancellation)
        cancellation->onCancel(nullptr);
    if (!pending->isAnswered)
        failUnanswered(header.correlation, *pending);
    if (pending->isError)
        throwAnsweredError(pending->payload);
    co_return std::move(pending->payload);
}

/// Ends a call that got no answer. Throws AccessRefusedError if a side refused the other, PeerUnavailableError if no
/// byte of the request was written, else OutcomeUnknownError.
void PeerConnection::failUnanswered(uint64_t correlation, const PendingCall& pending)
{
    const bool isSent = !removeQueued(correlation) && pending.isWritten;
    if (!refusal_.empty())
        throw AccessRefusedError(refusal_);
    if (!isSent)
        throw PeerUnavailableError("the request was not sent");
    FrameHeader cancel;
    cancel.kind = FrameKind::Cancel;
    cancel.correlation = correlation;
    send(cancel, {});
    throw OutcomeUnknownError(isOpen_ ? "the peer did not answer in time" : "the connection to the peer was lost");
}

asio::awaitable<void> PeerConnection::waitForFirstHeartbeat(Instant deadline)
{
    auto self = shared_from_this();
    asio::steady_timer timeout(socket_.get_executor(), toSteadyTime(deadline));
    timeout.async_wait([self](error_code error) {
        if (!error)
            self->firstHeartbeatWakeup_.cancel();
    });
    error_code ignored;
    while (isOpen_ && peerClockMs_ == 0 && now() < deadline)
        co_await firstHeartbeatWakeup_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> PeerConnection::readLoop()
{
    auto self = shared_from_this();
    FrameReader reader;
    try {
        while (isOpen_) {
            const std::span<char> space = reader.prepare();
            const size_t bytes
                = co_await socket_.async_read_some(asio::buffer(space.data(), space.size()), asio::use_awaitable);
            if (now() > silenceDeadline_)
                break;
            reader.commit(bytes);
            processFrames(reader);
        }
    } catch (const Error& error) {
        if (isAwaitingProof()) {
            refusePeer(error);
            co_return;
        }
        log(Event::FrameRefused, { { "peer", peerName }, { "reason", error.what() } });
    } catch (const boost::system::system_error&) {
        // The peer closed the connection or the socket failed; close() below ends the open calls.
    } catch (const std::exception& error) {
        log(Event::FrameRefused, { { "peer", peerName }, { "reason", error.what() } });
    }
    close();
}

void PeerConnection::processFrames(FrameReader& reader)
{
    while (isOpen_) {
        auto frame = reader.next(isAwaitingProof() ? maxHandshakeBytes : FrameHeader::maxLength);
        if (!frame)
            return;
        processMetrics().count(Counter::FramesReceived);
        processMetrics().count(Counter::BytesReceived, FrameHeader::size + frame->payload.size());
        if (now() > silenceDeadline_)
            return close();
        silenceDeadline_ = now() + silenceLimit;
        Log::instance().clock().observe(frame->header.timestamp, wallMs());
        dispatch(frame->header, std::move(frame->payload));
    }
}

void PeerConnection::dispatch(const FrameHeader& header, std::string payload)
{
    if (header.type == MessageType::AccessRefusal) {
        refusal_ = payload;
        return close();
    }
    if (isAwaitingProof())
        return onHandshake(header, payload);
    if (header.type == MessageType::AccessChallenge || header.type == MessageType::AccessProof)
        return;
    onEcho(header);
    PeerMessage message { header.type, {}, never };
    if (header.budgetMs != 0)
        message.deadline = now() + std::chrono::milliseconds(header.budgetMs);
    switch (header.kind) {
    case FrameKind::Request:
        message.payload = std::move(payload);
        onRequest(header, std::move(message));
        break;
    case FrameKind::Answer:
        onAnswer(header, std::move(payload));
        break;
    case FrameKind::Notice:
        message.payload = std::move(payload);
        handler_.onNotice(shared_from_this(), message);
        break;
    case FrameKind::Heartbeat:
        onHeartbeat(header);
        break;
    case FrameKind::Cancel:
        if (const auto found = servedRequests_.find(header.correlation); found != servedRequests_.end())
            found->second->cancel();
        break;
    case FrameKind::Part:
        break;
    }
}

void PeerConnection::onHeartbeat(const FrameHeader& header)
{
    const bool isFirst = peerClockMs_ == 0;
    peerClockMs_ = static_cast<uint32_t>(header.correlation);
    if (isFirst)
        firstHeartbeatWakeup_.cancel();
}

void PeerConnection::restartConfirmation()
{
    suspended_ = suspendedTime();
    confirmedAt_ = Instant::min();
    confirmedFrom_ = now() + heartbeatPrecision;
}

void PeerConnection::checkSuspension()
{
    if (suspendedTime() > suspended_ + minSuspension)
        restartConfirmation();
}

Instant PeerConnection::confirmedAt()
{
    checkSuspension();
    return confirmedAt_;
}

void PeerConnection::onEcho(const FrameHeader& header)
{
    if (header.echoMs == 0)
        return;
    checkSuspension();
    const Instant sentAt = now() - std::chrono::milliseconds(static_cast<int32_t>(clockMs() - header.echoMs));
    if (sentAt > confirmedFrom_)
        confirmedAt_ = std::max(confirmedAt_, sentAt);
}

void PeerConnection::onRequest(const FrameHeader& header, PeerMessage message)
{
    if (header.correlation <= lastRequestNumber_)
        throw FrameInvalidError("a request has a correlation number that was already used");
    lastRequestNumber_ = header.correlation;
    const auto age = std::chrono::milliseconds(static_cast<int32_t>(clockMs() - header.echoMs));
    if (header.echoMs == 0 || age > maxRequestAge) {
        FrameHeader answer;
        answer.kind = FrameKind::Answer;
        answer.type = MessageType::Error;
        answer.correlation = header.correlation;
        send(answer, encodeError(PeerUnavailableError("the request was delayed too long and was not served")));
        return;
    }
    message.cancellation = std::make_shared<PeerCancellation>();
    servedRequests_.emplace(header.correlation, message.cancellation);
    auto self = shared_from_this();
    spawn(socket_.get_executor(),
        [self, header, message = std::move(message)]() mutable { return self->serve(header, std::move(message)); });
}

void PeerConnection::onAnswer(const FrameHeader& header, std::string payload)
{
    const auto found = pendingCalls_.find(header.correlation);
    if (found == pendingCalls_.end())
        return;
    found->second->isAnswered = true;
    found->second->isError = header.type == MessageType::Error;
    found->second->payload = std::move(payload);
    found->second->timer.cancel();
}

asio::awaitable<void> PeerConnection::serve(FrameHeader request, PeerMessage message)
{
    auto self = shared_from_this();
    FrameHeader header;
    header.kind = FrameKind::Answer;
    header.type = request.type;
    header.correlation = request.correlation;
    std::string payload;
    try {
        payload = co_await handler_.onRequest(self, std::move(message));
    } catch (const Error& error) {
        header.type = MessageType::Error;
        payload = encodeError(error);
    } catch (const std::exception& error) {
        header.type = MessageType::Error;
        payload = encodeError(OutcomeUnknownError(error.what()));
    }
    servedRequests_.erase(request.correlation);
    send(header, payload);
}

std::string PeerConnection::dequeueBatch()
{
    std::string batch;
    for (size_t i = 0; i < maxFramesPerWrite && !outgoing_.empty(); ++i) {
        QueuedFrame frame = std::move(outgoing_.front());
        outgoing_.pop_front();
        const auto found = pendingCalls_.find(frame.correlation);
        if (found != pendingCalls_.end())
            found->second->isWritten = true;
        // A large frame is moved rather than copied, and written alone.
        if (batch.empty())
            batch = std::move(frame.bytes);
        else
            batch += frame.bytes;
        const bool isNextLarge = !outgoing_.empty() && outgoing_.front().bytes.size() > largeFrameBytes;
        if (batch.size() > largeFrameBytes || isNextLarge)
            break;
    }
    return batch;
}

void PeerConnection::scheduleFlush()
{
    if (isFlushing_ || !isOpen_)
        return;
    isFlushing_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->flush(); });
}

void PeerConnection::flush()
{
    if (!isOpen_)
        return;
    isFlushing_ = false;
    if (outgoing_.empty()) {
        if (isClosingAfterFlush_)
            close();
        return;
    }
    auto batch = std::make_shared<std::string>(dequeueBatch());
    isFlushing_ = true;
    asio::async_write(socket_, asio::buffer(*batch), [self = shared_from_this(), batch](error_code error, size_t) {
        self->outgoingBytes_ -= std::min(self->outgoingBytes_, batch->size());
        if (error)
            return self->close();
        self->flush();
    });
}

void PeerConnection::sendHeartbeat()
{
    FrameHeader header;
    header.kind = FrameKind::Heartbeat;
    header.correlation = clockMs();
    send(header, {});
}

asio::awaitable<void> PeerConnection::heartbeatLoop()
{
    auto self = shared_from_this();
    while (isOpen_) {
        sendHeartbeat();
        co_await waitUntil(heartbeatTimer_, now() + heartbeatInterval);
        if (isOpen_ && now() > silenceDeadline_) {
            log(Event::PeerLost, { { "peer", peerName }, { "reason", "silent" } });
            close();
        }
    }
}

} // namespace endiveroad::io
