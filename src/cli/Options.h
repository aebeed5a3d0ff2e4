#pragma once

#include "cli/Commands.h"

#include <cxxopts.hpp>
#include <endiveroad/Settings.h>
#include <optional>

/// Command-line options that several subcommands share.
namespace endiveroad::cli {

/// Adds --help and the log options.
void addCommonOptions(cxxopts::Options&);

/// Parses the arguments. Returns nothing if --help was given and the help is printed. Throws UsageInvalidError for an
/// unknown option, a value of the wrong type or an unexpected argument.
std::optional<cxxopts::ParseResult> parse(cxxopts::Options&, const Arguments&);

/// Parses the value of an option, declared as a string, as an integer. Throws UsageInvalidError, which names the
/// option, if it is not an integer from lowest to highest.
uint64_t integerOption(const cxxopts::ParseResult&, const std::string& name, uint64_t lowest, uint64_t highest);

/// Configures the process-wide log from --log-format and --log-level. Throws UsageInvalidError for an unknown value.
void configureLog(const cxxopts::ParseResult&, const std::string& node);

/// Parses "host:port", where host is an IP address. Throws UsageInvalidError, which names the option, if the text is
/// not of this form.
Address parseAddress(const std::string& name, const std::string& text);

/// Parses the value of a required address option. Throws UsageInvalidError if the option is missing or its value is not
/// an address.
Address addressOption(const cxxopts::ParseResult&, const std::string& name);

} // namespace endiveroad::cli
