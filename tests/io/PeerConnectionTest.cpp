#include "io/Loop.h"
#include "wire/Codec.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <endiveroad/Error.h>
#include <endiveroad_types.h>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace endiveroad::test;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

/// Answers each request with the request's payload; if isWaiting, only after the request is cancelled.
class EchoHandler : public PeerHandler {
public:
    asio::awaitable<std::string> onRequest(PeerConnectionPtr, PeerMessage message) override
    {
        ++requests;
        while (isWaiting && !message.cancellation->isCancelled())
            co_await sleepFor(1ms);
        if (message.cancellation->isCancelled())
            ++cancelled;
        co_return std::move(message.payload);
    }
    void onNotice(const PeerConnectionPtr&, const PeerMessage&) override { }
    void onClosed(const PeerConnectionPtr&) override { ++closed; }

    bool isWaiting = false;
    int requests = 0;
    int cancelled = 0;
    int closed = 0;
};

struct RawFrame {
    FrameHeader header;
    std::string payload;
};

asio::awaitable<RawFrame> readFrame(tcp::socket& socket)
{
    std::string head(FrameHeader::size, '\0');
    co_await asio::async_read(socket, asio::buffer(head), asio::use_awaitable);
    RawFrame frame;
    frame.header = decodeHeader(head);
    frame.payload.resize(frame.header.length);
    co_await asio::async_read(socket, asio::buffer(frame.payload), asio::use_awaitable);
    co_return frame;
}

asio::awaitable<RawFrame> readFrame(tcp::socket& socket, FrameKind kind)
{
    RawFrame frame;
    do {
        frame = co_await readFrame(socket);
    } while (frame.header.kind != kind);
    co_return frame;
}

asio::awaitable<void> writeFrame(tcp::socket& socket, FrameHeader header, std::string payload)
{
    const std::string bytes = encodeFrame(header, payload);
    co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
}

FrameHeader heartbeat()
{
    FrameHeader header;
    header.kind = FrameKind::Heartbeat;
    header.correlation = 77;
    return header;
}

FrameHeader request(uint64_t correlation, uint32_t echoMs)
{
    FrameHeader header;
    header.kind = FrameKind::Request;
    header.type = MessageType::Call;
    header.correlation = correlation;
    header.budgetMs = 60000;
    header.echoMs = echoMs;
    return header;
}

/// A connection under test and the raw socket at its other end.
struct Pair {
    PeerConnectionPtr connection;
    tcp::socket peer;
};

asio::awaitable<Pair> makePair(asio::io_context& context, PeerHandler& handler)
{
    tcp::acceptor acceptor = listenOnLoopback(context);
    const Address address = addressOf(acceptor);
    auto connection = co_await PeerConnection::connect(address, handler);
    tcp::socket peer = co_await acceptor.async_accept(asio::use_awaitable);
    co_return Pair { std::move(connection), std::move(peer) };
}

/// Error code of a call; nothing if it is answered.
asio::awaitable<std::optional<ErrorCode>> callErrorCode(
    PeerConnectionPtr connection, std::string payload, Instant deadline, PeerCancellationPtr cancellation = nullptr)
{
    try {
        co_await connection->call(MessageType::Call, std::move(payload), deadline, cancellation);
    } catch (const Error& error) {
        co_return error.code();
    }
    co_return std::nullopt;
}

} // namespace

TEST_CASE("the loss of a silent peer is detected in less than 3 s")
{
    CHECK(PeerConnection::silenceLimit + PeerConnection::heartbeatInterval < 3s);
}

TEST_CASE("a request of which no byte was written to a peer that stopped reading fails as not sent")
{
    asio::io_context context;
    EchoHandler handler;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        Pair pair = co_await makePair(context, handler);
        co_await writeFrame(pair.peer, heartbeat(), {});
        std::optional<ErrorCode> first;
        const Instant deadline = now() + 700ms;
        spawn(context.get_executor(), [&, connection = pair.connection]() -> asio::awaitable<void> {
            std::string large(32U << 20, 'x');
            first = co_await callErrorCode(connection, std::move(large), deadline);
        });
        co_await sleepFor(100ms);
        const auto second = co_await callErrorCode(pair.connection, "small", now() + 200ms);
        CHECK(second == ErrorCode::PeerUnavailable);
        const bool hasEnded = co_await becomes([&] { return first.has_value(); });
        REQUIRE(hasEnded);
        CHECK(first == ErrorCode::OutcomeUnknown);
        // The peer sends no more heartbeats, so the connection is closed and later requests are not sent.
        const bool isClosed = co_await becomes([&] { return !pair.connection->isOpen(); });
        CHECK(isClosed);
        const auto third = co_await callErrorCode(pair.connection, "small", now() + 1s);
        CHECK(third == ErrorCode::PeerUnavailable);
    });
}

TEST_CASE("a request that was written but not answered has an unknown outcome when the connection breaks")
{
    asio::io_context context;
    EchoHandler handler;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        Pair pair = co_await makePair(context, handler);
        co_await writeFrame(pair.peer, heartbeat(), {});
        std::optional<ErrorCode> code;
        spawn(context.get_executor(), [&, connection = pair.connection]() -> asio::awaitable<void> {
            code = co_await callErrorCode(connection, "small", now() + testTimeout);
        });
        co_await readFrame(pair.peer, FrameKind::Request);
        pair.peer.close();
        const bool hasEnded = co_await becomes([&] { return code.has_value(); });
        REQUIRE(hasEnded);
        CHECK(code == ErrorCode::OutcomeUnknown);
    });
}

TEST_CASE("a request that was delayed in buffers for too long is not served, and its sender gets an error")
{
    asio::io_context context;
    EchoHandler handler;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        Pair pair = co_await makePair(context, handler);
        const RawFrame beat = co_await readFrame(pair.peer, FrameKind::Heartbeat);
        const auto clock = static_cast<uint32_t>(beat.header.correlation);
        co_await writeFrame(pair.peer, request(1, clock), "fresh");
        RawFrame answer = co_await readFrame(pair.peer, FrameKind::Answer);
        CHECK(answer.payload == "fresh");
        CHECK(handler.requests == 1);
        const auto late = static_cast<uint32_t>(std::chrono::milliseconds(3000).count());
        for (const uint32_t echo : { clock - late, uint32_t { 0 } }) {
            co_await writeFrame(pair.peer, request(echo == 0 ? 3 : 2, echo), "late");
            answer = co_await readFrame(pair.peer, FrameKind::Answer);
            CHECK(answer.header.type == MessageType::Error);
            const auto error = wire::decode<wire::CallAnswer>(answer.payload);
            CHECK(error.errorCode == codeText(ErrorCode::PeerUnavailable));
        }
        CHECK(handler.requests == 1);
    });
}

TEST_CASE("a duplicated request frame is served only once and closes the connection")
{
    asio::io_context context;
    EchoHandler handler;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        Pair pair = co_await makePair(context, handler);
        const RawFrame beat = co_await readFrame(pair.peer, FrameKind::Heartbeat);
        const auto clock = static_cast<uint32_t>(beat.header.correlation);
        co_await writeFrame(pair.peer, request(1, clock), "one");
        co_await readFrame(pair.peer, FrameKind::Answer);
        co_await writeFrame(pair.peer, request(1, clock), "one");
        const bool isClosed = co_await becomes([&] { return handler.closed == 1; });
        CHECK(isClosed);
        CHECK(handler.requests == 1);
    });
}

TEST_CASE("late and reordered answers reach no request other than their own")
{
    asio::io_context context;
    EchoHandler handler;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        Pair pair = co_await makePair(context, handler);
        co_await writeFrame(pair.peer, heartbeat(), {});
        const auto timedOut = co_await callErrorCode(pair.connection, "first", now() + 50ms);
        CHECK(timedOut == ErrorCode::OutcomeUnknown);
        std::string answers[2];
        for (int i = 0; i < 2; ++i) {
            spawn(context.get_executor(), [&, i, connection = pair.connection]() -> asio::awaitable<void> {
                answers[i] = co_await connection->call(MessageType::Call, std::to_string(i), now() + testTimeout);
            });
        }
        std::vector<RawFrame> requests;
        while (requests.size() < 3)
            requests.push_back(co_await readFrame(pair.peer, FrameKind::Request));
        for (size_t i = 3; i > 0; --i) {
            FrameHeader header = requests[i - 1].header;
            header.kind = FrameKind::Answer;
            co_await writeFrame(pair.peer, header, "for " + requests[i - 1].payload);
        }
        const bool areAnswered = co_await becomes([&] { return !answers[0].empty() && !answers[1].empty(); });
        REQUIRE(areAnswered);
        CHECK(answers[0] == "for 0");
        CHECK(answers[1] == "for 1");
    });
}

TEST_CASE("cancelling a call cancels the request at the peer that serves it")
{
    asio::io_context context;
    EchoHandler client;
    EchoHandler server;
    server.isWaiting = true;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        tcp::acceptor acceptor = listenOnLoopback(context);
        const Address address = addressOf(acceptor);
        auto connection = co_await PeerConnection::connect(address, client);
        tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        auto accepted = std::make_shared<PeerConnection>(std::move(socket), server);
        accepted->start();
        auto cancellation = std::make_shared<PeerCancellation>();
        std::optional<ErrorCode> code;
        spawn(context.get_executor(), [&]() -> asio::awaitable<void> {
            code = co_await callErrorCode(connection, "work", now() + testTimeout, cancellation);
        });
        const bool isServed = co_await becomes([&] { return server.requests == 1; });
        REQUIRE(isServed);
        cancellation->cancel();
        const bool isCancelled = co_await becomes([&] { return server.cancelled == 1 && code.has_value(); });
        CHECK(isCancelled);
        CHECK(code == ErrorCode::OutcomeUnknown);
    });
}
