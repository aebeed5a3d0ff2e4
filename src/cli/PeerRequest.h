#pragma once

#include "cli/Options.h"
#include "io/Survey.h"

/// Requests from the command line to a running process.
namespace endiveroad::cli {

/// Adds --at and --key-file.
void addConnectionOptions(cxxopts::Options&);

/// Adds --at, --key-file and --self.
void addSurveyOptions(cxxopts::Options&);

/// The processes to query: all, or with --self only the one at --at.
io::SurveyScope scopeOption(const cxxopts::ParseResult&);

/// Sends a query to the process at --at and returns the JSON text of the answer. Throws like
/// PeerConnection::connect() and call(), and UsageInvalidError for invalid options.
std::string sendSurvey(const cxxopts::ParseResult&, const io::SurveyQuery&);

/// Sends a command without arguments, such as Drain, to the process at --at and returns the JSON text of the answer.
/// Throws as sendSurvey() does.
std::string sendCommand(const cxxopts::ParseResult&, io::MessageType);

} // namespace endiveroad::cli
