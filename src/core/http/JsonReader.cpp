#include "core/http/JsonReader.h"

#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad {

using Json = nlohmann::json;

namespace {

/// Describes a value for an error message. Texts are left out and the rest is cut, so that no body gets into a log.
std::string describe(const Json& value)
{
    constexpr size_t maxShown = 40;
    if (value.is_structured() || value.is_string())
        return fmt::format("of type {}", value.type_name());
    return value.dump().substr(0, maxShown);
}

} // namespace

Json parseStrictJson(std::string_view text, const std::string& documentName)
{
    std::vector<std::set<std::string>> open;
    const auto rejectRepeatedKeys = [&](int, Json::parse_event_t event, const Json& value) {
        if (event == Json::parse_event_t::object_start)
            open.emplace_back();
        else if (event == Json::parse_event_t::object_end)
            open.pop_back();
        else if (event == Json::parse_event_t::key && !open.back().insert(value.get<std::string>()).second)
            throw BadRequestError(fmt::format("{}: field {} is repeated", documentName, value.dump()));
        return true;
    };
    try {
        return Json::parse(text, rejectRepeatedKeys);
    } catch (const Json::parse_error& error) {
        throw BadRequestError(fmt::format("{} is not valid JSON: parse error at byte {}", documentName, error.byte));
    }
}

JsonReader::JsonReader(const Json& json, std::string path)
    : json_(json)
    , path_(std::move(path))
{
    if (!json_.is_object())
        throw BadRequestError(fmt::format("{} is {}; expected an object", path_, describe(json_)));
}

const Json& JsonReader::field(const std::string& name)
{
    knownFields_.insert(name);
    const auto found = json_.find(name);
    if (found == json_.end())
        throw BadRequestError(fmt::format("{}.{} is missing", path_, name));
    return *found;
}

bool JsonReader::has(const std::string& name)
{
    knownFields_.insert(name);
    return json_.contains(name);
}

uint64_t JsonReader::integer(const std::string& name, uint64_t lowest, uint64_t highest)
{
    return readInteger(field(name), path_ + "." + name, lowest, highest);
}

std::string JsonReader::text(const std::string& name)
{
    const Json& value = field(name);
    if (!value.is_string())
        throw BadRequestError(fmt::format("{}.{} is {}; expected a string", path_, name, describe(value)));
    return value.get<std::string>();
}

const Json& JsonReader::array(const std::string& name, size_t lowest, size_t highest)
{
    const Json& value = field(name);
    if (!value.is_array())
        throw BadRequestError(fmt::format("{}.{} is {}; expected an array", path_, name, describe(value)));
    if (value.size() < lowest || value.size() > highest) {
        throw BadRequestError(
            fmt::format("{}.{} has {} elements; expected {} to {}", path_, name, value.size(), lowest, highest));
    }
    return value;
}

void JsonReader::rejectUnknownFields() const
{
    for (const auto& [name, value] : json_.items()) {
        if (!knownFields_.contains(name))
            throw BadRequestError(fmt::format("{} has an unknown field {}; known fields are {}", path_,
                Json(name).dump(), fmt::join(knownFields_, ", ")));
    }
}

uint64_t readInteger(const Json& value, const std::string& path, uint64_t lowest, uint64_t highest)
{
    const bool isInRange
        = value.is_number_unsigned() && value.get<uint64_t>() >= lowest && value.get<uint64_t>() <= highest;
    if (!isInRange) {
        throw BadRequestError(
            fmt::format("{} is {}; expected an integer from {} to {}", path, describe(value), lowest, highest));
    }
    return value.get<uint64_t>();
}

} // namespace endiveroad
