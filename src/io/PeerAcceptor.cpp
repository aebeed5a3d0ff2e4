#include "io/PeerAcceptor.h"

#include "io/HttpServer.h"
#include "io/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace endiveroad::io {

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
    }
}

} // namespace endiveroad::io
