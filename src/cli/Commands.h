#pragma once

#include <string>
#include <vector>

/// The subcommands of the endiveroad binary. Each receives the arguments after its name and returns the exit code. A
/// failure is thrown as an Error, for which main() prints one line and derives the exit code from the error code. A
/// command whose result itself means failure returns exitFailure.
namespace endiveroad::cli {

/// Exit codes, documented in docs/operators/commands.md.
enum ExitCode {
    exitOk = 0,
    exitFailure = 1,
    exitUsage = 2,
    exitConflict = 3,
    exitInvalidSettings = 4,
    exitUnavailable = 5,
    exitAccessRefused = 6,
};

using Arguments = std::vector<std::string>;

int runEntry(const Arguments&);
int runAgent(const Arguments&);
int runCoordinator(const Arguments&);
int runSettings(const Arguments&);
int runStatus(const Arguments&);
int runTimeline(const Arguments&);
int runExplain(const Arguments&);
int runDrain(const Arguments&);

} // namespace endiveroad::cli
