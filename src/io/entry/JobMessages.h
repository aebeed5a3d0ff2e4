#pragma once

#include "io/HttpClient.h"

#include <endiveroad/JobCoordinator.h>
#include <map>
#include <string>
#include <vector>

/// JSON of the trainer's and the scorer's calls, to and from the core's values.
namespace endiveroad::io {

struct FetchRequest {
    std::string cursor;
    PolicyState policy;
    size_t max = 0;
    Duration wait = Duration::zero();
    std::vector<StepNumber> steps;
};

/// A trainer's announcement of weights.
struct PolicyRequest {
    PolicyState policy;
    std::string weights;
};

/// These throw BadRequestError.
StepRequest parseStep(StepNumber, const std::string& body);
FetchRequest parseFetch(const std::string& body);
PolicyRequest parsePolicy(const std::string& body);

std::string submitAnswer(StepNumber, size_t samples, bool isNew);

/// unknownSteps are those that the trainer has to submit again.
std::string fetchAnswer(const FetchRequest&, const FetchResult&, const std::vector<StepNumber>& unknownSteps);
std::string stateAnswer(const JobDeclaration&, const PolicyState&, const std::vector<StepProgress>&);

std::string scoringBody(const std::vector<ScoringItem>&);

/// Scores by the position of their item. An item without a score of its own, and a score that belongs to no item, is
/// left out; so are both if an id comes twice. Throws AnswerBrokenError.
std::map<size_t, double> parseScores(const std::string& body, const std::vector<ScoringItem>&);

} // namespace endiveroad::io
