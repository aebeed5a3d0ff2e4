#include "cli/Commands.h"

#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <map>

namespace {

using namespace endiveroad;
using namespace endiveroad::cli;

int printVersion(const Arguments&)
{
    fmt::print("endiveroad {}\n", ENDIVEROAD_VERSION);
    return exitOk;
}

const std::map<std::string, int (*)(const Arguments&)> commands {
    { "entry", runEntry },
    { "agent", runAgent },
    { "settings", runSettings },
    { "status", runStatus },
    { "timeline", runTimeline },
    { "drain", runDrain },
    { "version", printVersion },
};

void printUsage(FILE* stream)
{
    fmt::print(stream, "usage: endiveroad COMMAND [OPTIONS]; commands:");
    for (const auto& [name, run] : commands)
        fmt::print(stream, " {}", name);
    fmt::print(stream, ". COMMAND --help tells more.\n");
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
    const auto command = commands.find(arguments.front());
    if (command == commands.end()) {
        fmt::print(stderr, "endiveroad: unknown command \"{}\"; see endiveroad --help\n", arguments.front());
        return exitUsage;
    }
    try {
        return command->second(Arguments(arguments.begin() + 1, arguments.end()));
    } catch (const Error& error) {
        fmt::print(stderr, "endiveroad {}: {} ({})\n", command->first, error.what(), codeText(error.code()));
        return exitCodeFor(error.code());
    } catch (const std::exception& error) {
        fmt::print(stderr, "endiveroad {}: {}\n", command->first, error.what());
        return exitFailure;
    }
}
