#include "cli/Options.h"
#include "io/Clock.h"
#include "io/Log.h"
#include "io/PeerConnection.h"
#include "wire/Codec.h"

#include <boost/asio/co_spawn.hpp>
#include <endiveroad/Error.h>
#include <endiveroad_types.h>
#include <fmt/format.h>

namespace endiveroad::cli {

namespace {

namespace asio = boost::asio;

constexpr Duration askTimeout = std::chrono::seconds(3);

/// An operator command answers nothing itself.
class SilentHandler : public io::PeerHandler {
public:
    asio::awaitable<std::string> onRequest(io::PeerConnectionPtr, io::PeerMessage) override
    {
        throw BadRequestError("an operator command takes no requests");
        co_return std::string();
    }
    void onNotice(const io::PeerConnectionPtr&, const io::PeerMessage&) override { }
    void onClosed(const io::PeerConnectionPtr&) override { }
};

/// Asks one process and returns its JSON.
std::string ask(const Address& address, io::MessageType type, const std::string& argument)
{
    asio::io_context context;
    SilentHandler handler;
    std::string json;
    std::exception_ptr failure;
    auto body = [&]() -> asio::awaitable<void> {
        auto peer = co_await io::PeerConnection::connect(address, handler);
        wire::TextRequest request;
        request.argument = argument;
        const std::string payload = co_await peer->call(type, wire::encode(request), io::now() + askTimeout);
        json = wire::decode<wire::TextAnswer>(payload).json;
        peer->close();
    };
    asio::co_spawn(context, body, [&](std::exception_ptr error) {
        failure = error;
        context.stop();
    });
    context.run();
    if (failure)
        std::rethrow_exception(failure);
    return json;
}

int askCommand(
    const std::string& name, const std::string& description, io::MessageType type, const Arguments& arguments)
{
    cxxopts::Options options("endiveroad " + name, description);
    addCommonOptions(options);
    options.add_options()("at", "host:port of the process's peer address", cxxopts::value<std::string>())("since",
        "Only events from this wall time on, in ms since 1970", cxxopts::value<uint64_t>()->default_value("0"));
    const auto result = parse(options, arguments);
    if (!result)
        return exitOk;
    configureLog(*result, name);
    fmt::print("{}\n", ask(addressOption(*result, "at"), type, std::to_string((*result)["since"].as<uint64_t>())));
    return exitOk;
}

} // namespace

int runStatus(const Arguments& arguments)
{
    return askCommand("status", "Prints the state of a process as JSON.", io::MessageType::Status, arguments);
}

int runTimeline(const Arguments& arguments)
{
    return askCommand("timeline", "Prints the events of a process as JSON.", io::MessageType::Timeline, arguments);
}

int runDrain(const Arguments& arguments)
{
    return askCommand("drain", "Tells a process to finish its work and end.", io::MessageType::Drain, arguments);
}

} // namespace endiveroad::cli
