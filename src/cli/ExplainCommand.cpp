#include "cli/Options.h"
#include "io/Log.h"

#include <endiveroad/Error.h>
#include <endiveroad/RequestStory.h>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <istream>

namespace endiveroad::cli {

namespace {

/// Reads log lines. What stands before the JSON of a line, such as a collector's prefix, is left out, and so are lines
/// without any.
void readLog(std::istream& stream, std::vector<TimelineEntry>& entries)
{
    for (std::string line; std::getline(stream, line);) {
        const size_t start = line.find('{');
        if (start == std::string::npos)
            continue;
        try {
            entries.push_back(io::fromJsonLine(std::string_view(line).substr(start)));
        } catch (const FrameInvalidError&) {
            // Logs of other programs may stand in the same file.
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

} // namespace

int runExplain(const Arguments& arguments)
{
    cxxopts::Options options("endiveroad explain", "Tells from logs what became of a request, an item or a batch job.");
    options.add_options()("h,help", "Print this help")("id", "Id of the request, item or job",
        cxxopts::value<std::string>())("log", "Log of JSON lines, - for standard input (repeatable)",
        cxxopts::value<std::vector<std::string>>())("cause-only", "Print the last line only");
    options.parse_positional({ "id", "log" });
    options.positional_help("ID LOG...");
    const auto result = parse(options, arguments);
    if (!result)
        return exitOk;
    if (result->count("id") == 0 || result->count("log") == 0)
        throw UsageInvalidError("give an id and at least one log");
    const std::string id = (*result)["id"].as<std::string>();
    const RequestStory story = tellStory(readLogs((*result)["log"].as<std::vector<std::string>>()), id);
    if (story.lines.empty()) {
        fmt::print("no line names {}\n", id);
        return exitFailure;
    }
    if (result->count("cause-only") == 0) {
        for (const TimelineEntry& line : story.lines)
            fmt::print("{}\n", io::toTextLine(line));
    }
    const std::string verdict = story.cause.empty() ? "nothing went wrong that is on record" : story.cause;
    fmt::print("cause ({}): {}\n", blameName(story.blame), verdict);
    return story.isExplained ? exitOk : exitFailure;
}

} // namespace endiveroad::cli
