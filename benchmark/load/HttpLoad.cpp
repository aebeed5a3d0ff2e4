/// Closed-loop HTTP load on one address: a number of kept connections, each sending its next request when the answer to
/// the last one is there. Prints one line of JSON with the latencies. Shares no code with the product.
#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;

struct Load {
    asio::ip::tcp::endpoint endpoint;
    std::string target;
    Clock::time_point measureFrom;
    Clock::time_point end;
    std::vector<double> microseconds;
    uint64_t failures = 0;
};

asio::awaitable<void> runConnection(Load& load)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    co_await stream.async_connect(load.endpoint, asio::use_awaitable);
    stream.socket().set_option(asio::ip::tcp::no_delay(true));
    http::request<http::empty_body> request(http::verb::get, load.target, 11);
    request.set(http::field::host, "load");
    beast::flat_buffer buffer;
    while (Clock::now() < load.end) {
        const auto start = Clock::now();
        co_await http::async_write(stream, request, asio::use_awaitable);
        http::response<http::string_body> response;
        co_await http::async_read(stream, buffer, response, asio::use_awaitable);
        if (response.result() != http::status::ok)
            ++load.failures;
        else if (start >= load.measureFrom)
            load.microseconds.push_back(std::chrono::duration<double, std::micro>(Clock::now() - start).count());
    }
}

double percentile(const std::vector<double>& sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<size_t>(share * static_cast<double>(sorted.size() - 1))];
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("http_load", "Closed-loop HTTP load on one address.");
    options.add_options()("host", "IP number", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "Port", cxxopts::value<uint16_t>())("target", "Path", cxxopts::value<std::string>())(
        "connections", "Kept connections", cxxopts::value<int>()->default_value("1"))(
        "warm-up", "Seconds before the measurement", cxxopts::value<double>()->default_value("0.5"))(
        "seconds", "Seconds of the measurement", cxxopts::value<double>()->default_value("2"));
    const auto result = options.parse(argc, argv);
    Load load;
    load.endpoint = { asio::ip::make_address(result["host"].as<std::string>()), result["port"].as<uint16_t>() };
    load.target = result["target"].as<std::string>();
    const auto seconds = [](double value) {
        return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(value));
    };
    load.measureFrom = Clock::now() + seconds(result["warm-up"].as<double>());
    load.end = load.measureFrom + seconds(result["seconds"].as<double>());
    asio::io_context context(1);
    for (int i = 0; i < result["connections"].as<int>(); ++i) {
        asio::co_spawn(context, runConnection(load), [](std::exception_ptr failure) {
            if (failure)
                std::rethrow_exception(failure);
        });
    }
    context.run();
    std::sort(load.microseconds.begin(), load.microseconds.end());
    fmt::print("{{\"calls\":{},\"failures\":{},\"p50_us\":{:.1f},\"p99_us\":{:.1f}}}\n", load.microseconds.size(),
        load.failures, percentile(load.microseconds, 0.5), percentile(load.microseconds, 0.99));
    return 0;
}
