#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

/// Strict reading of JSON objects: a field that the code does not ask for is an error.
namespace endiveroad {

/// Parses a document in which no object repeats a field. Throws BadRequestError, with a message that begins with
/// "what".
nlohmann::json parseStrictJson(std::string_view text, const std::string& documentName);

class JsonReader {
public:
    /// Error messages begin with the path, such as `step.samples[3]`. Throws BadRequestError if the value is no object.
    JsonReader(const nlohmann::json&, std::string path);

    /// Reads a field. Throws BadRequestError if it is missing, has another type or is out of range.
    uint64_t integer(const std::string& name, uint64_t lowest, uint64_t highest);
    std::string text(const std::string& name);
    const nlohmann::json& array(const std::string& name, size_t lowest, size_t highest);

    /// True if the object has the field. rejectUnknownFields() then accepts the field, even if it is never read.
    bool has(const std::string& name);

    /// Throws BadRequestError if the object has a field that was neither read nor asked for with has().
    void rejectUnknownFields() const;

private:
    const nlohmann::json& field(const std::string& name);

    const nlohmann::json& json_;
    std::string path_;
    std::set<std::string> knownFields_;
};

/// Reads an integer from lowest to highest. Throws BadRequestError, with a message that begins with the path.
uint64_t readInteger(const nlohmann::json&, const std::string& path, uint64_t lowest, uint64_t highest);

} // namespace endiveroad
