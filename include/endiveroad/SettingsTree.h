#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The operators' tree as written, before anything is resolved: every value knows the file, line and column at which
/// it was set, so that a fault can be shown where it was made.
namespace endiveroad {

/// Place in a settings file. Lines and columns count from 1, columns in bytes; line 0 means the place is unknown.
struct SourcePosition {
    std::string file;
    uint32_t line = 0;
    uint32_t column = 0;

    auto operator<=>(const SourcePosition&) const = default;

    /// "file:line:column", or empty.
    std::string text() const;
};

/// One fault of a settings tree.
struct SettingsFault {
    SourcePosition position;
    /// Slash-separated path in the tree, as in /regions/tx-panhandle/pools/ledge-lm/call/slots.
    std::string path;
    /// What was found and what is allowed.
    std::string reason;

    auto operator<=>(const SettingsFault&) const = default;

    std::string text() const;
};

enum class SettingsValueKind { Object, Array, Text, Integer, Number, Flag, Null };

/// A value of the tree. Its position is that of the key that names it.
struct SettingsValue {
    SettingsValueKind kind = SettingsValueKind::Object;
    std::map<std::string, SettingsValue> members;
    std::string text;
    int64_t integer = 0;
    double number = 0;
    bool flag = false;
    SourcePosition position;

    auto operator<=>(const SettingsValue&) const = default;

    bool isObject() const { return kind == SettingsValueKind::Object; }

    /// The member of that name, or null.
    const SettingsValue* find(const std::string& name) const;

    /// The value at a slash-separated path below this one, or null.
    const SettingsValue* at(std::string_view path) const;

    /// Compact JSON text with members in order of their names. Equal trees have equal text.
    std::string json() const;
};

/// Deepest nesting that is read.
inline constexpr size_t maxSettingsDepth = 16;

/// Reads JSON with comments. Faults (syntax, a key given twice, excessive nesting) are added to the list; the part
/// that was read before a syntax fault is returned.
SettingsValue parseSettingsText(std::string_view text, const std::string& file, std::vector<SettingsFault>& faults);

/// Merges another tree into a tree. A value that both set is a fault.
void mergeSettings(
    SettingsValue& target, SettingsValue&& addition, const std::string& path, std::vector<SettingsFault>& faults);

/// The parts of a slash-separated path; empty parts are dropped.
std::vector<std::string> splitSettingsPath(std::string_view path);

} // namespace endiveroad
