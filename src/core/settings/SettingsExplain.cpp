#include <endiveroad/SettingsExplain.h>

#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace endiveroad {

namespace {

/// A node on the way from the root to the path to explain.
struct PathNode {
    const SettingsValue* node = nullptr;
    SettingsScope scope = SettingsScope::Organisation;
    std::string path;
};

[[noreturn]] void throwUnknownName(
    const std::string& path, const std::string& name, const std::vector<std::string>& known)
{
    const std::vector<std::string_view> views(known.begin(), known.end());
    const std::string nearest = nearestName(name, views);
    if (!nearest.empty())
        throw NotFoundError(fmt::format("{}/{}: did you mean \"{}\"?", path, name, nearest));
    throw NotFoundError(fmt::format("{}/{}: not found; known names are {}", path, name, fmt::join(known, ", ")));
}

std::vector<std::string> memberNames(SettingsScope scope)
{
    std::vector<std::string> names;
    for (const SettingKey& key : settingKeys()) {
        if (key.scope == scope)
            names.emplace_back(key.name);
    }
    for (const SettingsChild& child : settingsChildren()) {
        if (child.parent == scope)
            names.emplace_back(child.name);
    }
    return names;
}

std::vector<std::string> nodeNames(const SettingsValue* map)
{
    std::vector<std::string> names;
    if (map) {
        for (const auto& [name, member] : map->members)
            names.push_back(name);
    }
    return names;
}

class SettingsExplainer {
public:
    explicit SettingsExplainer(const SettingsValue& tree)
    {
        nodes_.push_back({ &tree, SettingsScope::Organisation, "" });
    }

    std::vector<ExplainedSetting> run(std::string_view path)
    {
        const auto components = splitSettingsPath(path);
        size_t next = 0;
        while (next < components.size() && enterNode(components, next))
            next += 2;
        explain(std::vector<std::string>(components.begin() + static_cast<ptrdiff_t>(next), components.end()));
        return std::move(result_);
    }

private:
    /// Descends into the node that the next two path components name. Returns false if the next one is a section or
    /// key, and throws if there is no such node.
    bool enterNode(const std::vector<std::string>& components, size_t next)
    {
        const PathNode& current = nodes_.back();
        const SettingsChild* child = findSettingsChild(current.scope, components[next]);
        if (!child || !child->isMap)
            return false;
        const SettingsValue* map = current.node->find(components[next]);
        const std::string path = fmt::format("{}/{}", current.path, components[next]);
        const std::string name = next + 1 < components.size() ? components[next + 1] : std::string();
        const SettingsValue* node = map ? map->find(name) : nullptr;
        if (!node)
            throwUnknownName(path, name, nodeNames(map));
        nodes_.push_back({ node, child->scope, fmt::format("{}/{}", path, name) });
        return true;
    }

    /// Explains the rest of the path below the last node. It names a section, a key, or a section and one of its keys;
    /// if it is empty, all keys of the node are explained.
    void explain(const std::vector<std::string>& rest)
    {
        const PathNode& current = nodes_.back();
        const std::string first = rest.empty() ? std::string() : rest[0];
        const SettingsChild* section = findSettingsChild(current.scope, first);
        const bool isKnown = rest.empty() || section || findSettingKey(current.scope, first);
        if (!isKnown)
            throwUnknownName(current.path, first, memberNames(current.scope));
        const size_t depth = section ? 2 : 1;
        if (rest.size() > depth)
            throwUnknownName(fmt::format("{}/{}", current.path, first), rest.back(),
                section ? memberNames(section->scope) : std::vector<std::string>());
        if (section && rest.size() == 2 && !findSettingKey(section->scope, rest[1]))
            throwUnknownName(fmt::format("{}/{}", current.path, first), rest[1], memberNames(section->scope));
        if (!section)
            explainKeys(current.scope, "", first);
        for (const SettingsChild& child : settingsChildren()) {
            if (child.parent == current.scope && !child.isMap && (rest.empty() || &child == section))
                explainKeys(child.scope, std::string(child.name), rest.size() == 2 ? rest[1] : std::string());
        }
    }

    /// Explains all keys of a scope, or only the named one.
    void explainKeys(SettingsScope scope, const std::string& section, const std::string& name)
    {
        for (const SettingKey& key : settingKeys()) {
            if (key.scope == scope && (name.empty() || key.name == name))
                explainKey(key, section);
        }
    }

    void explainKey(const SettingKey& key, const std::string& section)
    {
        std::vector<SettingOrigin> origins;
        const std::string name(key.name);
        for (size_t i = nodes_.size(); i-- > 0;) {
            const PathNode& pathNode = nodes_[i];
            const SettingsValue* keyOwner = section.empty() ? pathNode.node : pathNode.node->find(section);
            const SettingsValue* value = keyOwner ? keyOwner->find(name) : nullptr;
            if (value)
                origins.push_back({ pathNode.path.empty() ? "/" : pathNode.path, value->json(), value->position });
            if (section.empty())
                break;
        }
        origins.push_back({ "default", key.defaultText, {} });
        ExplainedSetting explained;
        explained.path = fmt::format("{}/{}{}{}", nodes_.back().path, section, section.empty() ? "" : "/", name);
        explained.inForce = origins.front();
        explained.overridden.assign(origins.begin() + 1, origins.end());
        result_.push_back(std::move(explained));
    }

    std::vector<PathNode> nodes_;
    std::vector<ExplainedSetting> result_;
};

void compare(const SettingsValue* before, const SettingsValue* after, const std::string& path,
    std::vector<SettingsChange>& changes)
{
    if (before && after && before->isObject() && after->isObject()) {
        auto left = before->members.begin();
        auto right = after->members.begin();
        while (left != before->members.end() || right != after->members.end()) {
            const bool takesLeft
                = left != before->members.end() && (right == after->members.end() || left->first <= right->first);
            const bool takesRight
                = right != after->members.end() && (left == before->members.end() || right->first <= left->first);
            const std::string& name = takesLeft ? left->first : right->first;
            compare(takesLeft ? &left->second : nullptr, takesRight ? &right->second : nullptr,
                fmt::format("{}/{}", path, name), changes);
            left = takesLeft ? std::next(left) : left;
            right = takesRight ? std::next(right) : right;
        }
        return;
    }
    const std::string oldText = before ? before->json() : std::string();
    const std::string newText = after ? after->json() : std::string();
    if (oldText == newText)
        return;
    const size_t slash = path.rfind('/');
    const auto scope = scopeAt(path.substr(0, slash == std::string::npos ? 0 : slash));
    const SettingKey* key = scope ? findSettingKey(*scope, path.substr(slash + 1)) : nullptr;
    changes.push_back({ path, oldText, newText, key && key->needsRestart() && before });
}

template <typename Declaration>
void compareDeclarations(const std::map<std::string, Declaration>& before,
    const std::map<std::string, Declaration>& after, std::string_view kind, std::vector<std::string>& result)
{
    for (const auto& [name, declaration] : before) {
        const auto found = after.find(name);
        if (found == after.end() || found->second != declaration)
            result.push_back(fmt::format("{} {}", kind, name));
    }
    for (const auto& [name, declaration] : after) {
        if (!before.contains(name))
            result.push_back(fmt::format("{} {}", kind, name));
    }
}

} // namespace

std::vector<ExplainedSetting> explainSettings(const SettingsValue& tree, std::string_view path)
{
    return SettingsExplainer(tree).run(path);
}

std::string SettingsChange::text() const
{
    const std::string note = needsRestart ? " (takes effect when the process is restarted)" : "";
    if (before.empty())
        return fmt::format("+ {}: {}{}", path, after, note);
    if (after.empty())
        return fmt::format("- {}: {}{}", path, before, note);
    return fmt::format("~ {}: {} -> {}{}", path, before, after, note);
}

std::vector<SettingsChange> compareSettings(const SettingsValue& before, const SettingsValue& after)
{
    std::vector<SettingsChange> changes;
    compare(&before, &after, "", changes);
    return changes;
}

std::vector<std::string> affectedDeclarations(const Settings& before, const Settings& after)
{
    std::vector<std::string> result;
    compareDeclarations(before.entries, after.entries, "entry", result);
    compareDeclarations(before.pools, after.pools, "pool", result);
    compareDeclarations(before.jobs, after.jobs, "job", result);
    for (const auto& [name, pool] : after.pools) {
        const auto old = before.pools.find(name);
        if (old != before.pools.end())
            compareDeclarations(old->second.replicas, pool.replicas, "replica", result);
    }
    return result;
}

} // namespace endiveroad
