#include "cli/Options.h"
#include "io/agent/AgentNode.h"
#include "io/entry/EntryNode.h"

#include <endiveroad/Error.h>

namespace endiveroad::cli {

namespace {

template <typename NodeType>
int runNode(const std::string& role, const std::string& description, const Arguments& arguments)
{
    cxxopts::Options options("endiveroad " + role, description);
    addCommonOptions(options);
    options.add_options()("name", "Name of this process in the settings", cxxopts::value<std::string>())(
        "store", "host:port of the key-value service", cxxopts::value<std::string>())(
        "peer", "host:port of a process to get settings from (repeatable)", cxxopts::value<std::vector<std::string>>())(
        "peer-listen", "host:port to bind for peers, if it is not the declared address", cxxopts::value<std::string>())(
        "key-file", "File of the shared keys that peers and operators must prove", cxxopts::value<std::string>());
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
        throw UsageInvalidError("give --store or --peer: without either there is nowhere to get settings from");
    if (result->count("key-file") != 0)
        node.keyFile = (*result)["key-file"].as<std::string>();
    configureLog(*result, node.name);
    NodeType(std::move(node)).run();
    return exitOk;
}

} // namespace

int runEntry(const Arguments& arguments)
{
    return runNode<io::EntryNode>("entry", "Takes callers' HTTP, routes it and coordinates rollout jobs.", arguments);
}

int runAgent(const Arguments& arguments)
{
    return runNode<io::AgentNode>("agent", "The authority for the one backend server beside it.", arguments);
}

} // namespace endiveroad::cli
