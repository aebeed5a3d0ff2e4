#pragma once

#include <string>

namespace endiveroad::cli {

/// Merges a directory of JSON files with comments into one tree document. organisation.json holds the root; any other
/// file holds the node that its path names, as in regions/tx-panhandle/pools/ledge-lm.json. Throws FileUnreadableError
/// or SettingsInvalidError.
std::string mergeSettingsDirectory(const std::string& directory);

} // namespace endiveroad::cli
