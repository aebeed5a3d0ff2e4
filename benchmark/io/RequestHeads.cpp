#include "io/HttpClient.h"
#include "support/Counting.h"

#include <boost/beast/http.hpp>
#include <endiveroad/HttpHead.h>
#include <endiveroad/ItemFault.h>
#include <fmt/format.h>
#include <sstream>

using namespace endiveroad;
using namespace endiveroad::benchmarks;

namespace http = boost::beast::http;

namespace {

/// A request as an item's, with this many headers.
io::HttpRequest requestWith(int64_t headers)
{
    io::HttpRequest request;
    request.method = "POST";
    request.target = "/pule252/3/91c4";
    for (int64_t i = 0; i < headers; ++i)
        request.headers.emplace_back(fmt::format("Endiveroad-Header-{}", i), "9c2e41:300,5d07b8:240");
    return request;
}

/// Builds and serializes the head without a check.
void writeHead(const io::HttpRequest& request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const auto& [name, value] : request.headers)
        message.insert(name, value);
    message.prepare_payload();
    http::request_serializer<http::string_body> serializer(message);
    boost::system::error_code error;
    serializer.next(error, [](boost::system::error_code&, const auto& buffers) {
        benchmark::DoNotOptimize(boost::asio::buffer_size(buffers));
    });
}

void headUnchecked(benchmark::State& state)
{
    const io::HttpRequest request = requestWith(state.range(0));
    timeAndCount(state, [&] { writeHead(request); });
}
BENCHMARK(headUnchecked)->Arg(1)->Arg(8)->Arg(64);

void headChecked(benchmark::State& state)
{
    const io::HttpRequest request = requestWith(state.range(0));
    timeAndCount(state, [&] {
        benchmark::DoNotOptimize(
            requestHeadFault({ request.method, request.target, request.headers, request.body.size() }));
        writeHead(request);
    });
}
BENCHMARK(headChecked)->Arg(1)->Arg(8)->Arg(64);

/// The check of a job's items before it is accepted.
void itemChecks(benchmark::State& state)
{
    BatchItem item;
    item.id = "e5b2907c14da6f38";
    item.path = "/pule252/3/91c4";
    item.headers = requestWith(3).headers;
    item.body = std::string(1000, 'x');
    item.scoring = ScoringCall { "40c8f1a7b3e9265d", "ficu95.example", "/pufi791/5e07", "" };
    const std::vector<BatchItem> items(static_cast<size_t>(state.range(0)), item);
    timeAndCount(state, [&] {
        for (const BatchItem& each : items)
            benchmark::DoNotOptimize(itemFault(each));
    });
}
BENCHMARK(itemChecks)->Arg(1)->Arg(40);

} // namespace
