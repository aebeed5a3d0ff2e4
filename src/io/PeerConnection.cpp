#include "io/PeerConnection.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"
#include "wire/Codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
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

void spawn(const asio::any_io_executor& executor, std::function<asio::awaitable<void>()> body)
{
    asio::co_spawn(
        executor,
        [body = std::move(body)]() -> asio::awaitable<void> {
            try {
                co_await body();
            } catch (const std::exception& error) {
                log(Event::ProcessFailed, { { "task", error.what() } });
            }
        },
        asio::detached);
}

asio::awaitable<void> waitUntil(asio::steady_timer& timer, Instant instant)
{
    timer.expires_at(steady(instant));
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    co_await waitUntil(timer, now() + duration);
}

PeerConnection::PeerConnection(asio::ip::tcp::socket socket, PeerHandler& handler, HandshakeSide side)
    : socket_(std::move(socket))
    , handler_(handler)
    , writeWakeup_(socket_.get_executor())
    , heartbeatTimer_(socket_.get_executor())
    , proofWakeup_(socket_.get_executor())
    , side_(side)
{
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<PeerConnectionPtr> PeerConnection::connect(Address address, PeerHandler& handler)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::ip::tcp::socket socket(executor);
    asio::steady_timer timer(executor, steady(now() + connectTimeout));
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
    silentAt_ = now() + silenceLimit;
    if (auto keys = handler_.accessKeys()) {
        handshake_ = std::make_unique<Handshake>(side_, std::move(keys));
        notify(MessageType::AccessChallenge, handshake_->challenge());
    }
    auto self = shared_from_this();
    const auto executor = socket_.get_executor();
    spawn(executor, [self] { return self->readLoop(); });
    spawn(executor, [self] { return self->writeLoop(); });
    spawn(executor, [self] { return self->heartbeatLoop(); });
}

asio::awaitable<void> PeerConnection::waitForProof()
{
    auto self = shared_from_this();
    const Instant deadline = now() + connectTimeout;
    while (isOpen_ && isProofWanted() && now() < deadline)
        co_await waitUntil(proofWakeup_, deadline);
    if (!isProofWanted() && isOpen_)
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
        notify(MessageType::AccessProof, handshake_->prove(payload));
        break;
    case MessageType::AccessProof:
        handshake_->check(payload);
        std::move(held_.begin(), held_.end(), std::back_inserter(outgoing_));
        held_.clear();
        writeWakeup_.cancel_one();
        proofWakeup_.cancel();
        break;
    default:
        throw AccessRefusedError("a message came in place of a proof");
    }
}

void PeerConnection::refuse(const Error& error)
{
    log(Event::PeerRefused, { { "peer", peerName }, { "address", peerAddress() }, { "reason", error.what() } });
    refusal_ = error.what();
    held_.clear();
    notify(MessageType::AccessRefusal, error.what());
    isClosing_ = true;
    writeWakeup_.cancel_one();
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
    writeWakeup_.cancel();
    heartbeatTimer_.cancel();
    proofWakeup_.cancel();
    for (auto& [correlation, call] : pending_)
        call->timer.cancel();
    handler_.onClosed(shared_from_this());
}

void PeerConnection::send(FrameHeader header, std::string_view payload)
{
    if (!isOpen_)
        return;
    const bool isHandshake = header.type == MessageType::AccessChallenge || header.type == MessageType::AccessProof
        || header.type == MessageType::AccessRefusal;
    if (header.kind == FrameKind::Heartbeat && isProofWanted())
        return;
    header.stamp = Log::instance().clock().last();
    std::deque<std::string>& queue = isProofWanted() && !isHandshake ? held_ : outgoing_;
    queue.push_back(encodeFrame(header, payload));
    outgoingBytes_ += queue.back().size();
    processMetrics().count(Counter::FramesSent);
    processMetrics().count(Counter::BytesSent, queue.back().size());
    if (outgoingBytes_ > maxQueuedBytes)
        return close();
    writeWakeup_.cancel_one();
}

void PeerConnection::notify(MessageType type, const std::string& payload)
{
    FrameHeader header;
    header.kind = FrameKind::Notice;
    header.type = type;
    send(header, payload);
}

asio::awaitable<std::string> PeerConnection::call(MessageType type, std::string payload, Instant deadline)
{
    if (!isOpen_)
        throw PeerUnavailableError("the connection is closed");
    auto self = shared_from_this();
    FrameHeader header;
    header.kind = FrameKind::Request;
    header.type = type;
    header.correlation = nextCorrelation_++;
    header.budgetMs = static_cast<uint32_t>(std::clamp<int64_t>(millisecondsLeft(deadline), 1, UINT32_MAX));
    auto pending
        = std::make_shared<PendingCall>(PendingCall { asio::steady_timer(socket_.get_executor()), {}, false, false });
    pending_.emplace(header.correlation, pending);
    send(header, payload);
    payload.clear();
    while (isOpen_ && !pending->isAnswered && now() < deadline)
        co_await waitUntil(pending->timer, deadline);
    pending_.erase(header.correlation);
    if (!pending->isAnswered) {
        FrameHeader cancel;
        cancel.kind = FrameKind::Cancel;
        cancel.correlation = header.correlation;
        send(cancel, {});
        if (!refusal_.empty())
            throw AccessRefusedError(refusal_);
        throw OutcomeUnknownError(isOpen_ ? "the peer did not answer in time" : "the connection to the peer was lost");
    }
    if (pending->isError)
        throwAnsweredError(pending->payload);
    co_return std::move(pending->payload);
}

asio::awaitable<void> PeerConnection::readLoop()
{
    auto self = shared_from_this();
    FrameReader reader;
    try {
        while (isOpen_) {
            const std::span<char> room = reader.room();
            const size_t bytes
                = co_await socket_.async_read_some(asio::buffer(room.data(), room.size()), asio::use_awaitable);
            reader.commit(bytes);
            takeFrames(reader);
        }
    } catch (const Error& error) {
        if (isProofWanted()) {
            refuse(error);
            co_return;
        }
        log(Event::FrameRefused, { { "peer", peerName }, { "reason", error.what() } });
    } catch (const boost::system::system_error&) {
        // The peer closed or the socket failed; close() below tells everyone who waits.
    }
    close();
}

void PeerConnection::takeFrames(FrameReader& reader)
{
    while (isOpen_) {
        auto frame = reader.next(isProofWanted() ? maxHandshakeBytes : FrameHeader::maxLength);
        if (!frame)
            return;
        processMetrics().count(Counter::FramesReceived);
        processMetrics().count(Counter::BytesReceived, FrameHeader::size + frame->payload.size());
        silentAt_ = now() + silenceLimit;
        Log::instance().clock().observe(frame->header.stamp, wallMs());
        dispatch(frame->header, std::move(frame->payload));
    }
}

void PeerConnection::dispatch(const FrameHeader& header, std::string payload)
{
    if (header.type == MessageType::AccessRefusal) {
        refusal_ = payload;
        return close();
    }
    if (isProofWanted())
        return onHandshake(header, payload);
    if (header.type == MessageType::AccessChallenge || header.type == MessageType::AccessProof)
        return;
    PeerMessage message { header.type, {}, never };
    if (header.budgetMs != 0)
        message.deadline = now() + std::chrono::milliseconds(header.budgetMs);
    switch (header.kind) {
    case FrameKind::Request: {
        message.payload = std::move(payload);
        auto self = shared_from_this();
        spawn(socket_.get_executor(),
            [self, header, message = std::move(message)] { return self->serve(header, message); });
        break;
    }
    case FrameKind::Answer:
        onAnswer(header, std::move(payload));
        break;
    case FrameKind::Notice:
        message.payload = std::move(payload);
        handler_.onNotice(shared_from_this(), message);
        break;
    case FrameKind::Heartbeat:
    case FrameKind::Cancel:
    case FrameKind::Part:
        break;
    }
}

void PeerConnection::onAnswer(const FrameHeader& header, std::string payload)
{
    const auto found = pending_.find(header.correlation);
    if (found == pending_.end())
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
    send(header, payload);
}

asio::awaitable<void> PeerConnection::writeLoop()
{
    auto self = shared_from_this();
    while (isOpen_) {
        if (outgoing_.empty() && isClosing_)
            co_return close();
        if (outgoing_.empty()) {
            co_await waitUntil(writeWakeup_, never);
            continue;
        }
        std::string batch;
        for (size_t i = 0; i < maxFramesPerWrite && !outgoing_.empty(); ++i) {
            batch += outgoing_.front();
            outgoing_.pop_front();
        }
        error_code error;
        co_await asio::async_write(socket_, asio::buffer(batch), asio::redirect_error(asio::use_awaitable, error));
        outgoingBytes_ -= std::min(outgoingBytes_, batch.size());
        if (error)
            close();
    }
}

asio::awaitable<void> PeerConnection::heartbeatLoop()
{
    auto self = shared_from_this();
    while (isOpen_) {
        FrameHeader header;
        header.kind = FrameKind::Heartbeat;
        send(header, {});
        co_await waitUntil(heartbeatTimer_, now() + heartbeatInterval);
        if (isOpen_ && now() > silentAt_) {
            log(Event::PeerLost, { { "peer", peerName }, { "reason", "silent" } });
            close();
        }
    }
}

} // namespace endiveroad::io
