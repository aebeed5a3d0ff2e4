#include <endiveroad/Error.h>
#include <endiveroad/SettingsSchema.h>

#include <algorithm>
#include <fmt/format.h>
#include <numeric>
#include <utility>

namespace endiveroad {

namespace {

std::string describe(const SettingsValue& value)
{
    switch (value.kind) {
    case SettingsValueKind::Object:
        return "an object";
    case SettingsValueKind::Array:
        return "an array";
    default:
        return value.json();
    }
}

bool isAddress(const std::string& text)
{
    try {
        const Address address = Address::parse(text);
        return address.port != 0;
    } catch (const SettingsInvalidError&) {
        return false;
    }
}

bool isAllowed(const SettingKey& key, const SettingsValue& value)
{
    const bool isText = value.kind == SettingsValueKind::Text;
    const bool isInteger = value.kind == SettingsValueKind::Integer;
    const bool isInRange = value.number >= key.minimum && value.number <= key.maximum;
    const auto length = static_cast<double>(value.text.size());
    switch (key.type) {
    case SettingType::Text:
        return isText && length >= key.minimum && length <= key.maximum;
    case SettingType::Address:
        return isText && isAddress(value.text);
    case SettingType::Choice:
        return isText && std::find(key.choices.begin(), key.choices.end(), value.text) != key.choices.end();
    case SettingType::Boolean:
        return value.kind == SettingsValueKind::Boolean;
    case SettingType::Integer:
        return isInteger && isInRange;
    case SettingType::Number:
        return (isInteger || value.kind == SettingsValueKind::Number) && isInRange;
    }
    return false;
}

/// Names of nodes are limited to characters that need no escaping in paths, URLs and logs.
bool isNodeName(const std::string& name)
{
    const auto isNameCharacter
        = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
    return !name.empty() && name.size() <= 64 && std::all_of(name.begin(), name.end(), isNameCharacter);
}

class SchemaChecker {
public:
    std::vector<SettingsFault> run(const SettingsValue& tree)
    {
        checkNode(tree, SettingsScope::Organisation, "");
        std::sort(faults_.begin(), faults_.end());
        return std::move(faults_);
    }

private:
    void add(const SettingsValue& value, const std::string& path, std::string reason)
    {
        faults_.push_back({ value.position, path, std::move(reason) });
    }

    bool checkObject(const SettingsValue& value, const std::string& path)
    {
        if (value.isObject())
            return true;
        add(value, path, fmt::format("is {}; allowed is an object", describe(value)));
        return false;
    }

    void checkNode(const SettingsValue& node, SettingsScope scope, const std::string& path)
    {
        if (!checkObject(node, path))
            return;
        for (const auto& [name, value] : node.members)
            checkMember(value, scope, name, fmt::format("{}/{}", path, name));
        for (const SettingKey& key : settingKeys()) {
            if (key.scope == scope && key.isRequired() && !node.find(std::string(key.name)))
                add(node, fmt::format("{}/{}", path, key.name),
                    fmt::format("is missing; allowed is {}", key.allowed()));
        }
    }

    void checkMember(const SettingsValue& value, SettingsScope scope, const std::string& name, const std::string& path)
    {
        if (const SettingKey* key = findSettingKey(scope, name)) {
            if (!isAllowed(*key, value))
                add(value, path, fmt::format("is {}; allowed is {}", describe(value), key->allowed()));
            return;
        }
        const SettingsChild* child = findSettingsChild(scope, name);
        if (!child) {
            add(value, path, unknownMemberReason(scope, name));
            return;
        }
        if (!child->isMap) {
            checkNode(value, child->scope, path);
            return;
        }
        if (!checkObject(value, path))
            return;
        for (const auto& [nodeName, node] : value.members) {
            const std::string nodePath = fmt::format("{}/{}", path, nodeName);
            if (!isNodeName(nodeName))
                add(node, nodePath, "is not a valid name; allowed are 1 to 64 letters, digits, '-', '_' and '.'");
            checkNode(node, child->scope, nodePath);
        }
    }

    static std::string unknownMemberReason(SettingsScope scope, const std::string& name)
    {
        std::vector<std::string_view> known;
        for (const SettingKey& key : settingKeys()) {
            if (key.scope == scope)
                known.push_back(key.name);
        }
        for (const SettingsChild& child : settingsChildren()) {
            if (child.parent == scope)
                known.push_back(child.name);
        }
        const std::string nearest = nearestName(name, known);
        if (!nearest.empty())
            return fmt::format(
                "is not a key of {} {}; did you mean \"{}\"?", scopeArticle(scope), scopeName(scope), nearest);
        std::string list;
        for (const std::string_view candidate : known)
            list += fmt::format("{}{}", list.empty() ? "" : ", ", candidate);
        return fmt::format("is not a key of {} {}; allowed are {}", scopeArticle(scope), scopeName(scope), list);
    }

    static std::string_view scopeArticle(SettingsScope scope)
    {
        if (isSection(scope))
            return "section";
        return scope == SettingsScope::Organisation || scope == SettingsScope::Entry ? "an" : "a";
    }

    std::vector<SettingsFault> faults_;
};

/// Levenshtein distance between two names, ignoring case.
size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (size_t i = 0; i < a.size(); ++i) {
        size_t diagonal = std::exchange(row[0], i + 1);
        for (size_t j = 0; j < b.size(); ++j) {
            const size_t replaced = diagonal + (std::tolower(a[i]) == std::tolower(b[j]) ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({ replaced, row[j] + 1, row[j + 1] + 1 });
        }
    }
    return row.back();
}

} // namespace

std::vector<SettingsFault> checkAgainstSchema(const SettingsValue& tree)
{
    return SchemaChecker().run(tree);
}

std::string nearestName(std::string_view misspelt, const std::vector<std::string_view>& known)
{
    size_t best = std::max<size_t>(2, misspelt.size() / 3) + 1;
    std::string nearest;
    for (const std::string_view name : known) {
        const size_t distance = editDistance(misspelt, name);
        if (distance >= best)
            continue;
        best = distance;
        nearest = name;
    }
    return nearest;
}

} // namespace endiveroad
