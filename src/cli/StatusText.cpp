#include "cli/StatusText.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace endiveroad::cli {

namespace {

using Json = nlohmann::json;
using Row = std::vector<std::string>;

/// Formats rows as aligned columns; the first row is the header. Returns an empty text if there are no other rows.
std::string formatTable(const std::vector<Row>& rows)
{
    std::vector<size_t> widths(rows.front().size(), 0);
    for (const Row& row : rows) {
        for (size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const Row& row : rows) {
        std::string line;
        for (size_t i = 0; i < row.size(); ++i)
            line += fmt::format("{:<{}}  ", row[i], widths[i]);
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return rows.size() == 1 ? "" : text + "\n";
}

std::string valueText(const Json& process, const char* name)
{
    return process.contains(name) ? process.at(name).dump() : "-";
}

std::string stateOf(const Json& process)
{
    const std::string state = process.value("state", "unknown");
    return state == "live" && process.value("isDraining", false) ? "draining" : state;
}

std::string versionOf(const Json& agent)
{
    if (!agent.contains("version"))
        return "-";
    const auto version = agent.at("version").get<int64_t>();
    return version < 0 ? "unknown" : std::to_string(version);
}

std::string entryTable(const Json& processes)
{
    std::vector<Row> rows { { "ENTRY", "STATE", "REVISION" } };
    for (const Json& process : processes) {
        if (process.value("role", "") == "entry")
            rows.push_back({ process.at("name"), stateOf(process), valueText(process, "revision") });
    }
    return formatTable(rows);
}

std::string agentTable(const Json& processes)
{
    std::vector<Row> rows { { "AGENT", "POOL", "STATE", "REVISION", "SERVER", "VERSION", "RUNNING", "FREE", "HELD",
        "HELD BYTES" } };
    for (const Json& process : processes) {
        if (process.value("role", "") != "agent")
            continue;
        const bool isLive = process.contains("isServerUp");
        const std::string server = !isLive ? "-" : process.at("isServerUp").get<bool>() ? "up" : "down";
        rows.push_back({ process.at("name"), process.value("pool", "-"), stateOf(process),
            valueText(process, "revision"), server, versionOf(process), valueText(process, "running"),
            valueText(process, "freeSlots"), valueText(process, "heldSamples"), valueText(process, "heldBytes") });
    }
    return formatTable(rows);
}

std::string poolTable(const Json& processes)
{
    struct Pool {
        int agents = 0;
        int serversUp = 0;
        int freeSlots = 0;
        std::set<std::string> versions;
    };
    std::map<std::string, Pool> pools;
    for (const Json& process : processes) {
        if (!process.contains("pool"))
            continue;
        Pool& pool = pools[process.at("pool").get<std::string>()];
        ++pool.agents;
        pool.serversUp += process.value("isServerUp", false) ? 1 : 0;
        pool.freeSlots += process.value("freeSlots", 0);
        pool.versions.insert(versionOf(process));
    }
    std::vector<Row> rows { { "POOL", "AGENTS", "SERVERS UP", "FREE", "VERSIONS" } };
    for (const auto& [name, pool] : pools) {
        rows.push_back({ name, std::to_string(pool.agents), std::to_string(pool.serversUp),
            std::to_string(pool.freeSlots), fmt::format("{}", fmt::join(pool.versions, ",")) });
    }
    return formatTable(rows);
}

std::string jobTable(const Json& processes)
{
    std::vector<Row> rows { { "JOB", "AT", "POLICY VERSION", "STEP", "WANTED", "FINISHED", "RECEIVED" } };
    for (const Json& process : processes) {
        for (const Json& job : process.value("jobs", Json::array())) {
            const Row jobCells { job.at("job"), process.at("name"), valueText(job, "policyVersion") };
            if (job.at("steps").empty())
                rows.push_back({ jobCells[0], jobCells[1], jobCells[2], "-", "-", "-", "-" });
            for (const Json& step : job.at("steps")) {
                rows.push_back({ jobCells[0], jobCells[1], jobCells[2], valueText(step, "step"),
                    valueText(step, "wanted"), valueText(step, "finished"), valueText(step, "received") });
            }
        }
    }
    return formatTable(rows);
}

} // namespace

std::string statusText(const Json& status)
{
    const Json processes = status.contains("processes") ? status.at("processes") : Json::array({ status });
    std::string text = entryTable(processes) + poolTable(processes) + agentTable(processes) + jobTable(processes);
    if (text.ends_with("\n\n"))
        text.pop_back();
    return text;
}

} // namespace endiveroad::cli
