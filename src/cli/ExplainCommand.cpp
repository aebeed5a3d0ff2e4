#include "cli/Options.h"
#include "io/Log.h"

#include <endiveroad/Error.h>
#include <endiveroad/RequestDiagnosis.h>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <istream>

namespace endiveroad::cli {

namespace {

/// Reads JSON log lines. Ignores text before the JSON object, such as the prefix that a log collector adds, and lines
/// without a JSON object.
void readLog(std::istream& stream, std::vector<TimelineEntry>& entries)
{
    for (std::string line; std::getline(stream, line);) {
        const size_t start = line.find('{');
        if (start == std::string::npos)
            continue;
        try {
            entries.push_back(io::fromJsonLine(std::string_view(line).substr(start)));
        } catch (const FrameInvalidError&) {
            // The file may also contain log lines of other programs.
            continue;
        }
    }
}

std::vector<TimelineEntry> readLogs(const std::vector<std::string>& paths)
{
    std::vector<TimelineEntry> entries;
    for (const std::string& path : paths) {
        if (path == "-") {
            readLog(std::cin, entries);
            continue;
        }
        std::ifstream file(path);
        if (!file)
            throw FileUnreadableError(fmt::format("cannot read {}", path));
        readLog(file, entries);
    }
    return entries;
}

std::string causeLine(const RequestDiagnosis& diagnosis)
{
    const std::string verdict = diagnosis.cause.empty() ? "the logs show no failure" : diagnosis.cause;
    return fmt::format("cause ({}): {}", responsiblePartyName(diagnosis.responsibleParty), verdict);
}

/// Prints the cause of each failed request, and how many of them have a known cause. Fails unless all have one.
int explainFailed(const LogIndex& logs)
{
    const std::vector<std::string> ids = logs.failedIds();
    size_t explained = 0;
    for (const std::string& id : ids) {
        const RequestDiagnosis diagnosis = logs.diagnose(id);
        explained += diagnosis.isExplained && diagnosis.responsibleParty != ResponsibleParty::Nobody ? 1 : 0;
        fmt::print("{} {}\n", id, causeLine(diagnosis));
    }
    fmt::print("explained: {} of {}\n", explained, ids.size());
    return explained == ids.size() ? exitOk : exitFailure;
}

} // namespace

int runExplain(const Arguments& arguments)
{
    cxxopts::Options options("endiveroad explain", "Explains from logs how a request, an item or a batch job ended.");
    options.add_options()("h,help", "Print this help")("id", "Id of the request, item or job",
        cxxopts::value<std::string>())("log", "Log file of JSON lines, - for standard input (repeatable)",
        cxxopts::value<std::vector<std::string>>())("cause-only", "Print only the line with the cause")(
        "failed", "Instead of ID: print the cause of each failed request, and how many have a known cause");
    options.parse_positional({ "id", "log" });
    options.positional_help("ID LOG... | --failed LOG...");
    const auto result = parse(options, arguments);
    if (!result)
        return exitOk;
    if (result->count("id") == 0)
        throw UsageInvalidError("give an id or --failed, and at least one log");
    const std::string id = (*result)["id"].as<std::string>();
    std::vector<std::string> logs
        = result->count("log") > 0 ? (*result)["log"].as<std::vector<std::string>>() : std::vector<std::string>();
    if (result->count("failed") > 0) {
        // With --failed there is no id, so the first positional argument is a log, too.
        logs.insert(logs.begin(), id);
        return explainFailed(LogIndex(readLogs(logs)));
    }
    if (logs.empty())
        throw UsageInvalidError("give an id and at least one log");
    const RequestDiagnosis diagnosis = LogIndex(readLogs(logs)).diagnose(id);
    if (diagnosis.lines.empty()) {
        fmt::print("no log line names {}\n", id);
        return exitFailure;
    }
    if (result->count("cause-only") == 0) {
        for (const TimelineEntry& line : diagnosis.lines)
            fmt::print("{}\n", io::toTextLine(line));
    }
    fmt::print("{}\n", causeLine(diagnosis));
    return diagnosis.isExplained ? exitOk : exitFailure;
}

} // namespace endiveroad::cli
