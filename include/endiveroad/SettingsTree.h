#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The settings tree as operators write it, before inheritance and defaults are resolved. Every value keeps the file,
/// line and column at which it was set, so that an error message can point there.
namespace endiveroad {

/// Position in a settings file. Lines and columns count from 1, columns in bytes; line 0 means unknown.
struct SourcePosition {
    std::string file;
    uint32_t line = 0;
    uint32_t column = 0;

    auto operator<=>(const SourcePosition&) const = default;

    /// "file:line:column"; only the file if the line is unknown, or empty if the file is.
    std::string text() const;
};

/// A fault found when a settings tree is parsed, merged or validated.
struct SettingsFault {
    SourcePosition position;
    /// Slash-separated path of the value, as in /regions/tx-panhandle/pools/ledge-lm/call/slots.
    std::string path;
    /// What is wrong with the value and what is allowed.
    std::string reason;

    auto operator<=>(const SettingsFault&) const = default;

    std::string text() const;
};

enum class SettingsValueKind { Object, Array, Text, Integer, Number, Boolean, Null };

/// A value of the tree. Its position is that of its key in the settings file; an element of an array has the position
/// of the last key before it.
struct SettingsValue {
    SettingsValueKind kind = SettingsValueKind::Object;
    /// Members of an object; elements of an array under their zero-padded indices.
    std::map<std::string, SettingsValue> members;
    std::string text;
    int64_t integer = 0;
    double number = 0;
    bool boolean = false;
    SourcePosition position;

    auto operator<=>(const SettingsValue&) const = default;

    bool isObject() const { return kind == SettingsValueKind::Object; }

    /// The member of this name, or null.
    const SettingsValue* find(const std::string& name) const;

    /// The value at a slash-separated path below this one, or null.
    const SettingsValue* at(std::string_view path) const;

    /// Compact JSON text with members sorted by name, so that trees with equal values have equal text.
    std::string json() const;
};

/// Deepest nesting of objects and arrays that parseSettingsText() accepts.
inline constexpr size_t maxSettingsDepth = 16;

/// Parses JSON with comments. Appends each fault (invalid syntax, duplicate key, nesting too deep) to the list. After a
/// syntax fault or too deep nesting it stops and returns what it has parsed so far.
SettingsValue parseSettingsText(std::string_view text, const std::string& file, std::vector<SettingsFault>& faults);

/// Merges a second tree into the target. A value that both trees set is a fault: the target keeps its own.
void mergeSettings(
    SettingsValue& target, SettingsValue&& addition, const std::string& path, std::vector<SettingsFault>& faults);

/// The names in a slash-separated path; empty ones are left out.
std::vector<std::string> splitSettingsPath(std::string_view path);

} // namespace endiveroad
