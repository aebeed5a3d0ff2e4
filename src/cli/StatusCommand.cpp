#include "cli/PeerRequest.h"
#include "cli/StatusText.h"
#include "io/Clock.h"

#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <thread>

namespace endiveroad::cli {

namespace {

using Json = nlohmann::json;

constexpr uint64_t maxRevision = std::numeric_limits<int64_t>::max();
constexpr uint64_t maxTimeoutS = 86'400;
constexpr Duration revisionPollInterval = std::chrono::milliseconds(200);

Json queryStatus(const cxxopts::ParseResult& options)
{
    io::SurveyQuery query;
    query.type = io::MessageType::Status;
    query.scope = scopeOption(options);
    return Json::parse(sendSurvey(options, query));
}

std::string queryMetrics(const cxxopts::ParseResult& options)
{
    io::SurveyQuery query;
    query.type = io::MessageType::Status;
    query.scope = io::SurveyScope::Self;
    query.wantsMetrics = true;
    return Json::parse(sendSurvey(options, query)).at("metrics").get<std::string>();
}

/// Names of the live processes whose settings are older than the revision.
std::vector<std::string> processesBehind(const Json& status, int64_t revision)
{
    std::vector<std::string> names;
    for (const Json& process : status.at("processes")) {
        if (process.value("state", "") == "live" && process.at("revision").get<int64_t>() < revision)
            names.push_back(process.at("name").get<std::string>());
    }
    return names;
}

/// Polls the status until all live processes have the revision of --wait-revision, and returns the last status. Throws
/// DeadlineExceededError after --timeout.
Json waitForRevision(const cxxopts::ParseResult& options)
{
    const int64_t revision = static_cast<int64_t>(integerOption(options, "wait-revision", 1, maxRevision));
    const Instant deadline = io::now() + std::chrono::seconds(integerOption(options, "timeout", 0, maxTimeoutS));
    while (true) {
        const Json status = queryStatus(options);
        const auto names = processesBehind(status, revision);
        if (names.empty())
            return status;
        if (io::now() >= deadline) {
            throw DeadlineExceededError(
                fmt::format("revision {} is not in force at {}", revision, fmt::join(names, ", ")));
        }
        std::this_thread::sleep_for(revisionPollInterval);
    }
}

} // namespace

int runStatus(const Arguments& arguments)
{
    cxxopts::Options options(
        "endiveroad status", "Shows the state of all processes, collected by the process at --at.");
    addCommonOptions(options);
    addSurveyOptions(options);
    options.add_options()("json", "Print JSON instead of text")(
        "metrics", "Print the metrics of the process at --at in the Prometheus text format")("wait-revision",
        "Wait until all live processes have this settings revision", cxxopts::value<std::string>())("timeout",
        "Maximum time to wait for the revision, in seconds", cxxopts::value<std::string>()->default_value("30"));
    const auto result = parse(options, arguments);
    if (!result)
        return exitOk;
    configureLog(*result, "status");
    const bool isWaiting = result->count("wait-revision") != 0;
    if (isWaiting && scopeOption(*result) == io::SurveyScope::Self)
        throw UsageInvalidError("--wait-revision queries all processes and cannot be combined with --self");
    if (result->count("metrics") != 0) {
        fmt::print("{}", queryMetrics(*result));
        return exitOk;
    }
    const Json status = isWaiting ? waitForRevision(*result) : queryStatus(*result);
    if (result->count("json") != 0)
        fmt::print("{}\n", status.dump());
    else
        fmt::print("{}", statusText(status));
    return exitOk;
}

} // namespace endiveroad::cli
