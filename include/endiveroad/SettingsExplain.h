#pragma once

#include <endiveroad/SettingsSchema.h>

/// What operators ask of a settings tree: where a value in force comes from, and what a change would do.
namespace endiveroad {

/// A value that some node sets.
struct SettingOrigin {
    /// Path of the node that sets it; "default" if none does.
    std::string node;
    /// The value as JSON text; empty for a key without a default.
    std::string value;
    /// Where it is written; unknown for a tree that was read from a process.
    SourcePosition position;

    auto operator<=>(const SettingOrigin&) const = default;
};

/// A value in force, and those that it overrides, nearest first.
struct ExplainedSetting {
    std::string path;
    SettingOrigin inForce;
    std::vector<SettingOrigin> overridden;

    auto operator<=>(const ExplainedSetting&) const = default;
};

/// Explains one key, a section, or all keys of a node. Throws NotFoundError naming what there is instead.
std::vector<ExplainedSetting> explainSettings(const SettingsValue& tree, std::string_view path);

/// A difference between two trees: a key with both values, or a node that only one of them has.
struct SettingsChange {
    std::string path;
    /// JSON text; empty if the tree does not have it.
    std::string before;
    std::string after;
    bool needsRestart = false;

    auto operator<=>(const SettingsChange&) const = default;

    /// One line: "+ path", "- path" or "~ path: before -> after".
    std::string text() const;
};

/// Differences in order of their paths.
std::vector<SettingsChange> compareSettings(const SettingsValue& before, const SettingsValue& after);

/// Declarations whose settings in force differ, as in "pool ledge-lm" or "replica ledge-lm-3".
std::vector<std::string> affectedDeclarations(const Settings& before, const Settings& after);

} // namespace endiveroad
