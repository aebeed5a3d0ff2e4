#include "Http.h"

#include <fmt/format.h>

namespace standin {

namespace {

constexpr uint64_t maxBodyBytes = 256U << 20;

asio::awaitable<void> runSession(std::shared_ptr<Connection> connection, Handler handler)
{
    beast::flat_buffer buffer;
    try {
        connection->stream.socket().set_option(asio::ip::tcp::no_delay(true));
        while (!connection->mustClose) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(maxBodyBytes);
            co_await http::async_read(connection->stream, buffer, parser, asio::use_awaitable);
            Request request = parser.release();
            connection->mustClose = !request.keep_alive();
            co_await handler(request, *connection);
        }
    } catch (const std::exception&) {
        // The client has gone or sent what is no HTTP; the connection ends.
    }
    connection->stream.close();
}

asio::awaitable<void> acceptLoop(std::shared_ptr<asio::ip::tcp::acceptor> acceptor, Handler handler)
{
    while (true) {
        beast::error_code error;
        auto socket = co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_await pause(Milliseconds(20));
            continue;
        }
        auto connection = std::make_shared<Connection>(std::move(socket));
        asio::co_spawn(acceptor->get_executor(), runSession(connection, handler), asio::detached);
    }
}

} // namespace

HostPort HostPort::parse(const std::string& text)
{
    const size_t colon = text.rfind(':');
    return { text.substr(0, colon), static_cast<uint16_t>(std::stoi(text.substr(colon + 1))) };
}

asio::awaitable<void> Connection::answer(int status, std::string body, std::string type)
{
    Response response;
    response.version(11);
    response.result(static_cast<unsigned>(status));
    response.set(http::field::content_type, type);
    response.keep_alive(!mustClose);
    response.body() = std::move(body);
    response.prepare_payload();
    co_await http::async_write(stream, response, asio::use_awaitable);
}

asio::awaitable<void> Connection::beginStream(std::string type)
{
    http::response<http::empty_body> response;
    response.version(11);
    response.result(http::status::ok);
    response.set(http::field::content_type, type);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    co_await http::async_write_header(stream, serializer, asio::use_awaitable);
}

asio::awaitable<bool> Connection::sendPiece(std::string piece)
{
    beast::error_code error;
    co_await asio::async_write(
        stream, http::make_chunk(asio::buffer(piece)), asio::redirect_error(asio::use_awaitable, error));
    mustClose = mustClose || error;
    co_return !error;
}

asio::awaitable<void> Connection::endStream()
{
    co_await asio::async_write(stream, http::make_chunk_last(), asio::use_awaitable);
}

void serve(asio::io_context& context, const HostPort& address, Handler handler)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
    auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(context, endpoint);
    asio::co_spawn(context, acceptLoop(acceptor, std::move(handler)), asio::detached);
}

asio::awaitable<void> pause(Milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    beast::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<Answer> send(std::unique_ptr<beast::tcp_stream>& kept, HostPort address, std::string method,
    std::string target, std::map<std::string, std::string> headers, std::string body, Milliseconds timeout)
{
    Answer answer;
    try {
        if (!kept) {
            kept = std::make_unique<beast::tcp_stream>(co_await asio::this_coro::executor);
            kept->expires_after(timeout);
            const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
            co_await kept->async_connect(endpoint, asio::use_awaitable);
            kept->socket().set_option(asio::ip::tcp::no_delay(true));
        }
        Request request;
        request.version(11);
        request.method_string(method);
        request.target(target);
        request.set(http::field::host, address.host);
        for (const auto& [name, value] : headers)
            request.set(name, value);
        request.body() = std::move(body);
        request.prepare_payload();
        kept->expires_after(timeout);
        co_await http::async_write(*kept, request, asio::use_awaitable);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        co_await http::async_read(*kept, buffer, parser, asio::use_awaitable);
        answer.status = static_cast<int>(parser.get().result_int());
        for (const auto& field : parser.get())
            answer.headers[std::string(field.name_string())] = std::string(field.value());
        answer.body = std::move(parser.get().body());
        kept->expires_never();
        if (!parser.get().keep_alive())
            kept.reset();
    } catch (const std::exception&) {
        kept.reset();
        answer.status = 0;
    }
    co_return answer;
}

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

} // namespace standin
