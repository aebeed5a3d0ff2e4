#include "core/rollout/StepState.h"

#include <algorithm>
#include <numeric>

namespace endiveroad {

namespace {

/// An attempt is a straggler once it has run this many times as long as its token limit takes at the average rate.
constexpr double stragglerFactor = 1.5;
constexpr double microsecondsPerSecond = 1e6;

} // namespace

void WorkQueue::add(uint32_t key, Instant notBefore, Instant now)
{
    if (notBefore <= now)
        due_.insert(key);
    else
        delayed_.emplace(notBefore, key);
}

void WorkQueue::remove(uint32_t key, Instant notBefore)
{
    if (due_.erase(key) == 0)
        delayed_.erase({ notBefore, key });
}

std::optional<uint32_t> WorkQueue::front(Instant now)
{
    while (!delayed_.empty() && delayed_.begin()->first <= now) {
        due_.insert(delayed_.begin()->second);
        delayed_.erase(delayed_.begin());
    }
    return due_.empty() ? std::nullopt : std::optional(*due_.begin());
}

Instant WorkQueue::nextDeadline() const
{
    if (!due_.empty())
        return Instant::min();
    return delayed_.empty() ? never : delayed_.begin()->first;
}

StepState::StepState(StepRequest request)
    : request_(std::move(request))
    , digest_(request_.digest())
    , indexByRank_(request_.samples.size())
    , states_(request_.samples.size())
    , ready_(static_cast<uint32_t>(request_.samples.size()))
{
    std::iota(indexByRank_.begin(), indexByRank_.end(), 0U);
    std::stable_sort(indexByRank_.begin(), indexByRank_.end(),
        [this](uint32_t a, uint32_t b) { return request_.samples[a].maxTokens > request_.samples[b].maxTokens; });
    for (uint32_t rank = 0; rank < size(); ++rank) {
        states_[indexByRank_[rank]].rank = rank;
        pending_.add(rank, Instant::min(), Instant::min());
    }
}

Dispatch StepState::startAttempt(uint32_t index, Instant now)
{
    SampleState& state = states_[index];
    if (state.phase == Phase::Pending)
        pending_.remove(state.rank, state.notBefore);
    else
        running_.erase({ state.startedAt, index });
    state.phase = Phase::Running;
    state.startedAt = now;
    running_.emplace(now, index);
    state.runningAttempts.push_back(++state.attempts);
    return { request_.step, index, digest_, state.attempts, request_.samples[index] };
}

std::optional<Dispatch> StepState::next(Instant now)
{
    const auto rank = pending_.front(now);
    return rank ? std::optional(startAttempt(indexByRank_[*rank], now)) : std::nullopt;
}

std::optional<Dispatch> StepState::adopt(uint32_t index, Instant now)
{
    if (index >= size() || states_[index].phase != Phase::Pending)
        return std::nullopt;
    return startAttempt(index, now);
}

std::optional<Dispatch> StepState::nextDuplicate(Instant now, double tokensPerSecond)
{
    for (const auto& [startedAt, index] : running_) {
        const double expectedUs = request_.samples[index].maxTokens / tokensPerSecond * microsecondsPerSecond;
        if (static_cast<double>((now - startedAt).count()) < stragglerFactor * expectedUs)
            continue;
        if (states_[index].runningAttempts.size() == 1)
            return startAttempt(index, now);
    }
    return std::nullopt;
}

std::optional<Instant> StepState::store(Sample sample, bool needsScore, Instant now)
{
    SampleState& state = states_[sample.index];
    const uint32_t index = sample.index;
    const Instant startedAt = state.startedAt;
    if (state.phase == Phase::Pending)
        pending_.remove(state.rank, state.notBefore);
    else if (state.phase == Phase::Running)
        running_.erase({ state.startedAt, index });
    else
        return std::nullopt;
    state.runningAttempts.clear();
    state.scoringAttempts = 0;
    state.notBefore = Instant::min();
    state.sample = std::move(sample);
    state.phase = needsScore ? Phase::Unscored : Phase::Ready;
    if (needsScore)
        unscored_.add(index, Instant::min(), now);
    else
        ready_.insert(index);
    return startedAt;
}

void StepState::endAttempt(const Dispatch& dispatch, Instant retryAt, Instant now)
{
    SampleState& state = states_[dispatch.index];
    const size_t erased = std::erase(state.runningAttempts, dispatch.attempt);
    if (erased == 0 || !state.runningAttempts.empty() || state.phase != Phase::Running)
        return;
    running_.erase({ state.startedAt, dispatch.index });
    state.phase = Phase::Pending;
    state.notBefore = retryAt;
    pending_.add(state.rank, retryAt, now);
}

void StepState::onScore(uint32_t index, double score)
{
    SampleState& state = states_[index];
    if (state.phase != Phase::Scoring)
        return;
    state.sample->score = score;
    state.phase = Phase::Ready;
    ready_.insert(index);
}

void StepState::onScoringFailed(uint32_t index, Instant retryAt, Instant now)
{
    SampleState& state = states_[index];
    if (state.phase != Phase::Scoring)
        return;
    state.phase = Phase::Unscored;
    state.notBefore = retryAt;
    unscored_.add(index, retryAt, now);
}

void StepState::discard(uint32_t index, Instant now)
{
    SampleState& state = states_[index];
    ready_.erase(index);
    state.sample.reset();
    state.runningAttempts.clear();
    state.phase = Phase::Pending;
    state.notBefore = Instant::min();
    pending_.add(state.rank, state.notBefore, now);
}

Instant StepState::nextDeadline() const
{
    const Instant pending = isComplete_ ? never : pending_.nextDeadline();
    return std::min(pending, unscored_.nextDeadline());
}

} // namespace endiveroad
