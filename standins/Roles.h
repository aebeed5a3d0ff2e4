#pragma once

#include <cxxopts.hpp>

/// The stand-ins for the systems round the product. Each runs until it is killed, but for trainer and caller, which
/// print their verdict as one line of JSON and end.
namespace standin {

int runEngine(const cxxopts::ParseResult&);
int runService(const cxxopts::ParseResult&);
int runScorer(const cxxopts::ParseResult&);
int runKeyValue(const cxxopts::ParseResult&);
int runWeights(const cxxopts::ParseResult&);
int runVms(const cxxopts::ParseResult&);
int runRelay(const cxxopts::ParseResult&);
int runTrainer(const cxxopts::ParseResult&);
int runCaller(const cxxopts::ParseResult&);

} // namespace standin
