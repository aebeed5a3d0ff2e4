#include <endiveroad/SettingsTree.h>

#include "core/settings/SettingsParser.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endiveroad {

namespace {

nlohmann::json toJson(const SettingsValue& value)
{
    switch (value.kind) {
    case SettingsValueKind::Object: {
        auto object = nlohmann::json::object();
        for (const auto& [name, member] : value.members)
            object[name] = toJson(member);
        return object;
    }
    case SettingsValueKind::Array: {
        auto array = nlohmann::json::array();
        for (const auto& [name, member] : value.members)
            array.push_back(toJson(member));
        return array;
    }
    case SettingsValueKind::Text:
        return value.text;
    case SettingsValueKind::Integer:
        return value.integer;
    case SettingsValueKind::Number:
        return value.number;
    case SettingsValueKind::Boolean:
        return value.boolean;
    case SettingsValueKind::Null:
        break;
    }
    return nullptr;
}

} // namespace

std::string SourcePosition::text() const
{
    if (line == 0 || file.empty())
        return file;
    return fmt::format("{}:{}:{}", file, line, column);
}

std::string SettingsFault::text() const
{
    const std::string place = position.text();
    return fmt::format("{}{}{}: {}", place, place.empty() ? "" : ": ", path.empty() ? "/" : path, reason);
}

const SettingsValue* SettingsValue::find(const std::string& name) const
{
    const auto found = members.find(name);
    return found == members.end() ? nullptr : &found->second;
}

const SettingsValue* SettingsValue::at(std::string_view path) const
{
    const SettingsValue* value = this;
    for (const std::string& component : splitSettingsPath(path)) {
        value = value->find(component);
        if (!value)
            return nullptr;
    }
    return value;
}

std::string SettingsValue::json() const
{
    return toJson(*this).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

SettingsValue parseSettingsText(std::string_view text, const std::string& file, std::vector<SettingsFault>& faults)
{
    return SettingsParser(text, file, faults).parse();
}

void mergeSettings(
    SettingsValue& target, SettingsValue&& addition, const std::string& path, std::vector<SettingsFault>& faults)
{
    if (!target.isObject() || !addition.isObject()) {
        faults.push_back({ addition.position, path, fmt::format("is already set at {}", target.position.text()) });
        return;
    }
    if (target.position.line == 0)
        target.position = addition.position;
    for (auto& [name, member] : addition.members) {
        const auto found = target.members.find(name);
        if (found == target.members.end())
            target.members.emplace(name, std::move(member));
        else
            mergeSettings(found->second, std::move(member), fmt::format("{}/{}", path, name), faults);
    }
}

std::vector<std::string> splitSettingsPath(std::string_view path)
{
    std::vector<std::string> components;
    while (!path.empty()) {
        const size_t end = std::min(path.find('/'), path.size());
        if (end > 0)
            components.emplace_back(path.substr(0, end));
        path.remove_prefix(std::min(end + 1, path.size()));
    }
    return components;
}

} // namespace endiveroad
