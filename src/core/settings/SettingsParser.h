#pragma once

#include <endiveroad/SettingsTree.h>
#include <nlohmann/json.hpp>

/// SAX handler that parses JSON with comments into a SettingsValue and keeps the positions of the keys.
namespace endiveroad {

class SettingsParser {
public:
    SettingsParser(std::string_view text, const std::string& file, std::vector<SettingsFault>& faults);

    /// Parses the whole text. Must be called only once.
    SettingsValue parse();

    // Callbacks of nlohmann::json::sax_parse, which prescribes their names. Each returns false to stop the parser.
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
    /// Adds a value to the innermost open object or array, or makes it the root.
    bool add(SettingsValue);
    bool beginContainer(SettingsValueKind);
    bool endContainer();
    /// Path of the innermost open object or array.
    std::string path() const;

    /// Line and column of an offset, which must not be lower than in the call before.
    SourcePosition positionAt(size_t offset);

    /// Offset of the opening quote of the string that the parser has just read.
    size_t stringStart() const;

    std::string_view text_;
    std::string file_;
    std::vector<SettingsFault>& faults_;
    size_t offset_ = 0;
    size_t scannedOffset_ = 0;
    uint32_t line_ = 1;
    size_t lineStart_ = 0;
    SettingsValue root_;
    std::vector<SettingsValue*> openContainers_;
    std::vector<std::string> pathNames_;
    std::string currentKey_;
    SourcePosition currentPosition_;
    bool hasRoot_ = false;
};

} // namespace endiveroad
