#pragma once

#include <endiveroad/SettingsTree.h>
#include <string>

namespace endiveroad::cli {

/// Merges a directory of JSON files with comments into one tree. organisation.json holds the root; any other file holds
/// the node that its path names, as in regions/tx-panhandle/pools/ledge-lm.json. Throws FileUnreadableError, or
/// SettingsInvalidError with one line for each fault of all files.
SettingsValue readSettingsDirectory(const std::string& directory);

} // namespace endiveroad::cli
