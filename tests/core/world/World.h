#pragma once

#include "core/world/Agent.h"

#include <endiveroad/JobCoordinator.h>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

/// A whole rollout job in virtual time: a trainer, two entries that may both coordinate it, agents with engines, and a
/// network that loses, doubles, delays and reorders. There is no key-value service in it. Every check is made where the
/// trainer accepts an answer, from the tokens themselves.
namespace world {

struct Violation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct WorldOptions {
    int64_t stalenessBound = 1;
    double idleWeight = 0.5;
    bool wholeGroups = true;
    bool isScored = true;
    bool honoursFencing = true;
    bool statesVersion = false;
    uint32_t steps = 3;
};

class World {
public:
    explicit World(const WorldOptions&);

    /// Carries out one action, chosen by the number's low bits, with the others as its argument.
    void act(uint32_t choice);

    /// Goes on without faults until the trainer has all samples. Throws Violation if that does not come about.
    void finish();

    /// Tokens of each sample that the trainer learned from.
    const std::map<std::pair<StepNumber, uint32_t>, uint32_t>& learned() const { return trainer_.learned; }
    const std::vector<StepRequest>& steps() const { return requests_; }

    /// Counts of what came about, to see that histories reach their faults.
    struct Counts {
        uint64_t accepted = 0;
        uint64_t ignoredAnswers = 0;
        uint64_t mixedVersions = 0;
        uint64_t coordinatorCrashes = 0;
        uint64_t restores = 0;
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
        std::map<std::pair<StepNumber, uint32_t>, uint32_t> learned;
        std::set<StepNumber> submitted;
        uint32_t trained = 0;
    };

    struct Checkpoint {
        std::string cursor;
        PolicyState policy;
        std::map<std::pair<StepNumber, uint32_t>, uint32_t> learned;
        uint32_t trained = 0;
    };

    struct Coordinator {
        std::unique_ptr<JobCoordinator> core;
        uint64_t incarnation = 1;
    };

    JobDeclaration declaration() const;
    bool isStepLearned(StepNumber) const;
    bool isDone() const { return trainer_.trained == options_.steps; }
    StepNumber currentStep() const;

    void submit(StepNumber, size_t coordinator);
    void onSubmit(size_t coordinator, const StepRequest&, size_t unreachable);
    void fetch(size_t coordinator, size_t max);
    void onFetch(size_t coordinator, const std::string& cursor, PolicyState, std::set<StepNumber> known, size_t max);
    void onAnswer(
        const std::string& answers, const PolicyState&, const FetchResult&, const std::set<StepNumber>& unknown);
    void accept(const Sample&, const PolicyState&);
    void train();
    /// New weights before the step is whole, as of a trainer that does not wait.
    void announceEarly();
    void rollBack();
    void restore();
    void dispatch(size_t coordinator, size_t agent);
    void send(size_t coordinator, size_t agent, const Dispatch&, WeightVersion oldest);
    void score(size_t coordinator, bool isFaulty);
    void orderWeights(size_t coordinator, size_t agent);
    void crashCoordinator(size_t coordinator);
    void carryMessages(size_t limit);

    WorldOptions options_;
    std::vector<StepRequest> requests_;
    Network network_;
    std::vector<std::unique_ptr<Agent>> agents_;
    std::vector<Coordinator> coordinators_;
    Trainer trainer_;
    std::vector<Checkpoint> checkpoints_;
    Instant now_ {};
    Counts counts_;
};

} // namespace world
