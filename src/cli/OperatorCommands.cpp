#include "cli/PeerRequest.h"

#include <fmt/format.h>

namespace endiveroad::cli {

int runDrain(const Arguments& arguments)
{
    cxxopts::Options options("endiveroad drain", "Tells a process to finish its work and exit.");
    addCommonOptions(options);
    addConnectionOptions(options);
    const auto result = parse(options, arguments);
    if (!result)
        return exitOk;
    configureLog(*result, "drain");
    fmt::print("{}\n", sendCommand(*result, io::MessageType::Drain));
    return exitOk;
}

} // namespace endiveroad::cli
