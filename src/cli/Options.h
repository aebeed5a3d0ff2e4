#pragma once

#include "cli/Commands.h"

#include <cxxopts.hpp>
#include <endiveroad/Settings.h>
#include <optional>

/// Shared parts of the command lines.
namespace endiveroad::cli {

/// Adds --help and the log options.
void addCommonOptions(cxxopts::Options&);

/// Parses; throws UsageInvalidError for unknown options or values. Returns nothing if help was printed.
std::optional<cxxopts::ParseResult> parse(cxxopts::Options&, const Arguments&);

/// Reads a whole number in a range; throws UsageInvalidError that names the option. The option holds text.
uint64_t integerOption(const cxxopts::ParseResult&, const std::string& name, uint64_t lowest, uint64_t highest);

/// Sets up the log from the common options.
void configureLog(const cxxopts::ParseResult&, const std::string& node);

/// Reads "host:port" with an IP number; throws UsageInvalidError that names the option.
Address parseAddress(const std::string& name, const std::string& text);

/// Reads the value of an address option; throws UsageInvalidError if it is missing or wrong.
Address addressOption(const cxxopts::ParseResult&, const std::string& name);

} // namespace endiveroad::cli
