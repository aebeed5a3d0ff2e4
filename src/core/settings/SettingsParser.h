#pragma once

#include <endiveroad/SettingsTree.h>
#include <nlohmann/json.hpp>

/// Reads JSON with comments into a SettingsValue that keeps the positions of its keys.
namespace endiveroad {

class SettingsParser {
public:
    SettingsParser(std::string_view text, const std::string& file, std::vector<SettingsFault>& faults);

    /// Reads the whole text; call it once.
    SettingsValue parse();

    // Callbacks of nlohmann::json::sax_parse, which fixes their names. Each returns whether to go on.
    using Json = nlohmann::json;
    bool null();
    bool boolean(bool);
    bool number_integer(Json::number_integer_t); // NOLINT(readability-identifier-naming)
    bool number_unsigned(Json::number_unsigned_t); // NOLINT(readability-identifier-naming)
    bool number_float(Json::number_float_t, const std::string&); // NOLINT(readability-identifier-naming)
    bool string(std::string&);
    bool binary(Json::binary_t&);
    bool key(std::string&);
    bool start_object(size_t); // NOLINT(readability-identifier-naming)
    bool end_object(); // NOLINT(readability-identifier-naming)
    bool start_array(size_t); // NOLINT(readability-identifier-naming)
    bool end_array(); // NOLINT(readability-identifier-naming)
    bool parse_error(size_t, const std::string&, const Json::exception&); // NOLINT(readability-identifier-naming)

private:
    bool add(SettingsValue);
    bool open(SettingsValueKind);
    bool close();
    std::string path() const;

    /// Position of an offset; offsets only grow.
    SourcePosition positionAt(size_t offset);

    /// Offset of the opening quote of the string that has just been read.
    size_t stringStart() const;

    std::string_view text_;
    std::string file_;
    std::vector<SettingsFault>& faults_;
    size_t offset_ = 0;
    size_t countedOffset_ = 0;
    uint32_t line_ = 1;
    size_t lineStart_ = 0;
    SettingsValue root_;
    std::vector<SettingsValue*> open_;
    std::vector<std::string> names_;
    std::string key_;
    SourcePosition position_;
    bool hasRoot_ = false;
};

} // namespace endiveroad
