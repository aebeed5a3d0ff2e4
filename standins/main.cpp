#include "Roles.h"

#include <fmt/format.h>
#include <map>

int main(int argc, char** argv)
{
    const std::map<std::string, int (*)(const cxxopts::ParseResult&)> roles {
        { "engine", standin::runEngine },
        { "service", standin::runService },
        { "scorer", standin::runScorer },
        { "kv", standin::runKeyValue },
        { "weights", standin::runWeights },
        { "vms", standin::runVms },
        { "relay", standin::runRelay },
        { "trainer", standin::runTrainer },
        { "caller", standin::runCaller },
    };
    cxxopts::Options options("endiveroad_standin", "engine|service|scorer|kv|weights|vms|relay|trainer|caller");
    // clang-format off
    options.add_options()
        ("role", "", cxxopts::value<std::string>())
        ("h,help", "Print this help")
        ("listen", "host:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))
        ("seed", "Seed of all random choices", cxxopts::value<uint64_t>()->default_value("1"))
        ("slots", "engine, service: requests at once", cxxopts::value<int>()->default_value("8"))
        ("tokens-per-second", "engine: rate of one stream", cxxopts::value<double>()->default_value("400"))
        ("swap-ms", "engine: time to load weights", cxxopts::value<int>()->default_value("200"))
        ("honours-fencing", "engine: refuse orders with an old fencing number", cxxopts::value<bool>()->default_value("true"))
        ("states-version", "engine: name the version in each chunk", cxxopts::value<bool>()->default_value("false"))
        ("software", "engine: version of its software, stated in its status and named by each token", cxxopts::value<std::string>()->default_value(""))
        ("store", "engine: weight store to load from", cxxopts::value<std::string>()->default_value(""))
        ("delay-ms", "service, scorer: time of a call", cxxopts::value<int>()->default_value("2"))
        ("journal", "service: file that gets a line for each execution", cxxopts::value<std::string>()->default_value(""))
        ("poison", "engine, service: content that crashes it", cxxopts::value<std::string>()->default_value(""))
        ("writes-per-second", "kv: limit", cxxopts::value<int>()->default_value("400"))
        ("reads-per-second", "kv: limit", cxxopts::value<int>()->default_value("2000"))
        ("loads-at-once", "weights: limit", cxxopts::value<int>()->default_value("4"))
        ("load-ms", "weights: time of one load", cxxopts::value<int>()->default_value("50"))
        ("route", "relay: listen=target, both host:port (repeatable)", cxxopts::value<std::vector<std::string>>())
        ("entries", "trainer, caller: host:port,...", cxxopts::value<std::vector<std::string>>())
        ("job", "trainer: name of the job", cxxopts::value<std::string>()->default_value(""))
        ("steps", "trainer: steps to train", cxxopts::value<int>()->default_value("3"))
        ("samples", "trainer: samples a step", cxxopts::value<int>()->default_value("16"))
        ("group", "trainer: samples a group", cxxopts::value<int>()->default_value("4"))
        ("mean-tokens", "trainer: mean length of a sample", cxxopts::value<int>()->default_value("60"))
        ("staleness-bound", "trainer: what the settings promise", cxxopts::value<int>()->default_value("2"))
        ("train-ms", "trainer: time to learn a step", cxxopts::value<int>()->default_value("200"))
        ("open-steps", "trainer: steps submitted ahead", cxxopts::value<int>()->default_value("2"))
        ("restore-at", "trainer: step after whose training it goes back to its last checkpoint", cxxopts::value<int>()->default_value("0"))
        ("lose-answers", "trainer: share of answers thrown away", cxxopts::value<double>()->default_value("0"))
        ("seconds", "trainer, caller: limit of time", cxxopts::value<double>()->default_value("60"))
        ("service", "caller: pool to call", cxxopts::value<std::string>()->default_value(""))
        ("rate", "caller: calls a second", cxxopts::value<double>()->default_value("50"))
        ("keyed-share", "caller: share of calls that may not be repeated", cxxopts::value<double>()->default_value("0.5"))
        ("settle-ms", "caller: wait before the journals are read", cxxopts::value<int>()->default_value("0"))
        ("journals", "caller: journals of the services", cxxopts::value<std::vector<std::string>>());
    // clang-format on
    options.parse_positional({ "role" });
    try {
        const auto result = options.parse(argc, argv);
        const auto role = roles.find(result.count("role") ? result["role"].as<std::string>() : "");
        if (result.count("help") || role == roles.end()) {
            fmt::print("{}", options.help());
            return result.count("help") ? 0 : 2;
        }
        return role->second(result);
    } catch (const std::exception& error) {
        fmt::print(stderr, "endiveroad_standin: {}\n", error.what());
        return 2;
    }
}
