#pragma once

#include <cstdint>
#include <endiveroad/JobCoordinator.h>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace endiveroad {

/// Queue of work items, ordered by key among the items that are due; the others wait for their notBefore instant.
class WorkQueue {
public:
    void add(uint32_t key, Instant notBefore, Instant now);
    void remove(uint32_t key, Instant notBefore);

    /// Lowest key that is due now.
    std::optional<uint32_t> front(Instant now);

    /// Instant from which front() returns a key; `never` if the queue is empty.
    Instant nextDeadline() const;

private:
    std::set<uint32_t> due_;
    std::set<std::pair<Instant, uint32_t>> delayed_;
};

/// State of one step's samples at the job's coordinator. The samples are indexed by phase, so that the cost of a call
/// depends on the samples it touches, not on the size of the step.
class StepState {
public:
    explicit StepState(StepRequest);

    const StepRequest& request() const { return request_; }
    uint64_t digest() const { return digest_; }
    uint32_t size() const { return static_cast<uint32_t>(states_.size()); }
    uint32_t readyCount() const { return ready_.count(); }
    bool isComplete() const { return isComplete_; }
    /// Marks the step as received completely by the trainer; the coordinator's next() skips such a step.
    void setComplete(bool isComplete) { isComplete_ = isComplete; }

    /// Starts an attempt at the pending sample with the largest token limit that is due now; nothing if none is.
    std::optional<Dispatch> next(Instant now);

    /// Starts an attempt at a pending sample that an agent generates already. Returns nothing if the sample is not
    /// pending.
    std::optional<Dispatch> adopt(uint32_t index, Instant now);

    /// Starts a second attempt at the longest-running sample that has a single attempt and is a straggler at the given
    /// generation rate; nothing if there is none.
    std::optional<Dispatch> nextDuplicate(Instant now, double tokensPerSecond);

    bool isPending(uint32_t index) const { return states_[index].phase == Phase::Pending; }

    /// Stores the sample unless there is one already. Returns the start of the latest attempt, or nothing if the sample
    /// was not stored.
    std::optional<Instant> store(Sample, bool needsScore, Instant now);
    /// Ends an attempt without a result. If no other attempt runs, the sample is due again at retryAt.
    void endAttempt(const Dispatch&, Instant retryAt, Instant now);

    /// Appends samples to score until there are max items. Samples for which isStale is true are generated again.
    template <typename IsStale>
    void nextScoring(size_t max, Instant now, IsStale isStale, std::vector<ScoringItem>& items);
    void onScore(uint32_t index, double score);
    void onScoringFailed(uint32_t index, Instant retryAt, Instant now);

    bool isReady(uint32_t index) const { return ready_.contains(index); }
    const Sample& sample(uint32_t index) const { return *states_[index].sample; }

    /// Drops a stored sample, so that it is generated again.
    void discard(uint32_t index, Instant now);

    Instant nextDeadline() const;

private:
    enum class Phase { Pending, Running, Unscored, Scoring, Ready };

    struct SampleState {
        Phase phase = Phase::Pending;
        /// Position in the order of dispatch, which is by decreasing token limit.
        uint32_t rank = 0;
        uint32_t attempts = 0;
        uint32_t scoringAttempts = 0;
        std::vector<uint32_t> runningAttempts;
        Instant notBefore = Instant::min();
        Instant startedAt = Instant::min();
        std::optional<Sample> sample;
    };

    Dispatch startAttempt(uint32_t index, Instant now);

    StepRequest request_;
    uint64_t digest_;
    std::vector<uint32_t> indexByRank_;
    std::vector<SampleState> states_;
    /// Keys are ranks.
    WorkQueue pending_;
    /// Keys are sample indices.
    WorkQueue unscored_;
    /// Start of the latest attempt and sample index.
    std::set<std::pair<Instant, uint32_t>> running_;
    IndexSet ready_;
    bool isComplete_ = false;
};

template <typename IsStale>
void StepState::nextScoring(size_t max, Instant now, IsStale isStale, std::vector<ScoringItem>& items)
{
    while (items.size() < max) {
        const auto index = unscored_.front(now);
        if (!index)
            return;
        SampleState& state = states_[*index];
        unscored_.remove(*index, state.notBefore);
        if (isStale(*state.sample)) {
            state.phase = Phase::Scoring;
            discard(*index, now);
            continue;
        }
        state.phase = Phase::Scoring;
        ++state.scoringAttempts;
        items.push_back(
            { request_.step, *index, state.scoringAttempts, request_.samples[*index].prompt, state.sample->text });
    }
}

} // namespace endiveroad
