#pragma once

#include <endiveroad/JobBody.h>
#include <endiveroad/JobCoordinator.h>
#include <map>
#include <string>
#include <vector>

/// JSON texts of the answers to trainers and of the calls to scorers.
namespace endiveroad::io {

/// isNew is false if the same step was submitted before.
std::string submitAnswer(StepNumber, size_t samples, bool isNew);

/// unknownSteps are those of the request that this entry does not have and whose samples the trainer has not all
/// received; the trainer submits them again.
std::string fetchAnswer(const FetchBody&, const FetchResult&, const std::vector<StepNumber>& unknownSteps);
std::string stateAnswer(const JobDeclaration&, const PolicyState&, const std::vector<StepProgress>&);

/// Body of a scoring call. The id of each sample is "step/index".
std::string scoringBody(const std::vector<ScoringItem>&);

/// Parses a scorer's answer into scores by position in items. Leaves out items whose score is missing, not finite or
/// given more than once, and scores of unknown items. Throws AnswerBrokenError if the answer is malformed.
std::map<size_t, double> parseScores(const std::string& body, const std::vector<ScoringItem>&);

} // namespace endiveroad::io
