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

/// Coordination of one job's steps at an entry, a process that accepts callers' requests. All state is in memory only:
/// after an entry is lost, the trainer submits its open steps again, and finished samples are collected from the agents
/// that still hold them.
namespace endiveroad {

/// One attempt to generate one sample, sent to one agent.
struct Dispatch {
    StepNumber step = 0;
    uint32_t index = 0;
    uint64_t stepDigest = 0;
    /// 1 for the first attempt at this sample.
    uint32_t attempt = 0;
    SampleRequest request;

    auto operator<=>(const Dispatch&) const = default;
};

/// A generated sample that needs a score.
struct ScoringItem {
    StepNumber step = 0;
    uint32_t index = 0;
    /// 1 for the first scoring call for this sample.
    uint32_t attempt = 0;
    std::string prompt;
    std::string text;

    auto operator<=>(const ScoringItem&) const = default;
};

/// Progress of one step as reported to the trainer.
struct StepProgress {
    StepNumber step = 0;
    /// Samples in the step.
    uint32_t wanted = 0;
    /// Samples that are generated and, if the job requires it, scored. Includes samples that the trainer has received
    /// and stale ones that no fetch has dropped yet.
    uint32_t finished = 0;
    /// Samples that the trainer's cursor contains after this fetch.
    uint32_t received = 0;

    auto operator<=>(const StepProgress&) const = default;
};

/// Result of one fetch; next is the cursor that includes the returned samples.
struct FetchResult {
    std::vector<Sample> samples;
    Cursor next;
    std::vector<StepProgress> steps;
};

/// A trainer's announcement of the weight version that it uses; `order` is the announcement's sequence number. It grows
/// with every announcement, also when the trainer rolls back to an older version, so the highest order is the newest
/// policy. A trainer that never rolls back may use the version as the order.
struct PolicyState {
    WeightVersion version = 0;
    int64_t order = 0;

    auto operator<=>(const PolicyState&) const = default;
};

class StepState;

/// Decides which samples of a job are generated and scored next, and which ones a fetch returns.
class JobCoordinator {
public:
    /// Number of completely received steps that are kept, for a trainer that restores an older checkpoint.
    static constexpr size_t retainedCompleteSteps = 2;

    explicit JobCoordinator(JobDeclaration);
    JobCoordinator(JobCoordinator&&) noexcept;
    JobCoordinator& operator=(JobCoordinator&&) noexcept;
    ~JobCoordinator();

    /// Replaces the declaration; open steps continue under the new one.
    void onDeclaration(JobDeclaration declaration) { declaration_ = std::move(declaration); }

    const JobDeclaration& declaration() const { return declaration_; }

    /// Adds a step. Returns false if the same step was added before. Throws StepConflictError if the step number was
    /// used with different content.
    bool submit(StepRequest, Instant now);

    bool hasStep(StepNumber step) const { return steps_.contains(step); }

    /// Policy with the highest order that the trainer has sent.
    const PolicyState& policy() const { return policy_; }

    /// Replaces the policy if the given one has a higher order.
    void onPolicy(const PolicyState&);

    /// Staleness bound and idle weight of the declaration.
    RolloutObjective objective() const;

    /// The policy's version less the staleness bound, but at least 0. A sample with tokens of an older version is
    /// stale.
    WeightVersion oldestUsableVersion() const;

    /// Oldest weight version of a replica that may start a new sample, according to the job's objective.
    WeightVersion oldestVersionToStart() const { return objective().oldestToStart(policy_.version); }

    /// Starts an attempt at the next sample to generate: oldest step first, then largest token limit first. Skips
    /// samples that have a running attempt. Returns nothing if no sample is due.
    std::optional<Dispatch> next(Instant now);

    /// Starts a second attempt at a straggler: a sample whose only attempt runs far longer than its token limit
    /// explains. Call it only when next() returns nothing and replicas are idle. The first complete result is kept.
    std::optional<Dispatch> nextDuplicate(Instant now);

    /// Starts an attempt at a pending sample that an agent reports to be generating already. The caller sends the
    /// dispatch to that agent, which attaches it to the generation in progress. Returns nothing if the sample is not
    /// pending.
    std::optional<Dispatch> adopt(StepNumber, uint32_t index, Instant now);

    /// Accepts a generated sample from any agent, also one that this coordinator did not request. Returns false and
    /// drops it if the step is unknown or has different content, a token has no known weight version, the sample is
    /// stale, or another result was accepted before.
    bool onSample(Sample, Instant now);

    /// Ends an attempt without a result. The sample is dispatched again from retryAt on, unless another attempt runs.
    void onAttemptFailed(const Dispatch&, Instant retryAt, Instant now);

    /// Returns up to max generated samples to score and marks them as being scored. Stale samples are generated again
    /// instead.
    std::vector<ScoringItem> nextScoring(size_t max, Instant now);
    void onScore(StepNumber, uint32_t index, double score);
    void onScoringFailed(StepNumber, uint32_t index, Instant retryAt, Instant now);

    /// Returns samples that the cursor does not contain and that are fresh enough for the given policy, which replaces
    /// the current one if its order is higher. Stops at max samples. If the job requires whole groups, only whole
    /// groups are returned, and the last one is returned whole even beyond max. Stale samples are generated again.
    FetchResult fetch(const Cursor&, const PolicyState&, size_t max, Instant now);

    /// Earliest instant at which next() or nextScoring() may return more work.
    Instant nextDeadline() const;

    std::vector<StepProgress> progress() const;

    /// Number and digest of each known step.
    std::vector<std::pair<StepNumber, uint64_t>> steps() const;

private:
    void dropOldCompleteSteps();
    bool isStale(const Sample&, WeightVersion trainerVersion) const;
    void collectReadySamples(
        StepState&, const Cursor&, WeightVersion trainerVersion, size_t max, Instant now, FetchResult&);
    /// Whether all samples of [first, end) that the cursor lacks are ready. Discards the stale ones, which are then
    /// generated again.
    bool isGroupReady(StepState&, const Cursor&, uint32_t first, uint32_t end, WeightVersion, Instant now) const;
    StepState* find(StepNumber, uint32_t index) const;

    JobDeclaration declaration_;
    PolicyState policy_;
    /// Moving average of the generation rate of one sample; 0 before the first finished sample.
    double tokensPerSecond_ = 0;
    std::map<StepNumber, std::unique_ptr<StepState>> steps_;
};

} // namespace endiveroad
