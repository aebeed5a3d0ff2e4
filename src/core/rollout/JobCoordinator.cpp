#include <endiveroad/JobCoordinator.h>

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <numeric>

namespace endiveroad {

JobCoordinator::JobCoordinator(JobDeclaration declaration)
    : declaration_(std::move(declaration))
{
}

bool JobCoordinator::submit(StepRequest request, Instant)
{
    const uint64_t digest = request.digest();
    const auto found = steps_.find(request.step);
    if (found != steps_.end()) {
        if (found->second.digest != digest)
            throw StepConflictError(fmt::format("step {} was submitted with other content", request.step));
        return false;
    }
    Step step;
    step.digest = digest;
    step.slots.resize(request.samples.size());
    step.longestFirst.resize(request.samples.size());
    std::iota(step.longestFirst.begin(), step.longestFirst.end(), 0U);
    std::stable_sort(step.longestFirst.begin(), step.longestFirst.end(),
        [&](uint32_t a, uint32_t b) { return request.samples[a].maxTokens > request.samples[b].maxTokens; });
    const StepNumber number = request.step;
    step.request = std::move(request);
    steps_.emplace(number, std::move(step));
    return true;
}

void JobCoordinator::onPolicyVersion(WeightVersion version)
{
    policyVersion_ = std::max(policyVersion_, version);
}

WeightVersion JobCoordinator::oldestUsableVersion() const
{
    return std::max<WeightVersion>(policyVersion_ - declaration_.rollout.stalenessBound, 0);
}

bool JobCoordinator::isStale(const Sample& sample, WeightVersion trainerVersion) const
{
    return sample.oldestVersion() < trainerVersion - declaration_.rollout.stalenessBound;
}

JobCoordinator::Slot* JobCoordinator::slot(StepNumber step, uint32_t index)
{
    const auto found = steps_.find(step);
    if (found == steps_.end() || index >= found->second.slots.size())
        return nullptr;
    return &found->second.slots[index];
}

std::optional<Dispatch> JobCoordinator::next(Instant now)
{
    for (auto& [number, step] : steps_) {
        if (step.isComplete)
            continue;
        for (uint32_t index : step.longestFirst) {
            Slot& slot = step.slots[index];
            if (slot.state != State::Wanted || slot.notBefore > now)
                continue;
            slot.state = State::Running;
            ++slot.attempt;
            return Dispatch { number, index, step.digest, slot.attempt, step.request.samples[index] };
        }
    }
    return std::nullopt;
}

bool JobCoordinator::onSample(Sample sample)
{
    Slot* target = slot(sample.step, sample.index);
    if (!target || target->sample || steps_.at(sample.step).digest != sample.stepDigest)
        return false;
    if (!sample.isAttributed() || isStale(sample, policyVersion_)) {
        target->state = State::Wanted;
        return false;
    }
    target->state = declaration_.scoringPool ? State::Unscored : State::Ready;
    target->notBefore = Instant::min();
    target->sample = std::move(sample);
    return true;
}

void JobCoordinator::onFailed(const Dispatch& dispatch, Instant retryAt)
{
    Slot* target = slot(dispatch.step, dispatch.index);
    if (!target || target->state != State::Running || target->attempt != dispatch.attempt)
        return;
    target->state = State::Wanted;
    target->notBefore = retryAt;
}

std::vector<ScoringItem> JobCoordinator::nextScoring(size_t max, Instant now)
{
    std::vector<ScoringItem> items;
    for (auto& [number, step] : steps_) {
        for (uint32_t index = 0; index < step.slots.size() && items.size() < max; ++index) {
            Slot& slot = step.slots[index];
            if (slot.state != State::Unscored || slot.notBefore > now)
                continue;
            slot.state = State::Scoring;
            items.push_back({ number, index, step.request.samples[index].prompt, slot.sample->text });
        }
    }
    return items;
}

void JobCoordinator::onScore(StepNumber step, uint32_t index, double score)
{
    Slot* target = slot(step, index);
    if (!target || target->state != State::Scoring)
        return;
    target->sample->score = score;
    target->state = State::Ready;
}

void JobCoordinator::onScoringFailed(StepNumber step, uint32_t index, Instant retryAt)
{
    Slot* target = slot(step, index);
    if (!target || target->state != State::Scoring)
        return;
    target->state = State::Unscored;
    target->notBefore = retryAt;
}

FetchResult JobCoordinator::fetch(const Cursor& cursor, WeightVersion trainerVersion, size_t max)
{
    onPolicyVersion(trainerVersion);
    FetchResult result { {}, cursor, {} };
    for (auto& [number, step] : steps_) {
        const auto size = static_cast<uint32_t>(step.slots.size());
        step.isComplete = cursor.isComplete(number);
        for (uint32_t index = 0; index < size && result.samples.size() < max; ++index) {
            Slot& slot = step.slots[index];
            if (slot.state != State::Ready || cursor.contains(number, index))
                continue;
            if (isStale(*slot.sample, trainerVersion)) {
                slot.state = State::Wanted;
                slot.sample.reset();
                continue;
            }
            result.next.receive(number, step.digest, size, index);
            result.samples.push_back(*slot.sample);
        }
    }
    result.steps = progress();
    for (StepProgress& step : result.steps)
        step.received
            = result.next.isComplete(step.step) ? step.wanted : result.next.received(step.step, step.wanted).count();
    dropOldCompleteSteps();
    return result;
}

void JobCoordinator::dropOldCompleteSteps()
{
    const auto isComplete = [](const auto& entry) { return entry.second.isComplete; };
    while (static_cast<size_t>(std::count_if(steps_.begin(), steps_.end(), isComplete)) > retainedCompleteSteps)
        steps_.erase(std::find_if(steps_.begin(), steps_.end(), isComplete));
}

Instant JobCoordinator::nextDeadline() const
{
    Instant earliest = never;
    for (const auto& [number, step] : steps_) {
        for (const Slot& slot : step.slots) {
            if (slot.state == State::Wanted || slot.state == State::Unscored)
                earliest = std::min(earliest, slot.notBefore);
        }
    }
    return earliest;
}

std::vector<StepProgress> JobCoordinator::progress() const
{
    std::vector<StepProgress> result;
    for (const auto& [number, step] : steps_) {
        const auto finished = std::count_if(
            step.slots.begin(), step.slots.end(), [](const Slot& slot) { return slot.state == State::Ready; });
        result.push_back({ number, static_cast<uint32_t>(step.slots.size()), static_cast<uint32_t>(finished), 0 });
    }
    return result;
}

std::vector<std::pair<StepNumber, uint64_t>> JobCoordinator::steps() const
{
    std::vector<std::pair<StepNumber, uint64_t>> result;
    for (const auto& [number, step] : steps_)
        result.emplace_back(number, step.digest);
    return result;
}

} // namespace endiveroad
