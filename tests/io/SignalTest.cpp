#include "io/Signal.h"
#include "VirtualTime.h"
#include "io/Tasks.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>

using namespace endiveroad;
using namespace endiveroad::io;

TEST_CASE("notifyAll wakes the waiters in the order in which they began to wait", "[signal]")
{
    VirtualTime time;
    asio::io_context context;
    Signal signal(context);
    std::string order;
    for (char name : { 'a', 'b', 'c' }) {
        spawn(context.get_executor(), [&, name]() -> asio::awaitable<void> {
            co_await signal.wait(never);
            order += name;
        });
    }
    context.poll();
    signal.notifyAll();
    context.poll();
    CHECK(order == "abc");
}

TEST_CASE("a waiter that outlives its signal, as at process exit, is destroyed without access to it", "[signal]")
{
    VirtualTime time;
    auto context = std::make_unique<asio::io_context>();
    auto signal = std::make_unique<Signal>(*context);
    std::shared_ptr<int> held = std::make_shared<int>();
    spawn(context->get_executor(), [&signal, held]() -> asio::awaitable<void> { co_await signal->wait(never); });
    context->poll();
    REQUIRE(held.use_count() == 2);
    signal.reset();
    context.reset();
    CHECK(held.use_count() == 1);
}
