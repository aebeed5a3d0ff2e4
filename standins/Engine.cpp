#include "Http.h"
#include "Roles.h"
#include "RunRole.h"

#include <fmt/format.h>
#include <random>
#include <unistd.h>

namespace standin {

namespace {

/// A model engine: OpenAI completions with server-sent events, load of weight versions, status. Each token names the
/// version that truly made it, as " <version>.<random>~", with "@<software>" before the "~" if the engine has one.
class Engine {
public:
    explicit Engine(const cxxopts::ParseResult& options)
        : slots_(options["slots"].as<int>())
        , tokenTime_(std::chrono::microseconds(static_cast<int64_t>(1e6 / options["tokens-per-second"].as<double>())))
        , swapTime_(options["swap-ms"].as<int>())
        , honoursFencing_(options["honours-fencing"].as<bool>())
        , statesVersion_(options["states-version"].as<bool>())
        , poison_(options["poison"].as<std::string>())
        , software_(options["software"].as<std::string>())
        , store_(options["store"].as<std::string>())
        , random_(options["seed"].as<uint64_t>())
    {
        boot_ = fmt::format("{}-{}", ::getpid(), std::chrono::steady_clock::now().time_since_epoch().count());
    }

    asio::awaitable<void> handle(Request& request, Connection& connection)
    {
        const std::string target(request.target());
        if (target == "/v1/completions")
            co_await complete(Json::parse(request.body()), connection);
        else if (target == "/load")
            co_await load(Json::parse(request.body()), connection);
        else if (target == "/status" || target == "/health")
            co_await connection.answer(200, statusJson());
        else if (target == "/fault")
            co_await setFault(Json::parse(request.body()), connection);
        else
            co_await connection.answer(404, "{}");
    }

private:
    std::string statusJson() const
    {
        return Json {
            { "boot", boot_ }, { "loads", loads_ }, { "loading", loading_ > 0 }, { "version", version_ },
            { "fence", fence_ }, { "slots", slots_ }, { "running", running_ }, { "tokens", tokensMade_ },
            { "software", software_ }
        }.dump();
    }

    asio::awaitable<void> setFault(Json fault, Connection& connection)
    {
        nextLoad_ = fault.value("nextLoad", nextLoad_);
        cutStreams_ = fault.value("cutStreams", cutStreams_);
        if (fault.value("crash", false))
            ::_exit(1);
        co_await connection.answer(200, "{}");
    }

    asio::awaitable<void> complete(Json body, Connection& connection)
    {
        const std::string prompt = body.at("prompt").get<std::string>();
        if (!poison_.empty() && prompt.find(poison_) != std::string::npos)
            ::_exit(1);
        const size_t mark = prompt.find("[len=");
        const int wanted = mark == std::string::npos ? 16 : std::stoi(prompt.substr(mark + 5));
        const auto made = std::count(prompt.begin(), prompt.end(), '~');
        const int length = std::min<int>(wanted - static_cast<int>(made), body.value("max_tokens", 16));
        while (running_ >= slots_)
            co_await pause(Milliseconds(2));
        ++running_;
        co_await connection.beginStream("text/event-stream");
        bool isConnected = true;
        bool isCut = false;
        auto due = std::chrono::steady_clock::now();
        asio::steady_timer timer(connection.stream.get_executor());
        for (int i = 0; i < length && isConnected; ++i) {
            due += tokenTime_;
            timer.expires_at(due);
            co_await timer.async_wait(asio::use_awaitable);
            const std::string token
                = fmt::format(" {}.{:04x}{}~", version_, random_() & 0xffff, software_.empty() ? "" : "@" + software_);
            ++tokensMade_;
            if (cutStreams_ > 0 && i == length / 2) {
                --cutStreams_;
                isCut = true;
                break;
            }
            isConnected = co_await connection.sendPiece(chunk(token, i + 1 == length));
        }
        if (isCut) {
            connection.mustClose = true;
            --running_;
            co_return;
        }
        if (isConnected && length <= 0)
            isConnected = co_await connection.sendPiece(chunk("", true));
        if (isConnected)
            isConnected = co_await connection.sendPiece("data: [DONE]\n\n");
        --running_;
        if (isConnected)
            co_await connection.endStream();
    }

    std::string chunk(const std::string& text, bool isLast) const
    {
        Json choice { { "index", 0 }, { "text", text }, { "finish_reason", nullptr } };
        if (isLast)
            choice["finish_reason"] = "stop";
        Json body { { "object", "text_completion" }, { "choices", Json::array({ choice }) } };
        if (statesVersion_)
            body["system_fingerprint"] = fmt::format("weights-{}", version_);
        return "data: " + body.dump() + "\n\n";
    }

    /// Faults of the next load: "half" fails after the new weights are partly in force, "late" answers an error and
    /// takes effect afterwards, "refuse" does nothing, "hang" never answers and takes effect.
    asio::awaitable<void> load(Json order, Connection& connection)
    {
        const uint64_t fence = order.at("fence").get<uint64_t>();
        if (honoursFencing_ && fence <= fence_) {
            co_await connection.answer(409, R"({"error":"old fencing number"})");
            co_return;
        }
        fence_ = std::max(fence_, fence);
        const std::string fault = std::exchange(nextLoad_, "");
        const int64_t version = order.at("version").get<int64_t>();
        if (fault == "refuse") {
            co_await connection.answer(500, "{}");
            co_return;
        }
        if (fault == "late") {
            asio::co_spawn(connection.stream.get_executor(), loadLate(version, fence), asio::detached);
            co_await connection.answer(504, "{}");
            co_return;
        }
        ++loading_;
        ++loads_;
        if (!store_.empty()) {
            std::unique_ptr<beast::tcp_stream> kept;
            co_await send(
                kept, HostPort::parse(store_), "GET", fmt::format("/weights/{}", version), {}, "", Milliseconds(20000));
        }
        co_await pause(swapTime_ / 2);
        version_ = version;
        co_await pause(swapTime_ / 2);
        --loading_;
        if (fault == "hang")
            co_await pause(Milliseconds(3600000));
        if (fault == "half" && random_() % 2 == 0)
            version_ = version - 1;
        co_await connection.answer(fault == "half" ? 500 : 200, statusJson());
    }

    asio::awaitable<void> loadLate(int64_t version, uint64_t fence)
    {
        co_await pause(Milliseconds(1500));
        if (honoursFencing_ && fence < fence_)
            co_return;
        ++loads_;
        version_ = version;
    }

    int slots_;
    std::chrono::microseconds tokenTime_;
    Milliseconds swapTime_;
    bool honoursFencing_;
    bool statesVersion_;
    std::string poison_;
    std::string software_;
    std::string store_;
    std::mt19937_64 random_;
    std::string boot_;
    std::string nextLoad_;
    int cutStreams_ = 0;
    int64_t version_ = 0;
    uint64_t loads_ = 0;
    uint64_t fence_ = 0;
    uint64_t tokensMade_ = 0;
    int loading_ = 0;
    int running_ = 0;
};

} // namespace

int runEngine(const cxxopts::ParseResult& options)
{
    return serveRole<Engine>(options);
}

} // namespace standin
