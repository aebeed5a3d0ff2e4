#include "cli/Options.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace {

using namespace endiveroad;
using namespace endiveroad::cli;

constexpr std::string_view helpFooter = "Exit codes and examples: docs/operators/commands.md.\n";

int runVersion(const Arguments& arguments)
{
    cxxopts::Options options("endiveroad version", "Prints the version of this program.");
    options.add_options()("h,help", "Print this help");
    if (parse(options, arguments))
        fmt::print("endiveroad {}\n", ENDIVEROAD_VERSION);
    return exitOk;
}

struct Command {
    std::string_view name;
    std::string_view summary;
    int (*run)(const Arguments&);
};

constexpr Command commands[] {
    { "entry", "Runs an entry: serves and routes callers' HTTP requests, coordinates rollout jobs.", runEntry },
    { "agent", "Runs the agent of one backend server.", runAgent },
    { "coordinator", "Runs a coordinator of batch jobs on a shared platform.", runCoordinator },
    { "settings", "Validates, applies and explains settings.", runSettings },
    { "status", "Shows the state of all processes.", runStatus },
    { "timeline", "Shows the events of all processes, merged in the order of their timestamps.", runTimeline },
    { "explain", "Explains from logs how a request, an item or a batch job ended.", runExplain },
    { "drain", "Tells a process to finish its work and exit.", runDrain },
    { "version", "Prints the version of this program.", runVersion },
};

void printUsage(FILE* stream)
{
    fmt::print(stream, "Usage:\n  endiveroad COMMAND [OPTIONS]\n\nCommands:\n");
    for (const Command& command : commands)
        fmt::print(stream, "  {:<12} {}\n", command.name, command.summary);
    fmt::print(stream, "\n`endiveroad COMMAND --help` lists the options of a command. {}", helpFooter);
}

int exitCodeFor(ErrorCode code)
{
    switch (code) {
    case ErrorCode::UsageInvalid:
        return exitUsage;
    case ErrorCode::SettingsConflict:
        return exitConflict;
    case ErrorCode::SettingsInvalid:
        return exitInvalidSettings;
    case ErrorCode::StoreUnavailable:
    case ErrorCode::PeerUnavailable:
        return exitUnavailable;
    case ErrorCode::AccessRefused:
        return exitAccessRefused;
    default:
        return exitFailure;
    }
}

} // namespace

int main(int argc, char** argv)
{
    const Arguments arguments(argv + 1, argv + argc);
    if (arguments.empty()) {
        printUsage(stderr);
        return exitUsage;
    }
    if (arguments.front() == "--help" || arguments.front() == "-h") {
        printUsage(stdout);
        return exitOk;
    }
    const auto command = std::find_if(std::begin(commands), std::end(commands),
        [&](const Command& candidate) { return candidate.name == arguments.front(); });
    if (command == std::end(commands)) {
        fmt::print(stderr, "endiveroad: unknown command \"{}\"; see endiveroad --help\n", arguments.front());
        return exitUsage;
    }
    try {
        return command->run(Arguments(arguments.begin() + 1, arguments.end()));
    } catch (const Error& error) {
        fmt::print(stderr, "endiveroad {}: {} ({})\n", command->name, error.what(), codeText(error.code()));
        return exitCodeFor(error.code());
    } catch (const std::exception& error) {
        fmt::print(stderr, "endiveroad {}: {}\n", command->name, error.what());
        return exitFailure;
    }
}
