#include "cli/Options.h"
#include "io/agent/AgentNode.h"
#include "io/entry/EntryNode.h"
#include "io/hosted/HostedAgent.h"
#include "io/hosted/HostedCoordinator.h"
#include "io/hosted/HostedEntry.h"
#include "platform/HostedPlatform.h"

#include <algorithm>
#include <endiveroad/Error.h>

namespace endiveroad::cli {

namespace {

constexpr uint64_t maxPort = 65535;

/// Runs a role on a shared platform, which writes the settings to a file that each process reads.
template <typename NodeType>
int runHosted(const std::string& role, const std::string& description, const Arguments& arguments)
{
    cxxopts::Options options("endiveroad " + role + " --hosted", description);
    options.add_options()("h,help", "Print this help")("hosted", "Run on a shared platform")(
        "metrics-port", "Port on which metrics are served", cxxopts::value<std::string>());
    const auto result = parse(options, arguments);
    if (!result)
        return exitOk;
    io::HostedOptions hosted;
    if (result->count("metrics-port") != 0)
        hosted.metricsPort = static_cast<uint16_t>(integerOption(*result, "metrics-port", 1, maxPort));
    NodeType(platform::makePlatform(), hosted).run();
    return exitOk;
}

bool isHosted(const Arguments& arguments)
{
    return std::find(arguments.begin(), arguments.end(), "--hosted") != arguments.end();
}

template <typename NodeType>
int runNode(const std::string& role, const std::string& description, const Arguments& arguments)
{
    cxxopts::Options options("endiveroad " + role, description);
    addCommonOptions(options);
    options.add_options()("name", "Name of this process in the settings", cxxopts::value<std::string>())(
        "store", "host:port of the key-value service", cxxopts::value<std::string>())(
        "peer", "host:port of a process to get settings from (repeatable)", cxxopts::value<std::vector<std::string>>())(
        "peer-listen", "host:port to listen on for peers, if it differs from the address in the settings",
        cxxopts::value<std::string>())(
        "key-file", "File of the shared keys by which peers and operators authenticate", cxxopts::value<std::string>());
    const auto result = parse(options, arguments);
    if (!result)
        return exitOk;
    if (result->count("name") == 0)
        throw UsageInvalidError("--name is missing");
    io::NodeOptions node;
    node.name = (*result)["name"].as<std::string>();
    node.role = role;
    if (result->count("store") != 0)
        node.store = addressOption(*result, "store");
    if (result->count("peer-listen") != 0)
        node.peerListen = addressOption(*result, "peer-listen");
    if (result->count("peer") != 0) {
        for (const std::string& peer : (*result)["peer"].as<std::vector<std::string>>())
            node.peers.push_back(parseAddress("peer", peer));
    }
    if (!node.store && node.peers.empty())
        throw UsageInvalidError("give --store or --peer; the process needs one of them to get its settings");
    if (result->count("key-file") != 0)
        node.keyFile = (*result)["key-file"].as<std::string>();
    configureLog(*result, node.name);
    NodeType(std::move(node)).run();
    return exitOk;
}

} // namespace

int runEntry(const Arguments& arguments)
{
    if (isHosted(arguments))
        return runHosted<io::HostedEntry>("entry", "Serves callers' HTTP requests on a shared platform.", arguments);
    return runNode<io::EntryNode>(
        "entry", "Serves and routes callers' HTTP requests and coordinates rollout jobs.", arguments);
}

int runAgent(const Arguments& arguments)
{
    if (isHosted(arguments))
        return runHosted<io::HostedAgent>("agent", "Runs items on one engine replica on a shared platform.", arguments);
    return runNode<io::AgentNode>("agent", "Controls access to one backend server.", arguments);
}

int runCoordinator(const Arguments& arguments)
{
    return runHosted<io::HostedCoordinator>("coordinator", "Owns batch jobs on a shared platform.", arguments);
}

} // namespace endiveroad::cli
