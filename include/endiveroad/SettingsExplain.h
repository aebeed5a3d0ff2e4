#pragma once

#include <endiveroad/SettingsSchema.h>

/// Answers operators' questions about a settings tree: which node sets the value in force of a key, and what a change
/// would affect.
namespace endiveroad {

/// A value of a key and the node that sets it.
struct SettingOrigin {
    /// Path of the node; "default" for the default value of the key.
    std::string node;
    /// The value as JSON text; empty for a key without a default.
    std::string value;
    /// Where the value is written. Unknown (line 0) for a default and for a tree that came from a process.
    SourcePosition position;

    auto operator<=>(const SettingOrigin&) const = default;
};

/// The value in force of one key, and the values that it overrides, from the nearest node up to the default.
struct ExplainedSetting {
    std::string path;
    SettingOrigin inForce;
    std::vector<SettingOrigin> overridden;

    auto operator<=>(const ExplainedSetting&) const = default;
};

/// Explains the key, the section or all keys of the node at a path. Throws NotFoundError if there is none; the message
/// suggests the nearest name or lists the names that exist.
std::vector<ExplainedSetting> explainSettings(const SettingsValue& tree, std::string_view path);

/// A difference between two trees: a key whose value differs, or a key or node that only one of them has.
struct SettingsChange {
    std::string path;
    /// JSON text of the value; empty if the tree does not have it.
    std::string before;
    std::string after;
    /// Whether a running process keeps the old value until it is restarted.
    bool needsRestart = false;

    auto operator<=>(const SettingsChange&) const = default;

    /// One line: "+ path: after", "- path: before" or "~ path: before -> after".
    std::string text() const;
};

/// All differences in the order of their paths.
std::vector<SettingsChange> compareSettings(const SettingsValue& before, const SettingsValue& after);

/// Entries, pools, jobs and replicas whose resolved settings differ, as in "pool ledge-lm" or "replica ledge-lm-3".
std::vector<std::string> affectedDeclarations(const Settings& before, const Settings& after);

} // namespace endiveroad
