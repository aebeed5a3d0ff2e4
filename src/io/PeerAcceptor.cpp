#include "io/PeerAcceptor.h"

#include "io/CallerBudget.h"
#include "io/HttpServer.h"
#include "io/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endiveroad::io {

namespace {

/// Connections that have not said which process they come from may be this part of those that callers may have. All
/// processes of a deployment may connect at once after a pause.
constexpr size_t strangersDivisor = 4;

/// Closes one connection that has not said which process it comes from, if there are too many of them.
void closeExcessStranger(const std::set<PeerConnectionPtr>& connections, const PeerConnectionPtr& newest)
{
    const auto budget = processCallerBudget();
    const size_t bound = budget ? budget->bounds().connections / strangersDivisor : 0;
    if (bound == 0 || connections.size() <= bound)
        return;
    size_t strangers = 0;
    PeerConnectionPtr yielding;
    for (const PeerConnectionPtr& connection : connections) {
        if (!connection->peerName.empty())
            continue;
        ++strangers;
        if (connection != newest)
            yielding = connection;
    }
    if (strangers > bound && yielding)
        yielding->close();
}

} // namespace

PeerAcceptor::PeerAcceptor(
    asio::io_context& context, PeerHandler& handler, std::function<void(const PeerConnectionPtr&)> onAccepted)
    : context_(context)
    , handler_(handler)
    , onAccepted_(std::move(onAccepted))
{
}

void PeerAcceptor::listen(const Address& address)
{
    acceptor_ = std::make_unique<asio::ip::tcp::acceptor>(listenOn(context_, address));
    spawn(context_.get_executor(), [this] { return acceptLoop(); });
}

asio::awaitable<void> PeerAcceptor::acceptLoop()
{
    while (acceptor_->is_open()) {
        boost::system::error_code error;
        auto socket = co_await acceptor_->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_await sleepFor(failurePause);
            continue;
        }
        auto connection = std::make_shared<PeerConnection>(std::move(socket), handler_);
        connections_.insert(connection);
        connection->start();
        if (onAccepted_)
            onAccepted_(connection);
        closeExcessStranger(connections_, connection);
    }
}

} // namespace endiveroad::io
