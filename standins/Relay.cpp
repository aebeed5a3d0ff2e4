#include "Http.h"
#include "Roles.h"

#include <array>
#include <list>

namespace standin {

namespace {

using tcp = asio::ip::tcp;

/// One relayed connection. A silent one stays open at both ends and passes no byte any more.
struct Link {
    explicit Link(tcp::socket socket)
        : client(std::move(socket))
        , server(client.get_executor())
    {
    }

    void close()
    {
        beast::error_code ignored;
        client.close(ignored);
        server.close(ignored);
    }

    tcp::socket client;
    tcp::socket server;
    bool isSilent = false;
};

using LinkPtr = std::shared_ptr<Link>;

asio::awaitable<void> pump(LinkPtr link, tcp::socket& from, tcp::socket& to)
{
    std::array<char, 65536> buffer;
    beast::error_code error;
    while (!error) {
        const size_t size
            = co_await from.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error || link->isSilent)
            continue;
        co_await asio::async_write(
            to, asio::buffer(buffer.data(), size), asio::redirect_error(asio::use_awaitable, error));
    }
    // The other end of a silent connection does not learn that this one has gone.
    if (!link->isSilent)
        link->close();
}

/// One route: whoever connects to its address is passed on to the target.
class Route {
public:
    Route(asio::io_context& context, const std::string& text)
        : name_(text.substr(0, text.find('=')))
        , target_(HostPort::parse(text.substr(text.find('=') + 1)))
    {
        const HostPort from = HostPort::parse(name_);
        acceptor_
            = std::make_unique<tcp::acceptor>(context, tcp::endpoint(asio::ip::make_address(from.host), from.port));
        asio::co_spawn(context, accept(), asio::detached);
    }

    const std::string& name() const { return name_; }

    /// Silences the present connections for good; new ones work. Returns how many they were.
    size_t silence()
    {
        size_t count = 0;
        for (const std::weak_ptr<Link>& weak : links_) {
            const LinkPtr link = weak.lock();
            if (!link || link->isSilent)
                continue;
            link->isSilent = true;
            silent_.push_back(link);
            ++count;
        }
        links_.clear();
        return count;
    }

    /// Cuts the present connections.
    void cut()
    {
        for (const std::weak_ptr<Link>& weak : links_) {
            if (const LinkPtr link = weak.lock())
                link->close();
        }
        links_.clear();
    }

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto socket = co_await acceptor_->async_accept(asio::use_awaitable);
            auto link = std::make_shared<Link>(std::move(socket));
            links_.remove_if([](const auto& weak) { return weak.expired(); });
            links_.push_back(link);
            asio::co_spawn(acceptor_->get_executor(), connect(link), asio::detached);
        }
    }

    asio::awaitable<void> connect(LinkPtr link)
    {
        beast::error_code error;
        const tcp::endpoint endpoint(asio::ip::make_address(target_.host), target_.port);
        co_await link->server.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            link->close();
            co_return;
        }
        link->client.set_option(tcp::no_delay(true), error);
        link->server.set_option(tcp::no_delay(true), error);
        const auto executor = co_await asio::this_coro::executor;
        asio::co_spawn(executor, pump(link, link->client, link->server), asio::detached);
        asio::co_spawn(executor, pump(link, link->server, link->client), asio::detached);
    }

    std::string name_;
    HostPort target_;
    std::unique_ptr<tcp::acceptor> acceptor_;
    std::list<std::weak_ptr<Link>> links_;
    std::vector<LinkPtr> silent_;
};

/// Passes bytes between pairs of addresses. POST /fault with {"silence": listen} or {"cut": listen}.
class Relay {
public:
    Relay(asio::io_context& context, const cxxopts::ParseResult& options)
    {
        for (const std::string& route : options["route"].as<std::vector<std::string>>())
            routes_.push_back(std::make_unique<Route>(context, route));
    }

    asio::awaitable<void> handle(Request& request, Connection& connection)
    {
        if (request.target() != "/fault")
            co_return co_await connection.answer(200, "{}");
        const Json fault = Json::parse(request.body());
        size_t silenced = 0;
        for (const auto& route : routes_) {
            if (fault.value("silence", "") == route->name())
                silenced += route->silence();
            if (fault.value("cut", "") == route->name())
                route->cut();
        }
        Json answer;
        answer["silenced"] = silenced;
        co_await connection.answer(200, answer.dump());
    }

private:
    std::vector<std::unique_ptr<Route>> routes_;
};

} // namespace

int runRelay(const cxxopts::ParseResult& options)
{
    asio::io_context context(1);
    Relay relay(context, options);
    serve(context, HostPort::parse(options["listen"].as<std::string>()),
        [&](Request& request, Connection& connection) { return relay.handle(request, connection); });
    context.run();
    return 0;
}

} // namespace standin
