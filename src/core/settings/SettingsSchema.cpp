#include <endiveroad/SettingsSchema.h>

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

namespace endiveroad {

namespace {

using Json = nlohmann::json;

// The type of a setting follows from the C++ type of its member, and the JSON text of its default from the member's
// initial value.
SettingType typeOf(const std::string&)
{
    return SettingType::Text;
}
SettingType typeOf(const std::optional<std::string>&)
{
    return SettingType::Text;
}
SettingType typeOf(const Address&)
{
    return SettingType::Address;
}
SettingType typeOf(PoolKind)
{
    return SettingType::Choice;
}
SettingType typeOf(bool)
{
    return SettingType::Boolean;
}
SettingType typeOf(double)
{
    return SettingType::Number;
}
template <typename Integer>
SettingType typeOf(const Integer&)
{
    return SettingType::Integer;
}

std::string defaultOf(const std::string& value)
{
    return value.empty() ? std::string() : Json(value).dump();
}
std::string defaultOf(const std::optional<std::string>&)
{
    return {};
}
std::string defaultOf(const Address&)
{
    return {};
}
std::string defaultOf(PoolKind)
{
    return "\"service\"";
}
std::string defaultOf(Duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}
template <typename Number>
std::string defaultOf(const Number& value)
{
    return Json(value).dump();
}

std::vector<std::string_view> choicesOf(SettingType type)
{
    if (type == SettingType::Choice)
        return { "engine", "scorer", "service" };
    return {};
}

template <typename Member>
SettingKey makeKey(SettingsScope scope, std::string_view name, const Member& member, double minimum, double maximum,
    SettingUse use, std::string_view meaning)
{
    const SettingType type = typeOf(member);
    const bool isRequired = use == SettingUse::Required || use == SettingUse::RequiredRestart;
    return { scope, name, type, minimum, maximum, choicesOf(type), use, isRequired ? std::string() : defaultOf(member),
        meaning };
}

std::vector<SettingKey> makeKeys()
{
    std::vector<SettingKey> keys;
#define SETTING(scope, Struct, key, member, minimum, maximum, use, meaning)                                            \
    keys.push_back(makeKey(SettingsScope::scope, #key, Struct().member, minimum, maximum, SettingUse::use, meaning));
#include <endiveroad/SettingsKeys.def>
#undef SETTING
    return keys;
}

void appendScope(std::string& text, SettingsScope scope)
{
    text += fmt::format("\n## {}\n\n", scopeName(scope));
    bool hasKeys = false;
    for (const SettingKey& key : settingKeys()) {
        if (key.scope != scope)
            continue;
        if (!hasKeys)
            text += "| key | allowed | default | meaning |\n| --- | --- | --- | --- |\n";
        hasKeys = true;
        const std::string fallback = key.isRequired() ? "required" : key.defaultText;
        text += fmt::format("| `{}` | {} | {} | {}{} |\n", key.name, key.allowed(), fallback, key.meaning,
            key.needsRestart() ? " Takes effect when the process is restarted." : "");
    }
    for (const SettingsChild& child : settingsChildren()) {
        if (child.parent != scope)
            continue;
        text += fmt::format("{}- `{}`: {} {}\n", hasKeys ? "\n" : "", child.name,
            child.isMap ? "map from names to nodes of kind" : "section", scopeName(child.scope));
        hasKeys = false;
    }
}

} // namespace

std::string SettingKey::allowed() const
{
    switch (type) {
    case SettingType::Text:
        return fmt::format("text of {} to {} bytes", minimum, maximum);
    case SettingType::Address:
        return "\"host:port\" with an IP address as host";
    case SettingType::Choice:
        return fmt::format("{}", fmt::join(choices, ", "));
    case SettingType::Boolean:
        return "true, false";
    case SettingType::Integer:
        return fmt::format("whole number from {:.0f} to {:.0f}", minimum, maximum);
    case SettingType::Number:
        return fmt::format("number from {} to {}", minimum, maximum);
    }
    return {};
}

std::string_view scopeName(SettingsScope scope) noexcept
{
    switch (scope) {
    case SettingsScope::Organisation:
        return "organisation";
    case SettingsScope::Region:
        return "region";
    case SettingsScope::Entry:
        return "entry";
    case SettingsScope::Pool:
        return "pool";
    case SettingsScope::Replica:
        return "replica";
    case SettingsScope::Job:
        return "job";
    case SettingsScope::Call:
        return "call";
    case SettingsScope::Rollout:
        return "rollout";
    }
    return {};
}

bool isSection(SettingsScope scope) noexcept
{
    return scope == SettingsScope::Call || scope == SettingsScope::Rollout;
}

const std::vector<SettingKey>& settingKeys()
{
    static const std::vector<SettingKey> keys = makeKeys();
    return keys;
}

const std::vector<SettingsChild>& settingsChildren()
{
    using enum SettingsScope;
    static const std::vector<SettingsChild> children {
        { Organisation, "call", Call, false },
        { Organisation, "rollout", Rollout, false },
        { Organisation, "regions", Region, true },
        { Region, "call", Call, false },
        { Region, "rollout", Rollout, false },
        { Region, "entries", Entry, true },
        { Region, "pools", Pool, true },
        { Region, "jobs", Job, true },
        { Pool, "call", Call, false },
        { Pool, "replicas", Replica, true },
        { Job, "rollout", Rollout, false },
    };
    return children;
}

const SettingKey* findSettingKey(SettingsScope scope, std::string_view name)
{
    const auto& keys = settingKeys();
    const auto found = std::find_if(
        keys.begin(), keys.end(), [&](const SettingKey& key) { return key.scope == scope && key.name == name; });
    return found == keys.end() ? nullptr : &*found;
}

const SettingsChild* findSettingsChild(SettingsScope scope, std::string_view name)
{
    const auto& children = settingsChildren();
    const auto found = std::find_if(children.begin(), children.end(),
        [&](const SettingsChild& child) { return child.parent == scope && child.name == name; });
    return found == children.end() ? nullptr : &*found;
}

std::optional<SettingsScope> scopeAt(std::string_view path)
{
    SettingsScope scope = SettingsScope::Organisation;
    const auto parts = splitSettingsPath(path);
    for (size_t i = 0; i < parts.size(); ++i) {
        const SettingsChild* child = findSettingsChild(scope, parts[i]);
        if (!child)
            return std::nullopt;
        scope = child->scope;
        if (child->isMap && ++i == parts.size())
            return std::nullopt;
    }
    return scope;
}

std::string settingsSchemaPage()
{
    std::string text = "# Settings\n\nWritten by `endiveroad settings schema`; do not edit. A section (`call`, "
                       "`rollout`) set on a node applies to all nodes below it, unless a lower node sets the same key. "
                       "Unknown keys are errors. See operators/change-a-setting.md.\n";
    for (size_t i = 0; i < settingsScopeCount; ++i)
        appendScope(text, static_cast<SettingsScope>(i));
    return text;
}

} // namespace endiveroad
