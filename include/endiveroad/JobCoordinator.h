#pragma once

#include <cstdint>
#include <endiveroad/Cursor.h>
#include <endiveroad/Sample.h>
#include <endiveroad/Settings.h>
#include <endiveroad/Time.h>
#include <map>
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

class JobCoordinator {
public:
    /// Complete steps kept for a trainer that restores an older checkpoint.
    static constexpr size_t retainedCompleteSteps = 2;

    explicit JobCoordinator(JobDeclaration);

    /// Takes a changed declaration; open steps go on under it.
    void onDeclaration(JobDeclaration declaration) { declaration_ = std::move(declaration); }

    const JobDeclaration& declaration() const { return declaration_; }

    /// Accepts a step. Returns false if the same step was accepted before. Throws StepConflictError for other content.
    bool submit(StepRequest, Instant now);

    bool knows(StepNumber step) const { return steps_.contains(step); }

    /// Newest version that the trainer has named.
    WeightVersion policyVersion() const { return policyVersion_; }
    void onPolicyVersion(WeightVersion version);

    /// Oldest version that a segment may have under the newest policy.
    WeightVersion oldestUsableVersion() const;

    /// Next sample to generate: oldest step first, within it the longest, each at most once at a time.
    std::optional<Dispatch> next(Instant now);

    /// Takes a finished sample from any agent, asked for or found. Returns false if it is of no use: unknown step,
    /// other content, not attributed, stale, or already there.
    bool onSample(Sample);

    /// A dispatch came to nothing; the sample is tried again at retryAt.
    void onFailed(const Dispatch&, Instant retryAt);

    /// Up to max finished samples to score, marked as being scored.
    std::vector<ScoringItem> nextScoring(size_t max, Instant now);
    void onScore(StepNumber, uint32_t index, double score);
    void onScoringFailed(StepNumber, uint32_t index, Instant retryAt);

    /// Hands over up to max samples that the cursor has not received and that are fresh for the given version.
    /// Stale ones are put back to be generated again.
    FetchResult fetch(const Cursor&, WeightVersion trainerVersion, size_t max);

    /// Earliest instant at which next() or nextScoring() may have more to give.
    Instant nextDeadline() const;

    std::vector<StepProgress> progress() const;

    /// Steps with their digests and the indices that are finished here.
    std::vector<std::pair<StepNumber, uint64_t>> steps() const;

private:
    enum class State { Wanted, Running, Unscored, Scoring, Ready };

    struct Slot {
        State state = State::Wanted;
        uint32_t attempt = 0;
        Instant notBefore = Instant::min();
        std::optional<Sample> sample;
    };

    struct Step {
        StepRequest request;
        uint64_t digest = 0;
        std::vector<uint32_t> longestFirst;
        std::vector<Slot> slots;
        bool isComplete = false;
    };

    void dropOldCompleteSteps();
    bool isStale(const Sample&, WeightVersion trainerVersion) const;
    Slot* slot(StepNumber, uint32_t index);

    JobDeclaration declaration_;
    WeightVersion policyVersion_ = 0;
    std::map<StepNumber, Step> steps_;
};

} // namespace endiveroad
