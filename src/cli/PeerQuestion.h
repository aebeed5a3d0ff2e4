#pragma once

#include "cli/Options.h"
#include "io/Survey.h"

/// Asking a running process from the command line.
namespace endiveroad::cli {

/// Adds --at and --key-file.
void addAskOptions(cxxopts::Options&);

/// Adds --at, --key-file and --self.
void addPeerOptions(cxxopts::Options&);

/// The scope that the options ask for: all processes, or with --self the one that is asked.
io::SurveyScope scopeOption(const cxxopts::ParseResult&);

/// Asks the process at --at and returns its JSON text. Throws PeerUnavailableError, or the Error that it answers with.
std::string askSurvey(const cxxopts::ParseResult&, const io::SurveyQuestion&);

/// Sends an order, such as Drain, to the process at --at and returns its JSON text.
std::string sendOrder(const cxxopts::ParseResult&, io::MessageType);

} // namespace endiveroad::cli
