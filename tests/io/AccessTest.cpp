#include "io/Clock.h"
#include "io/HttpServer.h"
#include "io/Log.h"
#include "io/PeerConnection.h"
#include "io/ProcessMetrics.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <endiveroad/Error.h>
#include <fstream>
#include <functional>
#include <sys/stat.h>

using namespace endiveroad;
using namespace endiveroad::io;

namespace {

using KeysPtr = std::shared_ptr<const AccessKeys>;

const std::string hexA(64, 'a');
const std::string hexB(64, 'b');

KeysPtr makeKeys(const std::vector<std::string>& hex)
{
    std::vector<SharedKey> all;
    for (const std::string& digits : hex)
        all.push_back(SharedKey::fromHex(digits));
    return std::make_shared<const AccessKeys>(std::move(all));
}

/// Counts the messages that it receives and answers each request with its own payload.
class CountingHandler : public PeerHandler {
public:
    explicit CountingHandler(KeysPtr keys)
        : keys_(std::move(keys))
    {
    }
    asio::awaitable<std::string> onRequest(PeerConnectionPtr, PeerMessage message) override
    {
        ++handledMessages;
        co_return message.payload;
    }
    void onNotice(const PeerConnectionPtr&, const PeerMessage&) override { ++handledMessages; }
    void onClosed(const PeerConnectionPtr&) override { }
    KeysPtr accessKeys() const override { return keys_; }

    int handledMessages = 0;

private:
    KeysPtr keys_;
};

/// Accepts peer connections on a free port that the kernel assigns.
class Listener {
public:
    explicit Listener(KeysPtr keys)
        : handler(std::move(keys))
        , acceptor_(listenOn(context, Address { "127.0.0.1", 0 }))
        , address { "127.0.0.1", acceptor_.local_endpoint().port() }
    {
        spawn(context.get_executor(), [this] { return accept(); });
    }

    /// Runs the event loop until the coroutine ends. Rethrows its exception.
    void run(std::function<asio::awaitable<void>()> body)
    {
        std::exception_ptr failure;
        asio::co_spawn(context, std::move(body), [&](std::exception_ptr error) {
            failure = error;
            context.stop();
        });
        context.restart();
        context.run();
        if (failure)
            std::rethrow_exception(failure);
    }

    asio::awaitable<void> accept()
    {
        while (true) {
            auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
            accepted.push_back(std::make_shared<PeerConnection>(std::move(socket), handler));
            accepted.back()->start();
        }
    }

    asio::io_context context;
    CountingHandler handler;

private:
    asio::ip::tcp::acceptor acceptor_;

public:
    Address address;
    std::vector<PeerConnectionPtr> accepted;
};

/// Connects with the given keys, sends one request and returns the answer.
std::string callWith(Listener& listener, const KeysPtr& clientKeys)
{
    CountingHandler handler(clientKeys);
    std::string answer;
    listener.run([&]() -> asio::awaitable<void> {
        auto peer = co_await PeerConnection::connect(listener.address, handler);
        answer = co_await peer->call(MessageType::Status, "payload", now() + std::chrono::seconds(5));
        peer->close();
    });
    return answer;
}

void checkRefused(Listener& listener, const KeysPtr& clientKeys)
{
    const uint64_t refusalsBefore = processMetrics().value(Event::PeerRefused);
    CHECK_THROWS_AS(callWith(listener, clientKeys), AccessRefusedError);
    CHECK(listener.handler.handledMessages == 0);
    CHECK(processMetrics().value(Event::PeerRefused) > refusalsBefore);
}

/// A peer that sends and receives single frames without PeerConnection, to test invalid handshakes.
class RawPeer {
public:
    explicit RawPeer(Listener& listener)
        : socket_(listener.context)
        , address_(listener.address)
    {
    }

    asio::awaitable<void> connect()
    {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address_.host), address_.port);
        co_await socket_.async_connect(endpoint, asio::use_awaitable);
    }

    asio::awaitable<void> send(MessageType type, std::string payload)
    {
        FrameHeader header;
        header.type = type;
        const std::string frame = encodeFrame(header, payload);
        co_await asio::async_write(socket_, asio::buffer(frame), asio::use_awaitable);
    }

    /// Receives the next frame, checks its type and returns its payload.
    asio::awaitable<std::string> expect(MessageType type)
    {
        std::string head(FrameHeader::size, '\0');
        co_await asio::async_read(socket_, asio::buffer(head), asio::use_awaitable);
        const FrameHeader header = decodeHeader(head);
        CHECK(header.type == type);
        std::string payload(header.length, '\0');
        co_await asio::async_read(socket_, asio::buffer(payload), asio::use_awaitable);
        co_return payload;
    }

private:
    asio::ip::tcp::socket socket_;
    Address address_;
};

class TemporaryFile {
public:
    TemporaryFile(const std::string& text, mode_t mode)
    {
        char name[] = "/tmp/endiveroad-keys-XXXXXX";
        const int descriptor = mkstemp(name);
        REQUIRE(descriptor >= 0);
        close(descriptor);
        path = name;
        std::ofstream(path) << text;
        REQUIRE(chmod(name, mode) == 0);
    }
    ~TemporaryFile() { std::remove(path.c_str()); }

    std::string path;
};

} // namespace

TEST_CASE("peers with a common key communicate, also while the key is being replaced", "[access]")
{
    for (const auto& [server, client] :
        std::vector<std::pair<KeysPtr, KeysPtr>> { { makeKeys({ hexA }), makeKeys({ hexA }) },
            { makeKeys({ hexA, hexB }), makeKeys({ hexA }) }, { makeKeys({ hexA, hexB }), makeKeys({ hexB, hexA }) },
            { makeKeys({ hexB }), makeKeys({ hexB, hexA }) }, { nullptr, nullptr } }) {
        Listener listener(server);
        CHECK(callWith(listener, client) == "payload");
        REQUIRE(listener.accepted.size() == 1);
        CHECK(listener.accepted[0]->peerKey().has_value() == (server != nullptr));
    }
}

TEST_CASE("a peer with a wrong or missing key is refused before any message is handled", "[access]")
{
    for (const auto& [server, client] :
        std::vector<std::pair<KeysPtr, KeysPtr>> { { makeKeys({ hexA }), makeKeys({ hexB }) },
            { makeKeys({ hexA }), nullptr }, { nullptr, makeKeys({ hexA }) } }) {
        Listener listener(server);
        checkRefused(listener, client);
    }
}

TEST_CASE("a proof replayed on another connection is refused", "[access]")
{
    Listener listener(makeKeys({ hexA }));
    const uint64_t refusalsBefore = processMetrics().value(Event::PeerRefused);
    listener.run([&]() -> asio::awaitable<void> {
        Handshake initiator(HandshakeSide::Initiator, makeKeys({ hexA }));
        RawPeer first(listener);
        co_await first.connect();
        const std::string firstChallenge = co_await first.expect(MessageType::AccessChallenge);
        const std::string proof = initiator.createProof(firstChallenge);
        co_await first.send(MessageType::AccessChallenge, initiator.challenge());
        co_await first.send(MessageType::AccessProof, proof);
        const std::string listenerProof = co_await first.expect(MessageType::AccessProof);
        CHECK_NOTHROW(initiator.verifyProof(listenerProof));

        RawPeer second(listener);
        co_await second.connect();
        co_await second.expect(MessageType::AccessChallenge);
        co_await second.send(MessageType::AccessChallenge, initiator.challenge());
        co_await second.expect(MessageType::AccessProof);
        co_await second.send(MessageType::AccessProof, proof);
        co_await second.expect(MessageType::AccessRefusal);
    });
    CHECK(processMetrics().value(Event::PeerRefused) == refusalsBefore + 1);
    REQUIRE(listener.accepted.size() == 2);
    CHECK(listener.accepted[0]->peerKey().has_value());
    CHECK_FALSE(listener.accepted[1]->peerKey().has_value());
}

TEST_CASE("a proof reflected to the peer that made it is refused", "[access]")
{
    Listener listener(makeKeys({ hexA }));
    listener.run([&]() -> asio::awaitable<void> {
        RawPeer reflectingPeer(listener);
        co_await reflectingPeer.connect();
        const std::string challenge = co_await reflectingPeer.expect(MessageType::AccessChallenge);
        co_await reflectingPeer.send(MessageType::AccessChallenge, challenge);
        const std::string proof = co_await reflectingPeer.expect(MessageType::AccessProof);
        co_await reflectingPeer.send(MessageType::AccessProof, proof);
        co_await reflectingPeer.expect(MessageType::AccessRefusal);
    });
    CHECK(listener.handler.handledMessages == 0);
}

TEST_CASE("before authentication only short handshake messages are accepted", "[access]")
{
    for (const auto& [type, length] : std::vector<std::pair<MessageType, size_t>> { { MessageType::Drain, 0 },
             { MessageType::AccessChallenge, 31 }, { MessageType::AccessProof, 32 },
             { MessageType::AccessChallenge, PeerConnection::maxHandshakeBytes + 1 } }) {
        Listener listener(makeKeys({ hexA }));
        const MessageType first = type;
        const std::string payload(length, 'x');
        listener.run([&]() -> asio::awaitable<void> {
            RawPeer peer(listener);
            co_await peer.connect();
            co_await peer.expect(MessageType::AccessChallenge);
            co_await peer.send(first, payload);
            co_await peer.expect(MessageType::AccessRefusal);
        });
        CHECK(listener.handler.handledMessages == 0);
    }
}

TEST_CASE("a key file is accepted only without permissions for other users and with one or two valid keys", "[access]")
{
    const TemporaryFile good("# first\n" + hexA + "\n\n" + hexB + " \n", 0640);
    CHECK(AccessKeys::read(good.path) == *makeKeys({ hexA, hexB }));
    const TemporaryFile open(hexA, 0644);
    CHECK_THROWS_AS(AccessKeys::read(open.path), KeyFileInvalidError);
    for (const std::string& text : { std::string(), hexA.substr(2), hexA + "a", hexA.substr(2) + "zz",
             hexA + "\n" + hexB + "\n" + std::string(64, 'c') }) {
        const TemporaryFile bad(text, 0600);
        CHECK_THROWS_AS(AccessKeys::read(bad.path), KeyFileInvalidError);
    }
    CHECK_THROWS_AS(AccessKeys::read("/tmp/endiveroad-no-such-file"), FileUnreadableError);
}

TEST_CASE("no event or error message contains a key", "[access]")
{
    Listener listener(makeKeys({ hexA }));
    CHECK_THROWS_AS(callWith(listener, makeKeys({ hexB })), AccessRefusedError);
    bool isRefusalSeen = false;
    for (const TimelineEntry& entry : Log::instance().ring().find({})) {
        isRefusalSeen = isRefusalSeen || entry.event == Event::PeerRefused;
        const std::string line = toJsonLine(entry);
        CHECK(line.find(hexA.substr(0, 8)) == std::string::npos);
        CHECK(line.find(hexB.substr(0, 8)) == std::string::npos);
    }
    CHECK(isRefusalSeen);
    const TemporaryFile bad(hexA + "zz", 0600);
    CHECK_THROWS_WITH(AccessKeys::read(bad.path), !Catch::Contains(hexA.substr(0, 8)));
}
