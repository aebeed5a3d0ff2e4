#include "Http.h"
#include "Roles.h"
#include "RunRole.h"

#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

namespace standin {

namespace {

/// A plain service: writes one journal line for each execution and answers with what it was asked.
class Service {
public:
    explicit Service(const cxxopts::ParseResult& options)
        : delay_(options["delay-ms"].as<int>())
        , slots_(options["slots"].as<int>())
        , poison_(options["poison"].as<std::string>())
    {
        const std::string path = options["journal"].as<std::string>();
        if (!path.empty())
            journal_.open(path, std::ios::app);
    }

    asio::awaitable<void> handle(Request& request, Connection& connection)
    {
        const std::string target(request.target());
        if (target == "/health")
            co_return co_await connection.answer(200, fmt::format("{{\"running\":{}}}", running_));
        if (target == "/stats")
            co_return co_await connection.answer(200, statsJson());
        if (target == "/fault") {
            const Json fault = Json::parse(request.body());
            delay_ = Milliseconds(fault.value("delayMs", delay_.count()));
            cutAnswers_ = fault.value("cutAnswers", cutAnswers_);
            if (fault.value("crash", false))
                ::_exit(1);
            co_return co_await connection.answer(200, "{}");
        }
        const std::string key(request["Idempotency-Key"]);
        const std::string id = key.empty() ? std::string(request["X-Request-Id"]) : key;
        if (journal_.is_open())
            journal_ << id << std::endl;
        ++executions_[id];
        if (!poison_.empty() && request.body().find(poison_) != std::string::npos)
            ::_exit(1);
        ++running_;
        co_await pause(delay_);
        --running_;
        if (cutAnswers_ > 0) {
            --cutAnswers_;
            const std::string cut = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"echo\":";
            co_await asio::async_write(connection.stream, asio::buffer(cut), asio::use_awaitable);
            connection.mustClose = true;
            co_return;
        }
        co_await connection.answer(200, echoJson(request));
    }

private:
    std::string statsJson() const { return Json { { "executions", executions_ } }.dump(); }

    static std::string echoJson(const Request& request)
    {
        return Json { { "echo", request.body() }, { "target", std::string(request.target()) } }.dump();
    }

    Milliseconds delay_;
    int slots_;
    std::string poison_;
    std::ofstream journal_;
    std::map<std::string, int> executions_;
    int running_ = 0;
    int cutAnswers_ = 0;
};

/// A scoring service. Faults: "fewer" leaves out the last score, "crossed" names another sample.
class Scorer {
public:
    explicit Scorer(const cxxopts::ParseResult& options)
        : delay_(options["delay-ms"].as<int>())
    {
    }

    asio::awaitable<void> handle(Request& request, Connection& connection)
    {
        const std::string target(request.target());
        if (target == "/health")
            co_return co_await connection.answer(200, "{}");
        const Json body = Json::parse(request.body());
        if (target == "/fault") {
            fault_ = body.value("next", fault_);
            co_return co_await connection.answer(200, "{}");
        }
        co_await pause(delay_);
        Json scores = scoresOf(body);
        const std::string fault = std::exchange(fault_, "");
        if (fault == "fewer" && !scores.empty())
            scores.erase(scores.size() - 1);
        if (fault == "crossed" && !scores.empty())
            scores[0]["id"] = "0/999999";
        Json answer;
        answer["scores"] = scores;
        co_await connection.answer(200, answer.dump());
    }

private:
    static Json scoresOf(const Json& body)
    {
        Json scores = Json::array();
        for (const Json& item : body.at("items")) {
            const auto hash = std::hash<std::string>()(item.at("text").get<std::string>());
            scores.push_back({ { "id", item.at("id") }, { "score", static_cast<double>(hash % 1000) / 1000 } });
        }
        return scores;
    }

    Milliseconds delay_;
    std::string fault_;
};

/// A weight store that lets few loads through at once.
class WeightStore {
public:
    explicit WeightStore(const cxxopts::ParseResult& options)
        : atOnce_(options["loads-at-once"].as<int>())
        , loadTime_(options["load-ms"].as<int>())
    {
    }

    asio::awaitable<void> handle(Request&, Connection& connection)
    {
        while (running_ >= atOnce_)
            co_await pause(Milliseconds(2));
        ++running_;
        co_await pause(loadTime_);
        --running_;
        co_await connection.answer(200, "{}");
    }

private:
    int atOnce_;
    Milliseconds loadTime_;
    int running_ = 0;
};

/// The platform's lagging list of VMs: what was put is shown after a delay.
class VmList {
public:
    explicit VmList(const cxxopts::ParseResult& options)
        : lag_(options["delay-ms"].as<int>())
    {
    }

    asio::awaitable<void> handle(Request& request, Connection& connection)
    {
        if (request.method() == http::verb::get)
            co_return co_await connection.answer(200, shown_.dump());
        Json list = Json::parse(request.body());
        co_await connection.answer(200, "{}");
        co_await pause(lag_);
        shown_ = std::move(list);
    }

private:
    Milliseconds lag_;
    Json shown_ = Json::array();
};

} // namespace

int runService(const cxxopts::ParseResult& options)
{
    return serveRole<Service>(options);
}
int runScorer(const cxxopts::ParseResult& options)
{
    return serveRole<Scorer>(options);
}
int runWeights(const cxxopts::ParseResult& options)
{
    return serveRole<WeightStore>(options);
}
int runVms(const cxxopts::ParseResult& options)
{
    return serveRole<VmList>(options);
}

} // namespace standin
