#include "Http.h"
#include "Roles.h"
#include "RunRole.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <random>
#include <set>

namespace standin {

namespace {

/// A caller of a plain service: sends calls at a fixed rate, repeats keyed ones with the same key until it has a final
/// answer, and compares what it was told with the services' journals.
class Caller {
public:
    explicit Caller(const cxxopts::ParseResult& options)
        : pool_(options["service"].as<std::string>())
        , rate_(options["rate"].as<double>())
        , keyedShare_(options["keyed-share"].as<double>())
        , seconds_(options["seconds"].as<double>())
        , settle_(options["settle-ms"].as<int>())
        , seed_(options["seed"].as<uint64_t>())
        , random_(seed_)
    {
        for (const std::string& entry : options["entries"].as<std::vector<std::string>>())
            entries_.push_back(HostPort::parse(entry));
        if (options.count("journals"))
            journals_ = options["journals"].as<std::vector<std::string>>();
    }

    asio::awaitable<void> run()
    {
        const auto executor = co_await asio::this_coro::executor;
        const auto start = std::chrono::steady_clock::now();
        asio::steady_timer timer(executor);
        const auto total = static_cast<uint64_t>(rate_ * seconds_);
        for (uint64_t i = 0; i < total; ++i) {
            timer.expires_at(
                start + std::chrono::microseconds(static_cast<int64_t>(1e6 * static_cast<double>(i) / rate_)));
            co_await timer.async_wait(asio::use_awaitable);
            ++open_;
            asio::co_spawn(
                executor, call(i, std::uniform_real_distribution<double>()(random_) < keyedShare_), asio::detached);
        }
        while (open_ > 0 && secondsSince(start) < seconds_ + 30)
            co_await pause(Milliseconds(20));
        // A late second run must be in the journals before they are read.
        co_await pause(settle_);
        print();
    }

private:
    asio::awaitable<void> call(uint64_t number, bool isKeyed)
    {
        const std::string key = fmt::format("key-{}-{}", seed_, number);
        const std::string body = fmt::format("{{\"call\":\"{}\"}}", key);
        const auto created
            = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        const std::string method = isKeyed ? "POST" : "GET";
        const std::string target = fmt::format("/v1/services/{}/notices/{}", pool_, number);
        const std::string sentBody = isKeyed ? body : std::string();
        std::map<std::string, std::string> headers { { "Endiveroad-Timeout-Ms", "3000" } };
        if (isKeyed) {
            headers["Idempotency-Key"] = key;
            headers["Idempotency-Key-Created-Ms"] = std::to_string(created);
        }
        const auto start = std::chrono::steady_clock::now();
        Answer answer;
        bool isMaybeRun = false;
        // Every second keyed call is repeated while its outcome is open; the others take "not run" as final, so that
        // the journals can contradict it.
        const int attempts = isKeyed && number % 2 == 0 ? 4 : 1;
        for (int attempt = 0; attempt < attempts; ++attempt) {
            std::unique_ptr<beast::tcp_stream> connection;
            const HostPort entry = entries_[random_() % entries_.size()];
            answer = co_await send(connection, entry, method, target, headers, sentBody, Milliseconds(5000));
            const bool isNotRun = answer.status != 0 && answer.body.find("\"not_run\"") != std::string::npos;
            isMaybeRun = isMaybeRun || !isNotRun;
            if (answer.status == 200 || (answer.status >= 400 && answer.status < 500))
                break;
            co_await pause(Milliseconds(100));
        }
        finish({ key, body, fmt::format("/notices/{}", number), isKeyed, isMaybeRun }, answer, secondsSince(start));
        --open_;
    }

    struct Question {
        std::string key;
        std::string body;
        std::string target;
        bool isKeyed = false;
        bool isMaybeRun = false;
    };

    void finish(const Question& question, const Answer& answer, double seconds)
    {
        ++calls_;
        if (answer.status == 200) {
            latencies_.push_back(seconds * 1000);
            const Json json = Json::parse(answer.body, nullptr, false);
            const bool isOwn = !json.is_discarded() && json.value("target", "") == question.target
                && (!question.isKeyed || json.value("echo", "") == question.body);
            wrongAnswers_ += isOwn ? 0 : 1;
            if (question.isKeyed)
                succeeded_.insert(question.key);
        } else if (question.isKeyed && !question.isMaybeRun) {
            notRun_.insert(question.key);
        } else {
            ++unknown_;
        }
    }

    void print()
    {
        std::map<std::string, int> executions;
        for (const std::string& path : journals_) {
            std::ifstream journal(path);
            for (std::string line; std::getline(journal, line);)
                ++executions[line];
        }
        int twice = 0;
        int notRunButRan = 0;
        int lost = 0;
        for (const auto& [key, count] : executions) {
            if (key.starts_with("key-") && count > 1)
                ++twice;
        }
        for (const std::string& key : notRun_)
            notRunButRan += executions.contains(key) ? 1 : 0;
        for (const std::string& key : succeeded_)
            lost += !journals_.empty() && !executions.contains(key) ? 1 : 0;
        std::sort(latencies_.begin(), latencies_.end());
        const auto percentile = [&](double share) {
            return latencies_.empty()
                ? 0
                : latencies_[static_cast<size_t>(share * static_cast<double>(latencies_.size() - 1))];
        };
        const Json verdict { { "calls", calls_ }, { "calls_answered", latencies_.size() }, { "calls_ran_twice", twice },
            { "not_run_but_ran", notRunButRan }, { "answered_but_lost", lost }, { "wrong_answers", wrongAnswers_ },
            { "calls_not_run", notRun_.size() }, { "calls_outcome_unknown", unknown_ },
            { "calls_p50_ms", percentile(0.5) }, { "calls_p99_ms", percentile(0.99) } };
        std::cout << verdict.dump() << std::endl;
    }

    std::string pool_;
    double rate_;
    double keyedShare_;
    double seconds_;
    Milliseconds settle_;
    uint64_t seed_;
    std::mt19937_64 random_;
    std::vector<HostPort> entries_;
    std::vector<std::string> journals_;
    std::vector<double> latencies_;
    std::set<std::string> succeeded_;
    std::set<std::string> notRun_;
    uint64_t calls_ = 0;
    uint64_t unknown_ = 0;
    uint64_t wrongAnswers_ = 0;
    uint64_t open_ = 0;
};

} // namespace

int runCaller(const cxxopts::ParseResult& options)
{
    return runRole<Caller>(options);
}

} // namespace standin
