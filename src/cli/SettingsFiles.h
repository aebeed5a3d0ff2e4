#pragma once

#include <endiveroad/SettingsTree.h>
#include <string>

namespace endiveroad::cli {

/// Merges a directory of JSON files, which may have comments, into one settings tree. A file named organisation.json,
/// in whichever subdirectory, holds the root of the tree; any other file holds the node at its path without the
/// extension, as in regions/tx-panhandle/pools/ledge-lm.json. Throws FileUnreadableError, or SettingsInvalidError with
/// one line for each fault in any of the files.
SettingsValue readSettingsDirectory(const std::string& directory);

} // namespace endiveroad::cli
