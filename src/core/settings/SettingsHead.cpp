#include <endiveroad/SettingsDocument.h>

#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>

namespace endiveroad {

namespace {

using Json = nlohmann::json;
using PartKeys = std::map<std::string, std::string>;

PartKeys revert(PartKeys parts, const SettingsRevision& revision)
{
    for (const auto& [name, key] : revision.undo) {
        if (key)
            parts[name] = *key;
        else
            parts.erase(name);
    }
    return parts;
}

/// Keys of all parts that the revision in force or a revision in the history uses.
std::set<std::string> referencedKeys(const SettingsHead& head)
{
    std::set<std::string> keys;
    for (const auto& [name, key] : head.parts)
        keys.insert(key);
    // The undo list of the oldest revision is skipped: it leads to a revision that is no longer in the history.
    for (size_t i = 0; i + 1 < head.history.size(); ++i) {
        for (const auto& [name, key] : head.history[i].undo) {
            if (key)
                keys.insert(*key);
        }
    }
    return keys;
}

Json toJson(const SettingsRevision& revision)
{
    Json undo = Json::object();
    for (const auto& [name, key] : revision.undo)
        undo[name] = key ? Json(*key) : Json();
    Json json;
    json["revision"] = revision.revision;
    json["writeId"] = revision.writeId;
    json["author"] = revision.author;
    json["appliedMs"] = revision.appliedMs;
    json["undo"] = std::move(undo);
    return json;
}

SettingsRevision revisionFrom(const Json& json)
{
    SettingsRevision revision;
    json.at("revision").get_to(revision.revision);
    json.at("writeId").get_to(revision.writeId);
    json.at("author").get_to(revision.author);
    json.at("appliedMs").get_to(revision.appliedMs);
    for (const auto& [name, key] : json.at("undo").items())
        revision.undo[name] = key.is_null() ? std::nullopt : std::optional(key.get<std::string>());
    return revision;
}

} // namespace

std::optional<int64_t> SettingsHead::revisionOf(const std::string& writeId) const
{
    for (const SettingsRevision& past : history) {
        if (past.writeId == writeId)
            return past.revision;
    }
    return std::nullopt;
}

std::optional<std::map<std::string, std::string>> SettingsHead::partsAt(int64_t revision) const
{
    PartKeys result = parts;
    for (const SettingsRevision& past : history) {
        if (past.revision == revision)
            return result;
        result = revert(std::move(result), past);
    }
    return std::nullopt;
}

SettingsHead SettingsHead::next(std::map<std::string, std::string> newParts, SettingsRevision change) const
{
    change.revision = revision() + 1;
    change.undo.clear();
    for (const auto& [name, key] : newParts) {
        const auto before = parts.find(name);
        if (before == parts.end())
            change.undo[name] = std::nullopt;
        else if (before->second != key)
            change.undo[name] = before->second;
    }
    for (const auto& [name, key] : parts) {
        if (!newParts.contains(name))
            change.undo[name] = key;
    }
    SettingsHead head;
    head.parts = std::move(newParts);
    head.history.push_back(std::move(change));
    const size_t kept = std::min(history.size(), maxHistory - 1);
    head.history.insert(head.history.end(), history.begin(), history.begin() + static_cast<ptrdiff_t>(kept));
    const auto referenced = referencedKeys(head);
    for (const std::string& key : referencedKeys(*this)) {
        if (!referenced.contains(key))
            head.retired.push_back(key);
    }
    return head;
}

std::string SettingsHead::encode() const
{
    Json json;
    json["format"] = 1;
    json["parts"] = parts;
    json["history"] = Json::array();
    for (const SettingsRevision& past : history)
        json["history"].push_back(toJson(past));
    json["retired"] = retired;
    return json.dump();
}

SettingsHead SettingsHead::decode(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        SettingsHead head;
        json.at("parts").get_to(head.parts);
        for (const Json& past : json.at("history"))
            head.history.push_back(revisionFrom(past));
        json.at("retired").get_to(head.retired);
        return head;
    } catch (const Json::exception& error) {
        throw SettingsInvalidError(fmt::format("the stored head cannot be read: {}", error.what()));
    }
}

} // namespace endiveroad
