#pragma once

#include <endiveroad/Settings.h>
#include <endiveroad/SettingsTree.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The schema of the settings tree: its nodes, its inherited sections, and their keys with type, range and default
/// (SettingsKeys.def). Validation, docs/SETTINGS.md and explainSettings() all use this schema.
namespace endiveroad {

/// A kind of node (Organisation to Job) or a kind of section (Call, Rollout).
enum class SettingsScope { Organisation, Region, Entry, Pool, Replica, Job, Call, Rollout };

inline constexpr size_t settingsScopeCount = 8;

enum class SettingType { Text, Address, Choice, Boolean, Integer, Number };

/// Whether a tree must set a key, and whether a change of it needs a restart of the process.
enum class SettingUse { Optional, Required, Restart, RequiredRestart };

/// A key that a node or section may set.
struct SettingKey {
    SettingsScope scope = SettingsScope::Organisation;
    std::string_view name;
    SettingType type = SettingType::Text;
    /// Bounds of the value of a number, or of the length of a text in bytes; unused for other types.
    double minimum = 0;
    double maximum = 0;
    /// Allowed values of a Choice; empty for other types.
    std::vector<std::string_view> choices;
    SettingUse use = SettingUse::Optional;
    /// JSON text of the default; empty if there is none.
    std::string defaultText;
    std::string_view meaning;

    auto operator<=>(const SettingKey&) const = default;

    bool isRequired() const { return use == SettingUse::Required || use == SettingUse::RequiredRestart; }

    /// Whether a running process keeps the old value until it is restarted.
    bool needsRestart() const { return use == SettingUse::Restart || use == SettingUse::RequiredRestart; }

    /// Describes the allowed values in error messages and in docs/SETTINGS.md.
    std::string allowed() const;
};

/// A member of a node that is not a key: a section, or a map from names to nodes.
struct SettingsChild {
    SettingsScope parent = SettingsScope::Organisation;
    std::string_view name;
    SettingsScope scope = SettingsScope::Organisation;
    /// Whether the member maps names to nodes of this scope; if not, it is a section.
    bool isMap = false;

    auto operator<=>(const SettingsChild&) const = default;
};

std::string_view scopeName(SettingsScope) noexcept;
bool isSection(SettingsScope) noexcept;

const std::vector<SettingKey>& settingKeys();
const std::vector<SettingsChild>& settingsChildren();

/// The key or child of a scope by name; null if the scope has none of that name.
const SettingKey* findSettingKey(SettingsScope, std::string_view name);
const SettingsChild* findSettingsChild(SettingsScope, std::string_view name);

/// The scope of the node or section at a path; nothing if the schema has neither at that path.
std::optional<SettingsScope> scopeAt(std::string_view path);

/// Validates each node and key of a tree on its own. Returns all faults, sorted by their positions.
std::vector<SettingsFault> checkAgainstSchema(const SettingsValue& tree);

/// Validates what concerns several nodes or keys: unique names and addresses, references to pools, limits that
/// contradict each other. The tree must conform to the schema; the settings are resolved from it. Returns all faults,
/// sorted by their positions.
std::vector<SettingsFault> checkReferences(const SettingsValue& tree, const Settings&);

/// The known name with the smallest edit distance to a misspelt one; empty if none is within max(2, a third of
/// the misspelt name's length) edits. Case is ignored.
std::string nearestName(std::string_view misspelt, const std::vector<std::string_view>& known);

/// The text of docs/SETTINGS.md.
std::string settingsSchemaPage();

} // namespace endiveroad
