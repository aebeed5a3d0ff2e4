#pragma once

#include <endiveroad/JobBody.h>
#include <endiveroad/JobCoordinator.h>
#include <map>
#include <string>
#include <vector>

/// JSON of the answers to trainers, and of the scorer's calls.
namespace endiveroad::io {

std::string submitAnswer(StepNumber, size_t samples, bool isNew);

/// unknownSteps are those that the trainer has to submit again.
std::string fetchAnswer(const FetchBody&, const FetchResult&, const std::vector<StepNumber>& unknownSteps);
std::string stateAnswer(const JobDeclaration&, const PolicyState&, const std::vector<StepProgress>&);

std::string scoringBody(const std::vector<ScoringItem>&);

/// Scores by the position of their item. An item without a score of its own, and a score that belongs to no item, is
/// left out; so are both if an id comes twice. Throws AnswerBrokenError.
std::map<size_t, double> parseScores(const std::string& body, const std::vector<ScoringItem>&);

} // namespace endiveroad::io
