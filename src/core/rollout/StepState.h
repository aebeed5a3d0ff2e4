#pragma once

#include <cstdint>
#include <endiveroad/JobCoordinator.h>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace endiveroad {

/// Work that may be taken: what is ready now, by rank, and what has to wait for its instant.
class WorkQueue {
public:
    void add(uint32_t rank, Instant notBefore, Instant now);
    void remove(uint32_t rank, Instant notBefore);

    /// Lowest rank that may be taken now.
    std::optional<uint32_t> front(Instant now);

    /// Instant at which front() will have something; never if the queue is empty.
    Instant nextDeadline() const;

private:
    std::set<uint32_t> due_;
    std::set<std::pair<Instant, uint32_t>> delayed_;
};

/// One step of a job at its coordinator: the state of each sample, indexed so that every call costs no more than the
/// samples it touches.
class StepState {
public:
    explicit StepState(StepRequest);

    const StepRequest& request() const { return request_; }
    uint64_t digest() const { return digest_; }
    uint32_t size() const { return static_cast<uint32_t>(slots_.size()); }
    uint32_t readyCount() const { return ready_.count(); }
    bool isComplete() const { return isComplete_; }
    void setComplete(bool isComplete) { isComplete_ = isComplete; }

    /// Takes the longest sample that is wanted now, or nothing.
    std::optional<Dispatch> next(Instant now);

    /// Takes a wanted sample that is known to run at an agent already.
    std::optional<Dispatch> adopt(uint32_t index, Instant now);

    /// Running sample whose single attempt began first and before the instant that isLate gives for its length.
    std::optional<Dispatch> nextDuplicate(Instant now, double tokensPerSecond);

    bool isWanted(uint32_t index) const { return slots_[index].state == State::Wanted; }

    /// Keeps a sample unless there is one already. Returns when its latest attempt began, or nothing if not kept.
    std::optional<Instant> keep(Sample, bool needsScore, Instant now);
    void endAttempt(const Dispatch&, Instant retryAt, Instant now);

    /// Takes up to max samples for scoring; those for which isStale holds are wanted anew instead.
    template <typename IsStale>
    void nextScoring(size_t max, Instant now, IsStale isStale, std::vector<ScoringItem>& items);
    void onScore(uint32_t index, double score);
    void onScoringFailed(uint32_t index, Instant retryAt, Instant now);

    bool isReady(uint32_t index) const { return ready_.contains(index); }
    const Sample& sample(uint32_t index) const { return *slots_[index].sample; }

    /// Drops a sample, so that it is generated again.
    void discard(uint32_t index, Instant now);

    Instant nextDeadline() const;

private:
    enum class State { Wanted, Running, Unscored, Scoring, Ready };

    struct Slot {
        State state = State::Wanted;
        uint32_t rank = 0;
        uint32_t attempts = 0;
        uint32_t scoringAttempts = 0;
        std::vector<uint32_t> runningAttempts;
        Instant notBefore = Instant::min();
        Instant startedAt = Instant::min();
        std::optional<Sample> sample;
    };

    Dispatch start(uint32_t index, Instant now);

    StepRequest request_;
    uint64_t digest_;
    std::vector<uint32_t> byRank_;
    std::vector<Slot> slots_;
    WorkQueue wanted_;
    WorkQueue unscored_;
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
        Slot& slot = slots_[*index];
        unscored_.remove(*index, slot.notBefore);
        if (isStale(*slot.sample)) {
            slot.state = State::Scoring;
            discard(*index, now);
            continue;
        }
        slot.state = State::Scoring;
        ++slot.scoringAttempts;
        items.push_back(
            { request_.step, *index, slot.scoringAttempts, request_.samples[*index].prompt, slot.sample->text });
    }
}

} // namespace endiveroad
