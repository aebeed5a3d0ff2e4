#pragma once

#include <endiveroad/Settings.h>
#include <endiveroad/SettingsTree.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What a settings tree may hold: the nodes, the sections that are inherited, and the keys with their types, ranges and
/// defaults (SettingsKeys.def). The one table drives checks, docs/SETTINGS.md and explain.
namespace endiveroad {

/// A kind of node, or a section of a node.
enum class SettingsScope { Organisation, Region, Entry, Pool, Replica, Job, Call, Rollout };

inline constexpr size_t settingsScopeCount = 8;

enum class SettingType { Text, Address, Choice, Flag, Integer, Number };

enum class SettingUse { Optional, Required, Restart, RequiredRestart };

/// One key.
struct SettingKey {
    SettingsScope scope = SettingsScope::Organisation;
    std::string_view name;
    SettingType type = SettingType::Text;
    double minimum = 0;
    double maximum = 0;
    std::vector<std::string_view> choices;
    SettingUse use = SettingUse::Optional;
    /// JSON text of the default; empty if there is none.
    std::string defaultText;
    std::string_view meaning;

    auto operator<=>(const SettingKey&) const = default;

    bool isRequired() const { return use == SettingUse::Required || use == SettingUse::RequiredRestart; }

    /// A change takes effect only when the process starts again.
    bool needsRestart() const { return use == SettingUse::Restart || use == SettingUse::RequiredRestart; }

    /// What is allowed, for people.
    std::string allowed() const;
};

/// A part of a node that is no plain key: a section, or a map from names to nodes.
struct SettingsChild {
    SettingsScope parent = SettingsScope::Organisation;
    std::string_view name;
    SettingsScope scope = SettingsScope::Organisation;
    /// The child maps names to nodes; otherwise it is one section.
    bool isMap = false;

    auto operator<=>(const SettingsChild&) const = default;
};

std::string_view scopeName(SettingsScope) noexcept;
bool isSection(SettingsScope) noexcept;

const std::vector<SettingKey>& settingKeys();
const std::vector<SettingsChild>& settingsChildren();

/// The key or child of a scope by name, or null.
const SettingKey* findSettingKey(SettingsScope, std::string_view name);
const SettingsChild* findSettingsChild(SettingsScope, std::string_view name);

/// The scope of the node or section at a path; nothing if no tree can have one there.
std::optional<SettingsScope> scopeAt(std::string_view path);

/// All faults of a tree against the schema, in order of their places.
std::vector<SettingsFault> checkAgainstSchema(const SettingsValue& tree);

/// All faults between the parts of a tree that the schema accepts: names, references, addresses, sizes that cannot go
/// together.
std::vector<SettingsFault> checkReferences(const SettingsValue& tree, const Settings&);

/// The known name that is nearest to a misspelt one; empty if none is near.
std::string nearestName(std::string_view misspelt, const std::vector<std::string_view>& known);

/// Text of docs/SETTINGS.md.
std::string settingsReference();

} // namespace endiveroad
