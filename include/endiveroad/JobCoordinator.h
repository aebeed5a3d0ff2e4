#pragma once

#include <cstdint>
#include <endiveroad/Cursor.h>
#include <endiveroad/Sample.h>
#include <endiveroad/SampleProgress.h>
#include <endiveroad/Settings.h>
#include <endiveroad/Time.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Coordination of one job's steps at an entry. All of it is soft state: after a loss the trainer submits its open
/// steps again and finished samples are found at the agents that hold them.
namespace endiveroad {

/// Work for one agent.
struct Dispatch {
    StepNumber step = 0;
    uint32_t index = 0;
    uint64_t stepDigest = 0;
    uint32_t attempt = 0;
    SampleRequest request;

    auto operator<=>(const Dispatch&) const = default;
};

/// A finished sample that wants a score.
struct ScoringItem {
    StepNumber step = 0;
    uint32_t index = 0;
    /// 1 for the first call for this sample.
    uint32_t attempt = 0;
    std::string prompt;
    std::string text;

    auto operator<=>(const ScoringItem&) const = default;
};

/// Progress of one step as told to the trainer.
struct StepProgress {
    StepNumber step = 0;
    uint32_t wanted = 0;
    uint32_t finished = 0;
    uint32_t received = 0;

    auto operator<=>(const StepProgress&) const = default;
};

/// Answer to one fetch.
struct FetchResult {
    std::vector<Sample> samples;
    Cursor next;
    std::vector<StepProgress> steps;
};

/// Which weights a trainer works with. The order grows with every announcement, also when the trainer goes back to an
/// older version; a trainer that never goes back uses the version as order.
struct PolicyState {
    WeightVersion version = 0;
    int64_t order = 0;

    auto operator<=>(const PolicyState&) const = default;
};

class StepState;

class JobCoordinator {
public:
    /// Complete steps kept for a trainer that restores an older checkpoint.
    static constexpr size_t retainedCompleteSteps = 2;

    explicit JobCoordinator(JobDeclaration);
    JobCoordinator(JobCoordinator&&) noexcept;
    JobCoordinator& operator=(JobCoordinator&&) noexcept;
    ~JobCoordinator();

    /// Takes a changed declaration; open steps go on under it.
    void onDeclaration(JobDeclaration declaration) { declaration_ = std::move(declaration); }

    const JobDeclaration& declaration() const { return declaration_; }

    /// Accepts a step. Returns false if the same step was accepted before. Throws StepConflictError for other content.
    bool submit(StepRequest, Instant now);

    bool knows(StepNumber step) const { return steps_.contains(step); }

    /// Policy of the highest order that the trainer has named.
    const PolicyState& policy() const { return policy_; }
    void onPolicy(const PolicyState&);

    RolloutObjective objective() const;

    /// Oldest version that a segment may have under the newest policy.
    WeightVersion oldestUsableVersion() const;

    /// Oldest version of engines that new work is given to, by the job's objective.
    WeightVersion oldestVersionToStart() const { return objective().oldestToStart(policy_.version); }

    /// Next sample to generate: oldest step first, within it the longest, each at most once at a time.
    std::optional<Dispatch> next(Instant now);

    /// A second attempt for a sample that takes far longer than its length explains. To be asked for only when next()
    /// has nothing and capacity is idle; the first whole result wins.
    std::optional<Dispatch> nextDuplicate(Instant now);

    /// Takes a wanted sample that an agent says it is generating already; the dispatch goes to that agent, which joins
    /// it to the attempt under way.
    std::optional<Dispatch> adopt(StepNumber, uint32_t index, Instant now);

    /// Takes a finished sample from any agent, asked for or found. Returns false if it is of no use: unknown step,
    /// other content, not attributed, stale, or already there.
    bool onSample(Sample, Instant now);

    /// A dispatch came to nothing; the sample is tried again at retryAt unless another attempt runs.
    void onFailed(const Dispatch&, Instant retryAt, Instant now);

    /// Up to max finished samples to score, marked as being scored.
    std::vector<ScoringItem> nextScoring(size_t max, Instant now);
    void onScore(StepNumber, uint32_t index, double score);
    void onScoringFailed(StepNumber, uint32_t index, Instant retryAt, Instant now);

    /// Hands over up to max samples that the cursor has not received and that are fresh for the policy, which the fetch
    /// names; whole groups only if the job says so, and then at least one group. Stale samples are generated again.
    FetchResult fetch(const Cursor&, const PolicyState&, size_t max, Instant now);

    /// Earliest instant at which next() or nextScoring() may have more to give.
    Instant nextDeadline() const;

    std::vector<StepProgress> progress() const;

    /// Digest of each known step.
    std::vector<std::pair<StepNumber, uint64_t>> steps() const;

private:
    void dropOldCompleteSteps();
    bool isStale(const Sample&, WeightVersion trainerVersion) const;
    void handOver(StepState&, const Cursor&, WeightVersion trainerVersion, size_t max, Instant now, FetchResult&);
    bool isGroupReady(StepState&, const Cursor&, uint32_t first, uint32_t end, WeightVersion, Instant now) const;
    StepState* find(StepNumber, uint32_t index) const;

    JobDeclaration declaration_;
    PolicyState policy_;
    /// Moving average over finished samples; 0 before the first.
    double tokensPerSecond_ = 0;
    std::map<StepNumber, std::unique_ptr<StepState>> steps_;
};

} // namespace endiveroad
