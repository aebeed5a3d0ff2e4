#pragma once

#include "core/simulation/Agent.h"

#include <endiveroad/JobCoordinator.h>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

/// Simulation of one rollout job in virtual time: a trainer, two entries that may both coordinate the job, agents with
/// engines, and a network that loses, duplicates, delays and reorders messages. It has no key-value service. All checks
/// run when the trainer accepts an answer, and use the tokens, each of which shows the weight version that generated
/// it.
namespace simulation {

/// Thrown when a guarantee of the service is broken.
struct Violation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct SimulationOptions {
    int64_t stalenessBound = 1;
    double idleWeight = 0.5;
    bool wholeGroups = true;
    bool isScored = true;
    bool honoursFencing = true;
    bool statesVersion = false;
    uint32_t steps = 3;
};

class Simulation {
public:
    explicit Simulation(const SimulationOptions&);

    /// Executes one action. The low 5 bits of the choice select the action, the others are its argument.
    void runAction(uint32_t choice);

    /// Continues without faults until the trainer has trained on all steps. Throws Violation if that does not happen in
    /// a fixed number of rounds.
    void finishWithoutFaults();

    /// Number of tokens of each sample that the trainer accepted, by step and index.
    const std::map<std::pair<StepNumber, uint32_t>, uint32_t>& tokensBySample() const
    {
        return trainer_.tokensBySample;
    }
    const std::vector<StepRequest>& steps() const { return requests_; }

    /// Counts of events, to check that the generated histories reach the faults.
    struct Counts {
        uint64_t accepted = 0;
        /// Answers to a fetch whose cursor or policy the trainer no longer has.
        uint64_t ignoredAnswers = 0;
        /// Accepted samples with more than one segment.
        uint64_t mixedVersions = 0;
        uint64_t coordinatorCrashes = 0;
        uint64_t restores = 0;
        /// Samples that a coordinator collected from agents when a step was submitted.
        uint64_t recovered = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    static constexpr size_t agentCount = 3;
    static constexpr size_t coordinatorCount = 2;
    static constexpr uint32_t openSteps = 2;

    struct Trainer {
        std::string cursor;
        PolicyState policy;
        WeightVersion newestVersion = 0;
        int64_t newestOrder = 0;
        std::map<std::pair<StepNumber, uint32_t>, uint32_t> tokensBySample;
        std::set<StepNumber> submitted;
        uint32_t trainedSteps = 0;
    };

    struct Checkpoint {
        std::string cursor;
        PolicyState policy;
        std::map<std::pair<StepNumber, uint32_t>, uint32_t> tokensBySample;
        uint32_t trainedSteps = 0;
    };

    struct Coordinator {
        std::unique_ptr<JobCoordinator> core;
        uint64_t incarnation = 1;
    };

    JobDeclaration declaration() const;
    bool isStepReceived(StepNumber) const;
    bool isDone() const { return trainer_.trainedSteps == options_.steps; }
    StepNumber currentStep() const;

    void submit(StepNumber, size_t coordinator);
    /// `unreachable` selects an agent that cannot be asked for its samples, or none.
    void onSubmit(size_t coordinator, const StepRequest&, size_t unreachable);
    void fetch(size_t coordinator, size_t max);
    void onFetch(
        size_t coordinator, const std::string& cursor, PolicyState, std::set<StepNumber> submitted, size_t max);
    void onAnswer(const std::string& requestCursor, const PolicyState&, const FetchResult&,
        const std::set<StepNumber>& unknownSteps);
    void accept(const Sample&, const PolicyState&);
    void train();
    /// Announces new weights before the step is complete, like a trainer that does not wait for all samples.
    void announceEarly();
    void rollBack();
    void restoreCheckpoint();
    void dispatch(size_t coordinator, size_t agent);
    void send(size_t coordinator, size_t agent, const Dispatch&, WeightVersion oldest);
    void score(size_t coordinator, bool isFaulty);
    void orderWeights(size_t coordinator, size_t agent);
    void crashCoordinator(size_t coordinator);
    void deliverMessages(size_t limit);

    SimulationOptions options_;
    std::vector<StepRequest> requests_;
    Network network_;
    std::vector<std::unique_ptr<Agent>> agents_;
    std::vector<Coordinator> coordinators_;
    Trainer trainer_;
    std::vector<Checkpoint> checkpoints_;
    Instant now_ {};
    Counts counts_;
};

} // namespace simulation
