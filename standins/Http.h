#pragma once

#include <boost/asio.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast.hpp>
#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

/// Small HTTP pieces of the stand-ins. They share no code with the product, so that they can judge it.
namespace standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Json = nlohmann::json;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Milliseconds = std::chrono::milliseconds;

struct HostPort {
    std::string host;
    uint16_t port = 0;

    static HostPort parse(const std::string& text);
};

/// One connection of a client to a stand-in.
class Connection {
public:
    explicit Connection(asio::ip::tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    asio::awaitable<void> answer(int status, std::string body, std::string type = "application/json");
    asio::awaitable<void> beginStream(std::string type);

    /// Returns false once the client has gone.
    asio::awaitable<bool> sendPiece(std::string piece);
    asio::awaitable<void> endStream();

    beast::tcp_stream stream;
    bool mustClose = false;
};

using Handler = std::function<asio::awaitable<void>(Request&, Connection&)>;

/// Serves until the process ends.
void serve(asio::io_context&, const HostPort&, Handler);

asio::awaitable<void> pause(Milliseconds);

/// A whole answer, or status 0 if it did not come by the timeout.
struct Answer {
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers;
};

/// Sends one request over a connection that is kept in *kept between calls and dropped after a failure.
asio::awaitable<Answer> send(std::unique_ptr<beast::tcp_stream>& kept, HostPort, std::string method, std::string target,
    std::map<std::string, std::string> headers, std::string body, Milliseconds timeout);

double secondsSince(std::chrono::steady_clock::time_point);

} // namespace standin
