#include "core/rollout/StepState.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad/JobCoordinator.h>
#include <fmt/format.h>

namespace endiveroad {

namespace {

/// Weight of the newest sample in the exponential moving average of the generation rate.
constexpr double rateSmoothing = 0.1;

} // namespace

JobCoordinator::JobCoordinator(JobDeclaration declaration)
    : declaration_(std::move(declaration))
{
}

JobCoordinator::JobCoordinator(JobCoordinator&&) noexcept = default;
JobCoordinator& JobCoordinator::operator=(JobCoordinator&&) noexcept = default;
JobCoordinator::~JobCoordinator() = default;

bool JobCoordinator::submit(StepRequest request, Instant)
{
    const StepNumber number = request.step;
    auto step = std::make_unique<StepState>(std::move(request));
    const auto [found, isNew] = steps_.try_emplace(number);
    if (isNew)
        found->second = std::move(step);
    else if (found->second->digest() != step->digest())
        throw StepConflictError(fmt::format("step {} was already submitted with different content", number));
    return isNew;
}

void JobCoordinator::onPolicy(const PolicyState& policy)
{
    if (policy.order > policy_.order)
        policy_ = policy;
}

RolloutObjective JobCoordinator::objective() const
{
    return { declaration_.rollout.stalenessBound, declaration_.rollout.idleWeight };
}

WeightVersion JobCoordinator::oldestUsableVersion() const
{
    return std::max<WeightVersion>(policy_.version - declaration_.rollout.stalenessBound, 0);
}

bool JobCoordinator::isStale(const Sample& sample, WeightVersion trainerVersion) const
{
    return sample.oldestVersion() < trainerVersion - declaration_.rollout.stalenessBound;
}

StepState* JobCoordinator::find(StepNumber step, uint32_t index) const
{
    const auto found = steps_.find(step);
    if (found == steps_.end() || index >= found->second->size())
        return nullptr;
    return found->second.get();
}

std::optional<Dispatch> JobCoordinator::next(Instant now)
{
    for (auto& [number, step] : steps_) {
        if (step->isComplete())
            continue;
        if (auto dispatch = step->next(now))
            return dispatch;
    }
    return std::nullopt;
}

std::optional<Dispatch> JobCoordinator::nextDuplicate(Instant now)
{
    if (tokensPerSecond_ <= 0)
        return std::nullopt;
    for (auto& [number, step] : steps_) {
        if (auto dispatch = step->nextDuplicate(now, tokensPerSecond_))
            return dispatch;
    }
    return std::nullopt;
}

std::optional<Dispatch> JobCoordinator::adopt(StepNumber number, uint32_t index, Instant now)
{
    StepState* step = find(number, index);
    return step ? step->adopt(index, now) : std::nullopt;
}

bool JobCoordinator::onSample(Sample sample, Instant now)
{
    StepState* step = find(sample.step, sample.index);
    if (!step || step->digest() != sample.stepDigest)
        return false;
    if (!sample.isAttributed() || isStale(sample, policy_.version))
        return false;
    const uint32_t tokens = sample.tokens;
    const auto startedAt = step->store(std::move(sample), declaration_.scoringPool.has_value(), now);
    if (!startedAt)
        return false;
    if (*startedAt == Instant::min() || now <= *startedAt)
        return true;
    const double rate = tokens / std::chrono::duration<double>(now - *startedAt).count();
    tokensPerSecond_ = tokensPerSecond_ > 0 ? tokensPerSecond_ + rateSmoothing * (rate - tokensPerSecond_) : rate;
    return true;
}

void JobCoordinator::onAttemptFailed(const Dispatch& dispatch, Instant retryAt, Instant now)
{
    StepState* step = find(dispatch.step, dispatch.index);
    if (step && step->digest() == dispatch.stepDigest)
        step->endAttempt(dispatch, retryAt, now);
}

std::vector<ScoringItem> JobCoordinator::nextScoring(size_t max, Instant now)
{
    std::vector<ScoringItem> items;
    for (auto& [number, step] : steps_)
        step->nextScoring(
            max, now, [this](const Sample& sample) { return isStale(sample, policy_.version); }, items);
    return items;
}

void JobCoordinator::onScore(StepNumber number, uint32_t index, double score)
{
    if (StepState* step = find(number, index))
        step->onScore(index, score);
}

void JobCoordinator::onScoringFailed(StepNumber number, uint32_t index, Instant retryAt, Instant now)
{
    if (StepState* step = find(number, index))
        step->onScoringFailed(index, retryAt, now);
}

FetchResult JobCoordinator::fetch(const Cursor& cursor, const PolicyState& policy, size_t max, Instant now)
{
    onPolicy(policy);
    FetchResult result { {}, cursor, {} };
    for (auto& [number, step] : steps_) {
        step->setComplete(cursor.isComplete(number));
        if (!step->isComplete() && step->readyCount() > 0)
            collectReadySamples(*step, cursor, policy.version, max, now, result);
    }
    result.steps = progress();
    for (StepProgress& step : result.steps)
        step.received
            = result.next.isComplete(step.step) ? step.wanted : result.next.received(step.step, step.wanted).count();
    dropOldCompleteSteps();
    return result;
}

void JobCoordinator::collectReadySamples(
    StepState& step, const Cursor& cursor, WeightVersion trainerVersion, size_t max, Instant now, FetchResult& result)
{
    const StepNumber number = step.request().step;
    const uint32_t unit = declaration_.rollout.wholeGroups ? step.request().samplesPerGroup : 1;
    for (uint32_t first = 0; first < step.size() && result.samples.size() < max; first += unit) {
        const uint32_t end = std::min(first + unit, step.size());
        if (!isGroupReady(step, cursor, first, end, trainerVersion, now))
            continue;
        for (uint32_t index = first; index < end; ++index) {
            if (cursor.contains(number, index))
                continue;
            result.next.receive(number, step.digest(), step.size(), index);
            result.samples.push_back(step.sample(index));
        }
    }
}

bool JobCoordinator::isGroupReady(StepState& step, const Cursor& cursor, uint32_t first, uint32_t end,
    WeightVersion trainerVersion, Instant now) const
{
    bool isReady = true;
    for (uint32_t index = first; index < end; ++index) {
        if (cursor.contains(step.request().step, index))
            continue;
        if (step.isReady(index) && isStale(step.sample(index), trainerVersion))
            step.discard(index, now);
        isReady = isReady && step.isReady(index);
    }
    return isReady;
}

void JobCoordinator::dropOldCompleteSteps()
{
    const auto isComplete = [](const auto& entry) { return entry.second->isComplete(); };
    while (static_cast<size_t>(std::count_if(steps_.begin(), steps_.end(), isComplete)) > retainedCompleteSteps)
        steps_.erase(std::find_if(steps_.begin(), steps_.end(), isComplete));
}

Instant JobCoordinator::nextDeadline() const
{
    Instant earliest = never;
    for (const auto& [number, step] : steps_)
        earliest = std::min(earliest, step->nextDeadline());
    return earliest;
}

std::vector<StepProgress> JobCoordinator::progress() const
{
    std::vector<StepProgress> result;
    for (const auto& [number, step] : steps_)
        result.push_back({ number, step->size(), step->readyCount(), 0 });
    return result;
}

std::vector<std::pair<StepNumber, uint64_t>> JobCoordinator::steps() const
{
    std::vector<std::pair<StepNumber, uint64_t>> result;
    for (const auto& [number, step] : steps_)
        result.emplace_back(number, step->digest());
    return result;
}

} // namespace endiveroad
