#include "io/CrashGuard.h"

#include "Loop.h"
#include "UnreliableStore.h"
#include "VirtualTime.h"
#include "io/Tasks.h"
#include "io/hosted/CrashStore.h"
#include "wire/Codec.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <limits>

using namespace endiveroad;
using namespace endiveroad::io;
using namespace endiveroad::test;
using namespace std::chrono_literals;

namespace {

const ContentId content { 1, 2 };

class IgnoringHandler : public PeerHandler {
public:
    asio::awaitable<std::string> onRequest(PeerConnectionPtr, PeerMessage) override { co_return std::string(); }
    void onNotice(const PeerConnectionPtr&, const PeerMessage&) override { }
    void onClosed(const PeerConnectionPtr&) override { }
};

/// A guard of its own process, with the notices that it has sent.
struct Node : CrashListener {
    Node()
        : guard(
            http, [this] { return directory; }, *this, 1)
    {
    }

    void publishCrashes(const std::string& notice, const PeerConnection*) override { notices.push_back(notice); }
    void onCrashRecord(const CrashRecord& record) override { records.push_back(record); }

    void registerServer(const Address& address, int64_t startedMs)
    {
        auto current = std::make_shared<Directory>();
        ServerRecord server;
        server.id = "s" + std::to_string(startedMs);
        server.address = address;
        server.startedMs = startedMs;
        current->servers[server.id] = server;
        directory = current;
        guard.onDirectory(*directory);
    }

    std::shared_ptr<const Directory> directory = std::make_shared<Directory>();
    HttpClient http;
    std::vector<std::string> notices;
    std::vector<CrashRecord> records;
    CrashGuard guard;
};

/// A node and an address at which something listens for the server that is registered there, started at 5.
struct ListeningServer {
    ListeningServer() { node.registerServer(address, 5); }

    asio::io_context context;
    Node node;
    asio::ip::tcp::acceptor acceptor = listenOnLoopback(context);
    Address address = addressOf(acceptor);
};

ServerAttempt attemptAt(const Address& address, int64_t startedMs, Instant sentAt = now())
{
    return { "request", content, "server", { address, startedMs }, sentAt };
}

/// An address at which nothing listens.
Address closedAddress(asio::io_context& context)
{
    return addressOf(listenOnLoopback(context));
}

CrashRecord blockedRecord()
{
    CrashRecord record;
    record.content = content;
    record.crashedServers = { "a/1", "b/1", "c/1", "d/1" };
    record.failedTrials.insert({ "d/1", false });
    record.blockedUntil = now() + CrashRegister::callBlocks.front();
    return record;
}

} // namespace

TEST_CASE("a request whose server refuses connections afterwards counts as a crash", "[crashes]")
{
    asio::io_context context;
    Node node;
    runToEnd(context, [&]() -> asio::awaitable<void> {
        const Address address = closedAddress(context);
        for (int64_t startedMs = 1; startedMs <= 3; ++startedMs)
            co_await node.guard.inspect(attemptAt(address, startedMs));
        CHECK(node.notices.size() == 3);
        CHECK_FALSE(node.guard.admit(content, "s"));
        CHECK(node.guard.isPending(content));
        const Instant deadline = now() + 1s;
        const bool isTried = co_await node.guard.admitUntil(content, "s", deadline);
        CHECK(isTried);
        CHECK_FALSE(node.guard.admit(content, "s"));
        CHECK(node.guard.isPending(content));
        co_await node.guard.inspect(attemptAt(address, 4));
        CHECK(node.guard.blockedUntil(content));
        CHECK_FALSE(node.guard.admit(content, "s"));
        CHECK(node.notices.size() == 6);
    });
}

TEST_CASE("a lost answer of a server that goes on running is no crash", "[crashes]")
{
    ListeningServer server;
    Node& node = server.node;
    const Address& address = server.address;
    runToEnd(server.context, [&]() -> asio::awaitable<void> {
        for (int number = 0; number < 5; ++number)
            co_await node.guard.inspect(attemptAt(address, 5));
        node.registerServer(address, 5);
        CHECK(node.notices.empty());
    });
}

TEST_CASE("a server that ended behind an address that still accepts is told by its next start", "[crashes]")
{
    ListeningServer server;
    Node& node = server.node;
    const Address& address = server.address;
    runToEnd(server.context, [&]() -> asio::awaitable<void> {
        co_await node.guard.inspect(attemptAt(address, 5));
        CHECK(node.notices.empty());
        node.registerServer(address, 9);
        CHECK(node.notices.size() == 1);
        node.registerServer(address, 12);
        CHECK(node.notices.size() == 1);
    });
}

TEST_CASE("a server on a silent host has ended once its registration is gone", "[crashes]")
{
    asio::io_context context;
    Node node;
    // The queue of connections is kept full, so that a further one gets no answer.
    asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::v4());
    acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
    acceptor.listen(0);
    const Address address = addressOf(acceptor);
    std::vector<asio::ip::tcp::socket> waiting;
    for (int i = 0; i < 4; ++i) {
        waiting.emplace_back(context);
        waiting.back().async_connect(acceptor.local_endpoint(), [](boost::system::error_code) {});
    }
    node.registerServer(address, 5);
    runToEnd(context, [&]() -> asio::awaitable<void> {
        co_await sleepFor(20ms);
        co_await node.guard.inspect(attemptAt(address, 5));
        node.registerServer(address, 5);
        CHECK(node.records.empty());
        node.registerServer({ "127.0.0.1", 1 }, 7);
        CHECK(node.records.size() == 1);
    });
}

TEST_CASE("attempts that found a server gone are not blamed for its end", "[crashes]")
{
    ListeningServer server;
    Node& node = server.node;
    const Address& address = server.address;
    runToEnd(server.context, [&]() -> asio::awaitable<void> {
        const Instant begin = now();
        co_await node.guard.inspect(attemptAt(address, 5, begin));
        for (int later = 1; later <= 5; ++later)
            co_await node.guard.inspect(attemptAt(address, 5, now() + Duration(later)));
        node.registerServer(address, 9);
        co_await node.guard.inspect(attemptAt(address, 5, begin));
        CHECK(node.records.size() == 1);
    });
}

TEST_CASE("an end counts although the next start at the address is registered already", "[crashes]")
{
    ListeningServer server;
    Node& node = server.node;
    node.registerServer(server.address, 9);
    runToEnd(server.context, [&]() -> asio::awaitable<void> {
        co_await node.guard.inspect(attemptAt(server.address, 5));
        CHECK(node.records.size() == 1);
    });
}

TEST_CASE("a connection that another attempt finds refused shows the end", "[crashes]")
{
    ListeningServer server;
    Node& node = server.node;
    runToEnd(server.context, [&]() -> asio::awaitable<void> {
        node.guard.onConnectionRefused(attemptAt(server.address, 5));
        CHECK(node.records.empty());
        co_await node.guard.inspect(attemptAt(server.address, 5));
        node.guard.onConnectionRefused(attemptAt(server.address, 5));
        node.guard.onConnectionRefused(attemptAt(server.address, 5));
        CHECK(node.records.size() == 1);
    });
}

TEST_CASE("an answer of another server at the address shows the end", "[crashes]")
{
    ListeningServer server;
    Node& node = server.node;
    runToEnd(server.context, [&]() -> asio::awaitable<void> {
        co_await node.guard.inspect(attemptAt(server.address, 5));
        auto replaced = std::make_shared<Directory>(*node.directory);
        replaced->servers.at("s5").isReplaced = true;
        node.directory = replaced;
        node.guard.onDirectory(*replaced);
        CHECK(node.records.size() == 1);
    });
}

TEST_CASE("a server that answers has not ended under the attempts that it broke off before", "[crashes]")
{
    ListeningServer server;
    Node& node = server.node;
    const Address& address = server.address;
    runToEnd(server.context, [&]() -> asio::awaitable<void> {
        co_await node.guard.inspect(attemptAt(address, 5));
        node.guard.onRefused(attemptAt(address, 5));
        node.registerServer(address, 9);
        CHECK(node.records.empty());
    });
}

TEST_CASE("a process sends news of crashes on, once", "[crashes]")
{
    asio::io_context context;
    IgnoringHandler handler;
    const PeerConnection origin(asio::ip::tcp::socket(context), handler);
    Node reporter;
    Node receiver;
    reporter.guard.restore(blockedRecord());
    REQUIRE(reporter.notices.size() == 1);
    for (int repetition = 0; repetition < 2; ++repetition)
        receiver.guard.onNotice(origin, reporter.notices.front());
    CHECK(receiver.notices.size() == 1);
    CHECK_FALSE(receiver.guard.admit(content, "s"));
    CHECK(receiver.guard.encodeAll());
}

TEST_CASE("times that no process would name are bounded", "[crashes]")
{
    asio::io_context context;
    IgnoringHandler handler;
    const PeerConnection origin(asio::ip::tcp::socket(context), handler);
    Node node;
    wire::CrashRecord record;
    record.contentHigh = 1;
    record.contentLow = 2;
    record.crashedServers = { "a/1", "b/1", "c/1" };
    record.blockedForMs = std::numeric_limits<int64_t>::max();
    record.heldForMs = std::numeric_limits<int64_t>::max();
    record.trial.round = std::numeric_limits<int64_t>::min();
    record.trial.phase = 99;
    wire::CrashNotice notice;
    notice.records.push_back(record);
    const Instant begin = now();
    node.guard.onNotice(origin, wire::encode(notice));
    CHECK(node.guard.record(content).thresholdAt >= begin - CrashRegister::recordLifetime);
    CHECK(node.guard.record(content).blockedUntil <= now() + CrashRegister::longestBlock);
    CHECK_FALSE(node.guard.admit(content, "s"));
    CHECK(node.guard.announcedServer(content) == "s");
}

TEST_CASE("blocked contents outlast the loss of all processes", "[crashes]")
{
    VirtualTime time;
    asio::io_context context;
    StoreContents contents;
    std::mt19937_64 random(1);
    unsigned faultPercent = 0;
    UnreliableStore store(contents, random, faultPercent, [](Instant, std::function<void()>) {});
    {
        Node before;
        CrashStore crashStore(
            context, store, before.guard, [] { return CrashStore::Part::Writer; }, true);
        spawn(context.get_executor(), [&] { return crashStore.run(); });
        context.poll();
        before.guard.restore(blockedRecord());
        crashStore.onRecord(content);
        context.poll();
    }
    REQUIRE(contents.list(CrashStore::keyPrefix).documents.size() == 1);
    asio::io_context nextContext;
    Node after;
    CrashStore nextStore(
        nextContext, store, after.guard, [] { return CrashStore::Part::Writer; }, true);
    spawn(nextContext.get_executor(), [&] { return nextStore.run(); });
    nextContext.poll();
    CHECK(after.guard.blockedUntil(content));
    CHECK(after.notices.size() == 1);
    after.guard.onAnswered(attemptAt({}, 1));
    nextStore.onRecord(content);
    nextContext.poll();
    CHECK(contents.list(CrashStore::keyPrefix).documents.empty());
}

TEST_CASE("processes that are cut off from all coordinators learn of crashes from the store", "[crashes]")
{
    VirtualTime time;
    asio::io_context context;
    StoreContents contents;
    std::mt19937_64 random(1);
    unsigned faultPercent = 0;
    UnreliableStore store(contents, random, faultPercent, [](Instant, std::function<void()>) {});
    const auto isolated = [] { return CrashStore::Part::Isolated; };
    Node first;
    Node second;
    CrashStore firstStore(context, store, first.guard, isolated, false);
    CrashStore secondStore(context, store, second.guard, isolated, false);
    spawn(context.get_executor(), [&] { return firstStore.run(); });
    spawn(context.get_executor(), [&] { return secondStore.run(); });
    time.runFor(context, 10ms);
    first.guard.restore(blockedRecord());
    firstStore.onRecord(content);
    time.runFor(context, CrashStore::isolatedInterval);
    CHECK(second.guard.blockedUntil(content));
}
