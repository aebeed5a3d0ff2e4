#include "cli/SettingsFiles.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <filesystem>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <fstream>
#include <sstream>

namespace endiveroad::cli {

namespace fs = std::filesystem;

namespace {

constexpr std::string_view rootFileName = "organisation.json";

std::string readFile(const fs::path& path)
{
    std::ifstream stream(path);
    std::stringstream text;
    text << stream.rdbuf();
    if (!stream)
        throw FileUnreadableError(fmt::format("{} cannot be read", path.string()));
    return text.str();
}

std::vector<fs::path> listFiles(const std::string& directory)
{
    std::vector<fs::path> files;
    std::error_code error;
    for (fs::recursive_directory_iterator entry(directory, error), end; !error && entry != end;
         entry.increment(error)) {
        if (entry->path().extension() == ".json")
            files.push_back(entry->path());
    }
    if (error || files.empty())
        throw FileUnreadableError(fmt::format("{}: {}", directory, error ? error.message() : "contains no .json file"));
    std::sort(files.begin(), files.end());
    return files;
}

/// Wraps the node of a file in one object for each part of the file's path, so that it can be merged into the tree.
SettingsValue nestAtPath(SettingsValue node, const fs::path& relative)
{
    const std::vector<fs::path> parts(relative.begin(), relative.end());
    for (size_t i = parts.size(); i-- > 0;) {
        SettingsValue parent;
        parent.position = node.position;
        parent.members.emplace(parts[i].string(), std::move(node));
        node = std::move(parent);
    }
    return node;
}

} // namespace

SettingsValue readSettingsDirectory(const std::string& directory)
{
    std::vector<SettingsFault> faults;
    SettingsValue tree;
    for (const fs::path& file : listFiles(directory)) {
        SettingsValue node = parseSettingsText(readFile(file), file.string(), faults);
        if (!node.isObject()) {
            faults.push_back({ node.position, "", "is not an object" });
            continue;
        }
        const bool isRoot = file.filename() == rootFileName;
        const fs::path treePath = isRoot ? fs::path() : fs::relative(file, directory).replace_extension();
        mergeSettings(tree, nestAtPath(std::move(node), treePath), "", faults);
    }
    std::vector<std::string> lines;
    for (const SettingsFault& fault : faults)
        lines.push_back(fault.text());
    if (!faults.empty())
        throw SettingsInvalidError(fmt::format("{}", fmt::join(lines, "\n")));
    return tree;
}

} // namespace endiveroad::cli
