#include "cli/PeerRequest.h"
#include "cli/TimelineHtml.h"
#include "io/Clock.h"
#include "io/Log.h"

#include <algorithm>
#include <charconv>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace endiveroad::cli {

namespace {

using Json = nlohmann::json;

/// Parses an age such as "90s", "5m" or "2h", or a wall time in ms since 1970, and returns a wall time in ms. Throws
/// UsageInvalidError.
int64_t parseSince(const std::string& text)
{
    uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    const std::string unit(result.ptr, text.data() + text.size());
    if (result.ec == std::errc() && unit.empty())
        return static_cast<int64_t>(value);
    const int64_t unitMs = unit == "s" ? 1000 : unit == "m" ? 60'000 : unit == "h" ? 3'600'000 : 0;
    constexpr uint64_t maxUnits = 1'000'000;
    if (result.ec != std::errc() || unitMs == 0 || value > maxUnits)
        throw UsageInvalidError(
            fmt::format("--since: \"{}\" is neither an age such as 90s, 5m or 2h nor a time in ms since 1970", text));
    return std::max<int64_t>(0, io::wallMs() - static_cast<int64_t>(value) * unitMs);
}

struct CollectedEvents {
    std::vector<TimelineEntry> entries;
    /// Names of the processes without entries in the answer: unreachable ones, and those left out for size.
    std::vector<std::string> unreachable;
};

CollectedEvents queryEvents(const cxxopts::ParseResult& options, const io::SurveyQuery& query)
{
    const Json answer = Json::parse(sendSurvey(options, query));
    const Json processes = answer.contains("processes") ? answer.at("processes") : Json::array({ answer });
    std::vector<std::vector<TimelineEntry>> parts;
    CollectedEvents collected;
    for (const Json& process : processes) {
        if (!process.contains("entries")) {
            collected.unreachable.push_back(process.at("name").get<std::string>());
            continue;
        }
        parts.emplace_back();
        for (const Json& line : process.at("entries"))
            parts.back().push_back(io::fromJsonLine(line.dump()));
    }
    collected.entries = mergeTimelines(std::move(parts));
    return collected;
}

/// Ids of the attempts that entry processes made for a caller's request. If callerRequest is empty, the request ids of
/// all entries without a callerRequest.
std::set<std::string> attemptIds(const std::vector<TimelineEntry>& entries, const std::string& callerRequest)
{
    std::set<std::string> attempts;
    for (const TimelineEntry& entry : entries) {
        std::map<std::string, std::string> fields(entry.fields.begin(), entry.fields.end());
        if (fields["callerRequest"] == callerRequest && fields["request"] != callerRequest)
            attempts.insert(fields["request"]);
    }
    return attempts;
}

CollectedEvents collectEvents(const cxxopts::ParseResult& options)
{
    io::SurveyQuery query;
    query.type = io::MessageType::Timeline;
    query.scope = scopeOption(options);
    query.timeline.sinceWallMs = parseSince(options["since"].as<std::string>());
    query.timeline.limit = integerOption(options, "limit", 1, io::Log::ringCapacity);
    if (options.count("job") != 0)
        query.timeline.job = options["job"].as<std::string>();
    if (options.count("request") != 0)
        query.timeline.request = options["request"].as<std::string>();
    CollectedEvents collected = queryEvents(options, query);
    std::vector<std::vector<TimelineEntry>> parts;
    for (const std::string& attempt : attemptIds(collected.entries, query.timeline.request)) {
        query.timeline.request = attempt;
        parts.push_back(queryEvents(options, query).entries);
    }
    parts.push_back(std::move(collected.entries));
    collected.entries = mergeTimelines(std::move(parts));
    const auto duplicates = std::unique(collected.entries.begin(), collected.entries.end());
    collected.entries.erase(duplicates, collected.entries.end());
    return collected;
}

void writeHtml(const std::string& path, const CollectedEvents& collected)
{
    std::ofstream stream(path);
    stream << timelineHtml(collected.entries);
    stream.close();
    if (!stream)
        throw FileUnreadableError(fmt::format("{} cannot be written", path));
}

} // namespace

int runTimeline(const Arguments& arguments)
{
    cxxopts::Options options(
        "endiveroad timeline", "Shows the events of all processes, merged in the order of their timestamps.");
    addCommonOptions(options);
    addSurveyOptions(options);
    options.add_options()("job", "Only events of this job", cxxopts::value<std::string>())("request",
        "Only events of this request id, or of a sample as JOB/STEP/INDEX",
        cxxopts::value<std::string>())("since", "Only events since a time: 90s, 5m or 2h ago, or ms since 1970",
        cxxopts::value<std::string>()->default_value("0"))("limit",
        "Maximum number of events of each process; the latest are shown",
        cxxopts::value<std::string>()->default_value(std::to_string(TimelineQuery::defaultLimit)))(
        "json", "Print one JSON object per line")("html",
        "Write a self-contained HTML page with a column for each process to this file", cxxopts::value<std::string>());
    const auto result = parse(options, arguments);
    if (!result)
        return exitOk;
    configureLog(*result, "timeline");
    const CollectedEvents collected = collectEvents(*result);
    if (result->count("html") != 0) {
        writeHtml((*result)["html"].as<std::string>(), collected);
    } else {
        const bool isJson = result->count("json") != 0;
        for (const TimelineEntry& entry : collected.entries)
            fmt::print("{}\n", isJson ? io::toJsonLine(entry) : io::toTextLine(entry));
    }
    if (!collected.unreachable.empty())
        fmt::print(stderr, "endiveroad timeline: no answer from {}\n", fmt::join(collected.unreachable, ", "));
    return exitOk;
}

} // namespace endiveroad::cli
