#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace endiveroad::cli {

/// The status document of one or of all processes as tables for people.
std::string statusText(const nlohmann::json& status);

} // namespace endiveroad::cli
