#include "cli/PeerRequest.h"

#include "io/Clock.h"
#include "wire/Codec.h"

#include <boost/asio/co_spawn.hpp>
#include <endiveroad/Error.h>
#include <endiveroad_types.h>

namespace endiveroad::cli {

namespace {

namespace asio = boost::asio;

constexpr Duration commandTimeout = std::chrono::seconds(3);

/// Rejects all requests and ignores all notices: the process that a command connects to has no reason to send any.
class RejectingHandler : public io::PeerHandler {
public:
    explicit RejectingHandler(std::shared_ptr<const io::AccessKeys> keys)
        : keys_(std::move(keys))
    {
    }

    std::shared_ptr<const io::AccessKeys> accessKeys() const override { return keys_; }
    asio::awaitable<std::string> onRequest(io::PeerConnectionPtr, io::PeerMessage) override
    {
        throw BadRequestError("a command-line client does not accept requests");
        co_return std::string();
    }
    void onNotice(const io::PeerConnectionPtr&, const io::PeerMessage&) override { }
    void onClosed(const io::PeerConnectionPtr&) override { }

private:
    std::shared_ptr<const io::AccessKeys> keys_;
};

using PeerCall = std::function<asio::awaitable<std::string>(io::PeerConnectionPtr)>;

std::shared_ptr<const io::AccessKeys> keyOption(const cxxopts::ParseResult& options)
{
    if (options.count("key-file") == 0)
        return nullptr;
    return std::make_shared<const io::AccessKeys>(io::AccessKeys::read(options["key-file"].as<std::string>()));
}

std::string callPeer(const cxxopts::ParseResult& options, const PeerCall& peerCall)
{
    const Address address = addressOption(options, "at");
    asio::io_context context;
    RejectingHandler handler(keyOption(options));
    std::string json;
    std::exception_ptr failure;
    auto body = [&]() -> asio::awaitable<void> {
        auto peer = co_await io::PeerConnection::connect(address, handler);
        json = co_await peerCall(peer);
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

asio::awaitable<std::string> callCommand(io::PeerConnectionPtr peer, io::MessageType type)
{
    const std::string payload
        = co_await peer->call(type, wire::encode(wire::TextRequest()), io::now() + commandTimeout);
    co_return wire::decode<wire::TextAnswer>(payload).json;
}

} // namespace

void addConnectionOptions(cxxopts::Options& options)
{
    options.add_options()("at", "Peer address of a process, host:port", cxxopts::value<std::string>())(
        "key-file", "File of the shared keys, to authenticate to the process", cxxopts::value<std::string>());
}

void addSurveyOptions(cxxopts::Options& options)
{
    addConnectionOptions(options);
    options.add_options()("self", "Query only the process at --at, not all processes");
}

io::SurveyScope scopeOption(const cxxopts::ParseResult& result)
{
    return result.count("self") != 0 ? io::SurveyScope::Self : io::SurveyScope::All;
}

std::string sendSurvey(const cxxopts::ParseResult& result, const io::SurveyQuery& survey)
{
    return callPeer(result, [&](io::PeerConnectionPtr peer) { return io::askPeer(std::move(peer), survey); });
}

std::string sendCommand(const cxxopts::ParseResult& result, io::MessageType type)
{
    return callPeer(result, [&](io::PeerConnectionPtr peer) { return callCommand(std::move(peer), type); });
}

} // namespace endiveroad::cli
