#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace endiveroad::cli {

/// Formats the status document of one process or of all processes as text tables.
std::string statusText(const nlohmann::json& status);

} // namespace endiveroad::cli
