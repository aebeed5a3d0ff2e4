#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

/// Strict reading of a JSON object: each field is named once by the code, all others are refused.
namespace endiveroad {

/// Parses a document, refusing repeated fields of any object. Throws BadRequestError that begins with what.
nlohmann::json parseStrictJson(std::string_view text, const std::string& what);

class JsonReader {
public:
    /// The path names the place in messages, as in `step.samples[3]`. Throws BadRequestError if it is no object.
    JsonReader(const nlohmann::json&, std::string path);

    /// Reads a field. Throws BadRequestError if it is missing, of another type or out of range.
    uint64_t integer(const std::string& name, uint64_t lowest, uint64_t highest);
    std::string text(const std::string& name);
    const nlohmann::json& array(const std::string& name, size_t lowest, size_t highest);

    /// True if the field is there; it counts as known either way.
    bool has(const std::string& name);

    /// Throws BadRequestError if a field was not read.
    void finish() const;

private:
    const nlohmann::json& field(const std::string& name);

    const nlohmann::json& json_;
    std::string path_;
    std::set<std::string> known_;
};

/// Reads a whole number in a range. Throws BadRequestError that names the place.
uint64_t readInteger(const nlohmann::json&, const std::string& path, uint64_t lowest, uint64_t highest);

} // namespace endiveroad
