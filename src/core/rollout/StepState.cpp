#include "core/rollout/StepState.h"

#include <algorithm>
#include <numeric>

namespace endiveroad {

namespace {

/// An attempt is a straggler once it has run this many times as long as its token limit takes at the average rate.
constexpr double lateFactor = 1.5;
constexpr double microsecondsPerSecond = 1e6;

} // namespace

void WorkQueue::add(uint32_t rank, Instant notBefore, Instant now)
{
    if (notBefore <= now)
        due_.insert(rank);
    else
        delayed_.emplace(notBefore, rank);
}

void WorkQueue::remove(uint32_t rank, Instant notBefore)
{
    if (due_.erase(rank) == 0)
        delayed_.erase({ notBefore, rank });
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
    , byRank_(request_.samples.size())
    , slots_(request_.samples.size())
    , ready_(static_cast<uint32_t>(request_.samples.size()))
{
    std::iota(byRank_.begin(), byRank_.end(), 0U);
    std::stable_sort(byRank_.begin(), byRank_.end(),
        [this](uint32_t a, uint32_t b) { return request_.samples[a].maxTokens > request_.samples[b].maxTokens; });
    for (uint32_t rank = 0; rank < size(); ++rank) {
        slots_[byRank_[rank]].rank = rank;
        wanted_.add(rank, Instant::min(), Instant::min());
    }
}

Dispatch StepState::start(uint32_t index, Instant now)
{
    Slot& slot = slots_[index];
    if (slot.state == State::Wanted)
        wanted_.remove(slot.rank, slot.notBefore);
    else
        running_.erase({ slot.startedAt, index });
    slot.state = State::Running;
    slot.startedAt = now;
    running_.emplace(now, index);
    slot.runningAttempts.push_back(++slot.attempts);
    return { request_.step, index, digest_, slot.attempts, request_.samples[index] };
}

std::optional<Dispatch> StepState::next(Instant now)
{
    const auto rank = wanted_.front(now);
    return rank ? std::optional(start(byRank_[*rank], now)) : std::nullopt;
}

std::optional<Dispatch> StepState::adopt(uint32_t index, Instant now)
{
    if (index >= size() || slots_[index].state != State::Wanted)
        return std::nullopt;
    return start(index, now);
}

std::optional<Dispatch> StepState::nextDuplicate(Instant now, double tokensPerSecond)
{
    for (const auto& [startedAt, index] : running_) {
        const double expectedUs = request_.samples[index].maxTokens / tokensPerSecond * microsecondsPerSecond;
        if (static_cast<double>((now - startedAt).count()) < lateFactor * expectedUs)
            continue;
        if (slots_[index].runningAttempts.size() == 1)
            return start(index, now);
    }
    return std::nullopt;
}

std::optional<Instant> StepState::keep(Sample sample, bool needsScore, Instant now)
{
    Slot& slot = slots_[sample.index];
    const uint32_t index = sample.index;
    const Instant startedAt = slot.startedAt;
    if (slot.state == State::Wanted)
        wanted_.remove(slot.rank, slot.notBefore);
    else if (slot.state == State::Running)
        running_.erase({ slot.startedAt, index });
    else
        return std::nullopt;
    slot.runningAttempts.clear();
    slot.scoringAttempts = 0;
    slot.notBefore = Instant::min();
    slot.sample = std::move(sample);
    slot.state = needsScore ? State::Unscored : State::Ready;
    if (needsScore)
        unscored_.add(index, Instant::min(), now);
    else
        ready_.insert(index);
    return startedAt;
}

void StepState::endAttempt(const Dispatch& dispatch, Instant retryAt, Instant now)
{
    Slot& slot = slots_[dispatch.index];
    const size_t erased = std::erase(slot.runningAttempts, dispatch.attempt);
    if (erased == 0 || !slot.runningAttempts.empty() || slot.state != State::Running)
        return;
    running_.erase({ slot.startedAt, dispatch.index });
    slot.state = State::Wanted;
    slot.notBefore = retryAt;
    wanted_.add(slot.rank, retryAt, now);
}

void StepState::onScore(uint32_t index, double score)
{
    Slot& slot = slots_[index];
    if (slot.state != State::Scoring)
        return;
    slot.sample->score = score;
    slot.state = State::Ready;
    ready_.insert(index);
}

void StepState::onScoringFailed(uint32_t index, Instant retryAt, Instant now)
{
    Slot& slot = slots_[index];
    if (slot.state != State::Scoring)
        return;
    slot.state = State::Unscored;
    slot.notBefore = retryAt;
    unscored_.add(index, retryAt, now);
}

void StepState::discard(uint32_t index, Instant now)
{
    Slot& slot = slots_[index];
    ready_.erase(index);
    slot.sample.reset();
    slot.runningAttempts.clear();
    slot.state = State::Wanted;
    slot.notBefore = Instant::min();
    wanted_.add(slot.rank, slot.notBefore, now);
}

Instant StepState::nextDeadline() const
{
    const Instant wanted = isComplete_ ? never : wanted_.nextDeadline();
    return std::min(wanted, unscored_.nextDeadline());
}

} // namespace endiveroad
