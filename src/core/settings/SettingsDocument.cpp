#include <endiveroad/SettingsDocument.h>

#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <xxhash.h>

namespace endiveroad {

namespace {

std::string hashText(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

/// Builds a tree that holds only this node, at this path.
SettingsValue nestAtPath(SettingsValue node, const std::vector<std::string>& path)
{
    for (size_t i = path.size(); i-- > 0;) {
        SettingsValue parent;
        parent.members.emplace(path[i], std::move(node));
        node = std::move(parent);
    }
    return node;
}

class TreeSplitter {
public:
    std::map<std::string, std::string> run(SettingsValue tree)
    {
        for (auto& [region, node] : extractMembers(tree, "regions")) {
            for (auto& [pool, poolNode] : extractMembers(node, "pools"))
                addPool(region, pool, std::move(poolNode));
            add(fmt::format("regions/{}", region), nestAtPath(std::move(node), { "regions", region }));
        }
        add("organisation", tree);
        return std::move(parts_);
    }

private:
    static std::map<std::string, SettingsValue> extractMembers(SettingsValue& node, const std::string& key)
    {
        const auto found = node.members.find(key);
        if (found == node.members.end() || !found->second.isObject())
            return {};
        auto members = std::move(found->second.members);
        node.members.erase(found);
        return members;
    }

    void addPool(const std::string& region, const std::string& pool, SettingsValue node)
    {
        const std::vector<std::string> path { "regions", region, "pools", pool };
        const std::string name = fmt::format("regions/{}/pools/{}", region, pool);
        const SettingsValue* replicas = node.find("replicas");
        if (replicas && replicas->members.size() > replicasPerPart)
            addReplicas(name, path, extractMembers(node, "replicas"));
        add(name, nestAtPath(std::move(node), path));
    }

    void addReplicas(
        const std::string& name, std::vector<std::string> path, std::map<std::string, SettingsValue>&& replicas)
    {
        path.emplace_back("replicas");
        // The number of buckets is a power of two, so that it rarely changes while a pool grows and most replicas keep
        // their bucket.
        size_t buckets = 1;
        while (buckets * replicasPerPart < replicas.size())
            buckets *= 2;
        std::vector<SettingsValue> contents(buckets);
        for (auto& [replica, node] : replicas) {
            const size_t bucket = XXH3_64bits(replica.data(), replica.size()) % buckets;
            contents[bucket].members.emplace(replica, std::move(node));
        }
        for (size_t i = 0; i < buckets; ++i)
            add(fmt::format("{}/replicas/{}", name, i), nestAtPath(std::move(contents[i]), path));
    }

    void add(const std::string& name, const SettingsValue& node)
    {
        std::string text = node.json();
        if (text.size() > maxPartBytes)
            throw SettingsInvalidError(fmt::format(
                "/{}: has {} bytes; allowed are {} for a node without its replicas", name, text.size(), maxPartBytes));
        parts_.emplace(name, std::move(text));
    }

    std::map<std::string, std::string> parts_;
};

} // namespace

std::map<std::string, std::string> splitSettings(const SettingsValue& tree)
{
    return TreeSplitter().run(tree);
}

std::string partKey(const std::string& text, const std::string& writeId)
{
    return fmt::format("{}-{}", hashText(text), writeId);
}

bool isKeyForText(const std::string& key, const std::string& text)
{
    return key.starts_with(hashText(text));
}

uint64_t SettingsDocument::digest() const
{
    std::string names = fmt::format("{} {}", revision, writeId);
    for (const auto& [name, part] : parts)
        names += fmt::format("\n{} {}", name, part.key);
    return XXH3_64bits(names.data(), names.size());
}

SettingsValue SettingsDocument::tree() const
{
    SettingsValue tree;
    std::vector<SettingsFault> faults;
    for (const auto& [name, part] : parts)
        mergeSettings(tree, parseSettingsText(part.text, "", faults), "", faults);
    if (!faults.empty())
        throw SettingsInvalidError(fmt::format("the stored tree cannot be read: {}", faults.front().text()));
    return tree;
}

SettingsDelta SettingsDelta::between(const SettingsDocument& base, const SettingsDocument& document)
{
    SettingsDelta delta;
    delta.baseRevision = base.revision;
    delta.revision = document.revision;
    delta.writeId = document.writeId;
    delta.digest = document.digest();
    for (const auto& [name, part] : document.parts) {
        const auto found = base.parts.find(name);
        if (found == base.parts.end() || found->second.key != part.key)
            delta.parts.emplace(name, part);
    }
    for (const auto& [name, part] : base.parts) {
        if (!document.parts.contains(name))
            delta.removed.push_back(name);
    }
    return delta;
}

std::optional<SettingsDocument> SettingsDelta::applyTo(const SettingsDocument& base) const
{
    SettingsDocument document;
    if (baseRevision != 0) {
        if (base.revision != baseRevision)
            return std::nullopt;
        document = base;
    }
    document.revision = revision;
    document.writeId = writeId;
    for (const std::string& name : removed)
        document.parts.erase(name);
    for (const auto& [name, part] : parts) {
        if (!isKeyForText(part.key, part.text))
            return std::nullopt;
        document.parts[name] = part;
    }
    if (document.digest() != digest)
        return std::nullopt;
    return document;
}

} // namespace endiveroad
