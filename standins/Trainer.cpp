#include "Http.h"
#include "Roles.h"
#include "RunRole.h"

#include <fmt/format.h>
#include <iostream>
#include <random>
#include <set>

namespace standin {

namespace {

/// What a trainer saves and restores with its model.
struct Checkpoint {
    std::map<int, std::set<int>> received_;
    std::set<int> open_;
    std::string cursor_;
    int64_t version_ = 0;
    int submitted_ = 0;
    int trained_ = 0;
    uint64_t delivered_ = 0;
};

/// A trainer: submits steps ahead, fetches with a cursor through random entries, learns, announces new versions, and
/// judges by the tokens themselves what it was given.
class Trainer : private Checkpoint {
public:
    explicit Trainer(const cxxopts::ParseResult& options)
        : job_(options["job"].as<std::string>())
        , steps_(options["steps"].as<int>())
        , samples_(options["samples"].as<int>())
        , group_(options["group"].as<int>())
        , meanTokens_(options["mean-tokens"].as<int>())
        , bound_(options["staleness-bound"].as<int>())
        , trainTime_(options["train-ms"].as<int>())
        , openSteps_(options["open-steps"].as<int>())
        , restoreAt_(options["restore-at"].as<int>())
        , loseAnswers_(options["lose-answers"].as<double>())
        , limitSeconds_(options["seconds"].as<double>())
        , random_(options["seed"].as<uint64_t>())
    {
        for (const std::string& entry : options["entries"].as<std::vector<std::string>>())
            entries_.push_back({ HostPort::parse(entry), nullptr });
        for (int step = 1; step <= steps_; ++step)
            bodies_[step] = makeStep(step);
    }

    asio::awaitable<void> run()
    {
        start_ = std::chrono::steady_clock::now();
        double idle = 0;
        Checkpoint checkpoint;
        for (int step = 1; step <= steps_ && !isOver(); ++step) {
            for (; submitted_ < std::min(step + openSteps_ - 1, steps_); ++submitted_)
                co_await submit(submitted_ + 1);
            const auto waitStart = std::chrono::steady_clock::now();
            while (received_[step].size() < static_cast<size_t>(samples_) && !isOver())
                co_await fetch(step);
            idle += secondsSince(waitStart);
            if (isOver())
                break;
            co_await pause(trainTime_);
            ++version_;
            co_await request("PUT", "/policy", fmt::format("{{\"version\":{},\"weights\":\"\"}}", version_));
            ++trained_;
            if (step == restoreAt_) {
                restoreAt_ = 0;
                ++restores_;
                static_cast<Checkpoint&>(*this) = checkpoint;
                step = trained_;
            } else if (step % 2 == 0) {
                checkpoint = *this;
            }
        }
        print(idle);
    }

private:
    void print(double idle)
    {
        const double elapsed = secondsSince(start_);
        uint64_t missing = 0;
        for (int step = 1; step <= steps_; ++step)
            missing += samples_ - received_[step].size();
        const Json verdict { { "samples_wanted", steps_ * samples_ }, { "samples_delivered", delivered_ },
            { "duplicates", duplicates_ }, { "missing", missing }, { "misattributed", misattributed_ },
            { "mixed_software", mixedSoftware_ }, { "stale", stale_ }, { "unscored", unscored_ },
            { "steps_trained", trained_ }, { "restores", restores_ },
            { "trainer_idle_share", elapsed > 0 ? idle / elapsed : 0 },
            { "mean_staleness", judged_ > 0 ? stalenessSum_ / static_cast<double>(judged_) : 0 },
            { "seconds", elapsed } };
        std::cout << verdict.dump() << std::endl;
    }

    bool isOver() const { return secondsSince(start_) > limitSeconds_; }

    std::string makeStep(int step)
    {
        std::lognormal_distribution<double> length(std::log(meanTokens_) - 0.32, 0.8);
        Json samples = Json::array();
        for (int i = 0; i < samples_; ++i) {
            const int tokens = std::clamp(static_cast<int>(length(random_)), 1, meanTokens_ * 10);
            samples.push_back({ { "prompt", fmt::format("step {} group {} [len={}]", step, i / group_, tokens) },
                { "maxTokens", tokens } });
        }
        return Json { { "samplesPerGroup", group_ }, { "samples", samples } }.dump();
    }

    asio::awaitable<Answer> request(std::string method, std::string path, std::string body)
    {
        Answer answer;
        while (!isOver()) {
            auto& [address, kept] = entries_[random_() % entries_.size()];
            answer = co_await send(kept, address, method, "/v1/jobs/" + job_ + path, {}, body, Milliseconds(8000));
            const bool isLost = std::uniform_real_distribution<double>()(random_) < loseAnswers_;
            if (answer.status >= 200 && answer.status < 500 && !isLost)
                break;
            co_await pause(Milliseconds(100));
        }
        co_return answer;
    }

    asio::awaitable<void> submit(int step)
    {
        co_await request("PUT", fmt::format("/steps/{}", step), bodies_[step]);
        open_.insert(step);
    }

    std::string fetchBody() const
    {
        const Json body { { "cursor", cursor_ }, { "policyVersion", version_ }, { "max", 256 }, { "waitMs", 500 },
            { "steps", open_ } };
        return body.dump();
    }

    asio::awaitable<void> fetch(int step)
    {
        const Answer answer = co_await request("POST", "/fetch", fetchBody());
        if (answer.status != 200) {
            co_await pause(Milliseconds(50));
            co_return;
        }
        const Json json = Json::parse(answer.body);
        if (json.at("answers") != cursor_)
            co_return;
        cursor_ = json.at("cursor").get<std::string>();
        for (const Json& sample : json.at("samples"))
            receive(sample);
        for (const Json& unknown : json.at("unknownSteps"))
            co_await submit(unknown.get<int>());
        if (received_[step].size() == static_cast<size_t>(samples_))
            open_.erase(step);
    }

    void receive(const Json& sample)
    {
        ++delivered_;
        ++judged_;
        if (!received_[sample.at("step").get<int>()].insert(sample.at("index").get<int>()).second)
            ++duplicates_;
        if (!sample.contains("score"))
            ++unscored_;
        const std::vector<int64_t> truth = trueVersions(sample.at("text").get<std::string>());
        std::vector<int64_t> claimed;
        for (const Json& segment : sample.at("segments"))
            claimed.insert(claimed.end(), segment.at("endToken").get<size_t>() - segment.at("firstToken").get<size_t>(),
                segment.at("version").get<int64_t>());
        if (truth != claimed)
            ++misattributed_;
        if (softwareOf(sample.at("text").get<std::string>()).size() > 1)
            ++mixedSoftware_;
        const int64_t oldest = truth.empty() ? version_ : *std::min_element(truth.begin(), truth.end());
        if (oldest < version_ - bound_)
            ++stale_;
        stalenessSum_ += static_cast<double>(version_ - oldest);
    }

    /// Version of each token, as the engine stand-in wrote it into the text.
    static std::vector<int64_t> trueVersions(const std::string& text)
    {
        std::vector<int64_t> versions;
        for (size_t begin = text.find(' '); begin != std::string::npos; begin = text.find(' ', begin + 1))
            versions.push_back(std::stoll(text.substr(begin + 1)));
        return versions;
    }

    /// Software versions that the tokens name.
    static std::set<std::string> softwareOf(const std::string& text)
    {
        std::set<std::string> versions;
        for (size_t begin = text.find('@'); begin != std::string::npos; begin = text.find('@', begin + 1))
            versions.insert(text.substr(begin + 1, text.find('~', begin) - begin - 1));
        return versions;
    }

    std::string job_;
    int steps_;
    int samples_;
    int group_;
    int meanTokens_;
    int64_t bound_;
    Milliseconds trainTime_;
    int openSteps_;
    int restoreAt_;
    double loseAnswers_;
    double limitSeconds_;
    std::mt19937_64 random_;
    std::vector<std::pair<HostPort, std::unique_ptr<beast::tcp_stream>>> entries_;
    std::map<int, std::string> bodies_;
    std::chrono::steady_clock::time_point start_;
    uint64_t duplicates_ = 0;
    uint64_t misattributed_ = 0;
    uint64_t mixedSoftware_ = 0;
    uint64_t stale_ = 0;
    uint64_t unscored_ = 0;
    double stalenessSum_ = 0;
    uint64_t judged_ = 0;
    int restores_ = 0;
};

} // namespace

int runTrainer(const cxxopts::ParseResult& options)
{
    return runRole<Trainer>(options);
}

} // namespace standin
