#include "cli/SettingsFiles.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace endiveroad::cli {

namespace fs = std::filesystem;
using Json = nlohmann::json;

namespace {

constexpr std::string_view rootFile = "organisation.json";

Json readFile(const fs::path& path)
{
    std::ifstream stream(path);
    std::stringstream text;
    text << stream.rdbuf();
    if (!stream)
        throw FileUnreadableError(fmt::format("{} cannot be read", path.string()));
    try {
        return Json::parse(text.str(), nullptr, true, true);
    } catch (const Json::exception& error) {
        const std::string_view what = error.what();
        throw SettingsInvalidError(fmt::format("{}: {}", path.string(), what.substr(what.find(']') + 2)));
    }
}

} // namespace

std::string mergeSettingsDirectory(const std::string& directory)
{
    std::vector<fs::path> files;
    std::error_code error;
    for (fs::recursive_directory_iterator entry(directory, error), end; !error && entry != end;
         entry.increment(error)) {
        if (entry->path().extension() == ".json")
            files.push_back(entry->path());
    }
    if (error || files.empty())
        throw FileUnreadableError(fmt::format("{}: {}", directory, error ? error.message() : "holds no .json file"));
    std::sort(files.begin(), files.end());
    Json tree = Json::object();
    for (const fs::path& file : files) {
        fs::path node = fs::relative(file, directory).replace_extension();
        Json* target = &tree;
        if (file.filename() != rootFile) {
            for (const auto& part : node)
                target = &(*target)[part.string()];
        }
        if (target->is_null())
            *target = Json::object();
        target->update(readFile(file), true);
    }
    return tree.dump();
}

} // namespace endiveroad::cli
