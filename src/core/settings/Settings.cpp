#include <endiveroad/Settings.h>

#include <charconv>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endiveroad {

namespace {

using Json = nlohmann::json;

/// A node with the nodes above it, outermost first; inherited sections are merged along it.
struct Chain {
    std::vector<const Json*> nodes;
    std::string path;

    Chain child(const Json& node, const std::string& step) const
    {
        Chain result = *this;
        result.nodes.push_back(&node);
        result.path += "/" + step;
        return result;
    }

    const Json& node() const { return *nodes.back(); }

    Json section(const char* name) const
    {
        Json merged = Json::object();
        for (const Json* node : nodes) {
            if (node->contains(name))
                merged.update(node->at(name));
        }
        return merged;
    }
};

/// The named object below a node, or an empty one. Refers into the node.
const Json& children(const Json& node, const char* key)
{
    static const Json none = Json::object();
    const auto found = node.find(key);
    return found == node.end() ? none : *found;
}

template <typename Value>
void read(const Json& object, const char* key, Value& value)
{
    if (object.contains(key))
        object.at(key).get_to(value);
}

void readMs(const Json& object, const char* key, Duration& value)
{
    if (object.contains(key))
        value = std::chrono::milliseconds(object.at(key).get<int64_t>());
}

CallPolicy readCallPolicy(const Json& section)
{
    CallPolicy policy;
    readMs(section, "timeoutMs", policy.timeout);
    readMs(section, "outcomeRetentionMs", policy.outcomeRetention);
    readMs(section, "drainTimeoutMs", policy.drainTimeout);
    read(section, "maxBodyBytes", policy.maxBodyBytes);
    read(section, "slots", policy.slots);
    read(section, "reservedSlots", policy.reservedSlots);
    return policy;
}

RolloutPolicy readRolloutPolicy(const Json& section)
{
    RolloutPolicy policy;
    read(section, "stalenessBoundVersions", policy.stalenessBound);
    read(section, "idleWeight", policy.idleWeight);
    read(section, "priority", policy.priority);
    readMs(section, "stepTimeoutMs", policy.stepTimeout);
    read(section, "wholeGroups", policy.wholeGroups);
    read(section, "swapShare", policy.swapShare);
    read(section, "heldBytesPerAgent", policy.heldBytesPerAgent);
    return policy;
}

PoolKind readKind(const Json& node)
{
    const std::string kind = node.value("kind", "service");
    if (kind == "engine")
        return PoolKind::Engine;
    if (kind == "scorer")
        return PoolKind::Scorer;
    if (kind == "service")
        return PoolKind::Service;
    throw SettingsInvalidError(fmt::format("kind is \"{}\"; allowed are engine, service, scorer", kind));
}

EntryDeclaration readEntry(const Chain& chain, const std::string& region, const std::string& name)
{
    const Json& node = chain.node();
    return { name, region, node.value("failureDomain", ""), Address::parse(node.at("http").get<std::string>()),
        Address::parse(node.at("peer").get<std::string>()) };
}

PoolDeclaration readPool(const Chain& chain, const std::string& region, const std::string& name)
{
    const Json& node = chain.node();
    PoolDeclaration pool;
    pool.name = name;
    pool.region = region;
    pool.kind = readKind(node);
    pool.model = node.value("model", name);
    read(node, "honoursFencing", pool.honoursFencing);
    read(node, "statesVersion", pool.statesVersion);
    read(node, "isIdempotent", pool.isIdempotent);
    pool.call = readCallPolicy(chain.section("call"));
    for (const auto& [replicaName, replica] : children(node, "replicas").items()) {
        pool.replicas.emplace(replicaName,
            ReplicaDeclaration { replicaName, replica.value("failureDomain", ""),
                Address::parse(replica.at("server").get<std::string>()),
                Address::parse(replica.at("peer").get<std::string>()) });
    }
    return pool;
}

JobDeclaration readJob(const Chain& chain, const std::string& region, const std::string& name)
{
    const Json& node = chain.node();
    JobDeclaration job;
    job.name = name;
    job.region = region;
    job.trainer = node.value("trainer", "");
    job.pool = node.at("pool").get<std::string>();
    job.model = node.value("model", job.pool);
    if (node.contains("scoringPool"))
        job.scoringPool = node.at("scoringPool").get<std::string>();
    job.rollout = readRolloutPolicy(chain.section("rollout"));
    return job;
}

template <typename Reader, typename Target>
void readChildren(const Chain& parent, const char* key, Reader reader, const std::string& region, Target& target)
{
    for (const auto& [name, node] : children(parent.node(), key).items()) {
        const Chain chain = parent.child(node, fmt::format("{}/{}", key, name));
        try {
            target.emplace(name, reader(chain, region, name));
        } catch (const std::exception& error) {
            throw SettingsInvalidError(fmt::format("{}: {}", chain.path, error.what()));
        }
    }
}

void checkReferences(const Settings& settings)
{
    for (const auto& [name, job] : settings.jobs) {
        if (!settings.pools.contains(job.pool))
            throw SettingsInvalidError(fmt::format("job {}: pool \"{}\" is not declared", name, job.pool));
        if (job.scoringPool && !settings.pools.contains(*job.scoringPool))
            throw SettingsInvalidError(
                fmt::format("job {}: scoring pool \"{}\" is not declared", name, *job.scoringPool));
    }
}

} // namespace

Address Address::parse(std::string_view text)
{
    const size_t colon = text.rfind(':');
    Address address;
    if (colon != std::string_view::npos && colon > 0) {
        address.host = text.substr(0, colon);
        const std::string_view port = text.substr(colon + 1);
        const auto result = std::from_chars(port.data(), port.data() + port.size(), address.port);
        if (result.ec == std::errc() && result.ptr == port.data() + port.size())
            return address;
    }
    throw SettingsInvalidError(fmt::format("\"{}\" is not host:port", text));
}

std::string Address::text() const
{
    return fmt::format("{}:{}", host, port);
}

Settings Settings::fromDocument(std::string_view json, int64_t revision)
{
    Settings settings;
    settings.revision = revision;
    try {
        const Json root = Json::parse(json, nullptr, true, true);
        settings.organisation = root.value("organisation", "");
        const Chain top { { &root }, "" };
        for (const auto& [region, node] : children(root, "regions").items()) {
            const Chain chain = top.child(node, "regions/" + region);
            readChildren(chain, "entries", readEntry, region, settings.entries);
            readChildren(chain, "pools", readPool, region, settings.pools);
            readChildren(chain, "jobs", readJob, region, settings.jobs);
        }
    } catch (const Json::exception& error) {
        throw SettingsInvalidError(error.what());
    }
    checkReferences(settings);
    return settings;
}

const PoolDeclaration& Settings::pool(const std::string& name) const
{
    const auto found = pools.find(name);
    if (found == pools.end())
        throw PoolUnknownError(fmt::format("pool {} is not declared", name));
    return found->second;
}

const JobDeclaration& Settings::job(const std::string& name) const
{
    const auto found = jobs.find(name);
    if (found == jobs.end())
        throw JobUnknownError(fmt::format("job {} is not declared", name));
    return found->second;
}

} // namespace endiveroad
