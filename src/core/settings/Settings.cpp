#include <endiveroad/Settings.h>

#include <charconv>
#include <endiveroad/Error.h>
#include <endiveroad/SettingsSchema.h>
#include <fmt/format.h>

namespace endiveroad {

namespace {

/// The nodes from the root down to one node. An inherited section is looked up in each of them.
using NodePath = std::vector<const SettingsValue*>;

void readValue(const SettingsValue& value, std::string& member)
{
    member = value.text;
}
void readValue(const SettingsValue& value, std::optional<std::string>& member)
{
    member = value.text;
}
void readValue(const SettingsValue& value, Address& member)
{
    member = Address::parse(value.text);
}
void readValue(const SettingsValue& value, PoolKind& member)
{
    if (value.text == "engine")
        member = PoolKind::Engine;
    else if (value.text == "scorer")
        member = PoolKind::Scorer;
    else
        member = PoolKind::Service;
}
void readValue(const SettingsValue& value, bool& member)
{
    member = value.boolean;
}
void readValue(const SettingsValue& value, double& member)
{
    member = value.number;
}
void readValue(const SettingsValue& value, Duration& member)
{
    member = std::chrono::milliseconds(value.integer);
}
template <typename Integer>
void readValue(const SettingsValue& value, Integer& member)
{
    member = static_cast<Integer>(value.integer);
}

/// Sets a member to the value of the node's key; leaves its default if the node does not set the key.
template <typename Member>
void readMember(const SettingsValue& node, const char* key, Member& member)
{
    if (const SettingsValue* value = node.find(key))
        readValue(*value, member);
}

/// Reads the member of one row of SettingsKeys.def. Does nothing for a row of another scope, whose member Target does
/// not have.
template <SettingsScope scope, SettingsScope rowScope, typename Target, typename Struct, typename Member>
void readMemberInScope(const SettingsValue& node, const char* key, Target& target, Member Struct::*member)
{
    if constexpr (scope == rowScope)
        readMember(node, key, target.*member);
}

/// Reads all keys of a node or section.
template <SettingsScope scope, typename Target>
void readKeys(const SettingsValue& node, Target& target)
{
#define SETTING(rowScope, Struct, key, member, minimum, maximum, use, meaning)                                         \
    readMemberInScope<scope, SettingsScope::rowScope>(node, #key, target, &Struct::member);
#include <endiveroad/SettingsKeys.def>
#undef SETTING
}

/// Reads an inherited section from the root down, so that for each key the lowest node that sets it wins.
template <SettingsScope scope, typename Policy>
void readSection(const NodePath& nodePath, const char* name, Policy& policy)
{
    for (const SettingsValue* node : nodePath) {
        if (const SettingsValue* section = node->find(name))
            readKeys<scope>(*section, policy);
    }
}

void readDeclaration(const NodePath& nodePath, EntryDeclaration& entry)
{
    readKeys<SettingsScope::Entry>(*nodePath.back(), entry);
}

void readDeclaration(const NodePath& nodePath, PoolDeclaration& pool)
{
    const SettingsValue& node = *nodePath.back();
    pool.model = pool.name;
    readKeys<SettingsScope::Pool>(node, pool);
    readSection<SettingsScope::Call>(nodePath, "call", pool.call);
    const SettingsValue* replicas = node.find("replicas");
    if (!replicas)
        return;
    for (const auto& [name, value] : replicas->members) {
        ReplicaDeclaration replica;
        replica.name = name;
        readKeys<SettingsScope::Replica>(value, replica);
        pool.replicas.emplace(name, std::move(replica));
    }
}

void readDeclaration(const NodePath& nodePath, JobDeclaration& job)
{
    readKeys<SettingsScope::Job>(*nodePath.back(), job);
    readSection<SettingsScope::Rollout>(nodePath, "rollout", job.rollout);
}

template <typename Declaration>
void readChildren(const NodePath& parent, const char* key, const std::string& region,
    std::map<std::string, Declaration>& declarations)
{
    const SettingsValue* children = parent.back()->find(key);
    if (!children)
        return;
    for (const auto& [name, node] : children->members) {
        NodePath nodePath = parent;
        nodePath.push_back(&node);
        Declaration declaration;
        declaration.name = name;
        declaration.region = region;
        readDeclaration(nodePath, declaration);
        declarations.emplace(name, std::move(declaration));
    }
}

/// Sets the model of each job that names none to the model of its pool.
void setDefaultModels(Settings& settings)
{
    for (auto& [name, job] : settings.jobs) {
        const auto pool = settings.pools.find(job.pool);
        if (job.model.empty())
            job.model = pool == settings.pools.end() ? job.pool : pool->second.model;
    }
}

Settings resolve(const SettingsValue& tree, int64_t revision)
{
    Settings settings;
    settings.revision = revision;
    readKeys<SettingsScope::Organisation>(tree, settings);
    if (const SettingsValue* regions = tree.find("regions")) {
        for (const auto& [name, node] : regions->members) {
            const NodePath nodePath { &tree, &node };
            readChildren(nodePath, "entries", name, settings.entries);
            readChildren(nodePath, "pools", name, settings.pools);
            readChildren(nodePath, "jobs", name, settings.jobs);
        }
    }
    setDefaultModels(settings);
    return settings;
}

/// Removes the value at a path from a tree, if it exists.
void removeAt(SettingsValue& tree, const std::string& path)
{
    auto parts = splitSettingsPath(path);
    SettingsValue* node = &tree;
    for (size_t i = 0; i < parts.size(); ++i) {
        const auto found = node->members.find(parts[i]);
        if (found == node->members.end())
            return;
        if (i + 1 == parts.size())
            node->members.erase(found);
        else
            node = &found->second;
    }
}

/// Checks the references of a tree that violates the schema: the values with faults are removed first, so that one run
/// reports both kinds of faults.
std::vector<SettingsFault> checkReferencesIgnoring(SettingsValue tree, const std::vector<SettingsFault>& faults)
{
    for (const SettingsFault& fault : faults)
        removeAt(tree, fault.path);
    return checkReferences(tree, resolve(tree, 0));
}

void throwFaults(const std::vector<SettingsFault>& faults)
{
    if (faults.empty())
        return;
    std::string text;
    for (const SettingsFault& fault : faults)
        text += (text.empty() ? "" : "\n") + fault.text();
    throw SettingsInvalidError(text);
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
    std::vector<SettingsFault> faults;
    const SettingsValue tree = parseSettingsText(json, "", faults);
    throwFaults(faults);
    return fromTree(tree, revision);
}

Settings Settings::fromTree(const SettingsValue& tree, int64_t revision)
{
    std::vector<SettingsFault> faults = checkAgainstSchema(tree);
    if (!faults.empty()) {
        const auto further = checkReferencesIgnoring(tree, faults);
        faults.insert(faults.end(), further.begin(), further.end());
    }
    throwFaults(faults);
    Settings settings = resolve(tree, revision);
    throwFaults(checkReferences(tree, settings));
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
