#include "RolloutModel.h"

#include <algorithm>
#include <cmath>

namespace rollout_benchmark {

namespace {

constexpr Duration weightInterval = std::chrono::minutes(2);
constexpr Duration swapTime = std::chrono::seconds(4);
constexpr Duration trainTime = std::chrono::seconds(60);
constexpr Duration crashAt = std::chrono::seconds(100);
constexpr Duration downTime = std::chrono::seconds(90);
constexpr Duration planRound = std::chrono::milliseconds(500);
constexpr double swapShare = 0.34;
constexpr double lengthSpread = 0.9;
constexpr uint32_t none = UINT32_MAX;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration toDuration(double value)
{
    return Duration(static_cast<int64_t>(std::ceil(value * 1e6)));
}

} // namespace

Model::Model(const Scenario& scenario)
    : scenario_(scenario)
    , random_(scenario.seed)
    , replicas_(scenario.replicas)
    , trainers_(scenario.trainers)
{
    JobDeclaration job;
    job.name = "job";
    job.rollout.stalenessBound = scenario.isNaive ? INT32_MAX : scenario.stalenessBound;
    job.rollout.idleWeight = scenario.idleWeight;
    job.rollout.wholeGroups = true;
    for (Trainer& trainer : trainers_) {
        trainer.coordinator = std::make_unique<JobCoordinator>(job);
        makeSteps(trainer);
    }
}

void Model::makeSteps(Trainer& trainer)
{
    std::lognormal_distribution<double> length(std::log(meanTokens) - lengthSpread * lengthSpread / 2, lengthSpread);
    for (uint32_t number = 1; number <= steps; ++number) {
        StepRequest step { number, samplesPerGroup, {} };
        std::vector<uint32_t> lengths;
        for (uint32_t index = 0; index < samplesPerStep / scenario_.trainers; ++index) {
            lengths.push_back(std::clamp(static_cast<uint32_t>(length(random_)), 1U, maxTokens));
            step.samples.push_back({ "p", scenario_.areLengthsKnown ? lengths.back() : maxTokens });
        }
        trainer.requests.push_back(std::move(step));
        trainer.lengths.push_back(std::move(lengths));
    }
}

void Model::schedule(Duration after, std::function<void()> action)
{
    events_.push({ now_ + after, nextOrder_++, std::move(action) });
}

uint32_t Model::length(const Attempt& attempt) const
{
    return trainers_[attempt.trainer].lengths[attempt.dispatch.step - 1][attempt.dispatch.index];
}

void Model::submit(Trainer& trainer)
{
    const uint32_t ahead = scenario_.isNaive ? 1 : openSteps;
    while (trainer.submitted < std::min(steps, trainer.trained + ahead)) {
        trainer.coordinator->submit(trainer.requests[trainer.submitted], now_);
        ++trainer.submitted;
    }
}

void Model::announce()
{
    ++version_;
    plan_.announce({ { version_, version_ }, "" });
    for (Trainer& trainer : trainers_)
        trainer.coordinator->onPolicy({ version_, version_ });
    schedule(weightInterval, [this] { announce(); });
}

void Model::giveOrders()
{
    std::vector<ReplicaReport> reports;
    for (uint32_t i = 0; i < replicas_.size(); ++i) {
        ReplicaReport report;
        report.agent = std::to_string(1000 + i);
        report.version = replicas_[i].version;
        report.isServerUp = replicas_[i].isUp;
        report.isSwapping = replicas_[i].isSwapping;
        reports.push_back(report);
    }
    for (const std::string& agent : plan_.agentsToSwap(reports, scenario_.isNaive ? 1 : swapShare, now_))
        swap(static_cast<uint32_t>(std::stoul(agent) - 1000));
    dispatch();
    schedule(planRound, [this] { giveOrders(); });
}

void Model::pause(Attempt& attempt) const
{
    attempt.tokensDone += seconds(now_ - attempt.resumedAt) * tokensPerSecond;
}

void Model::swap(uint32_t index)
{
    Replica& replica = replicas_[index];
    replica.isSwapping = true;
    for (auto& [id, attempt] : replica.attempts) {
        pause(attempt);
        attempt.resumedAt = now_ + std::chrono::hours(1000);
    }
    schedule(swapTime, [this, index, version = version_] { endSwap(index, version, true); });
}

void Model::endSwap(uint32_t index, WeightVersion version, bool isCounted)
{
    Replica& replica = replicas_[index];
    replica.isSwapping = false;
    replica.version = version;
    if (isCounted)
        plan_.onLoadOrderEnded(std::to_string(1000 + index), true, now_);
    for (auto& [id, attempt] : replica.attempts) {
        const JobCoordinator& coordinator = *trainers_[attempt.trainer].coordinator;
        const uint32_t longest = attempt.dispatch.request.maxTokens;
        const bool isTooOld = attempt.oldest < coordinator.oldestUsableVersion();
        const bool isPreferred = !attempt.hasRestarted
            && coordinator.objective().prefersRestart(
                attempt.oldest, version, static_cast<uint32_t>(attempt.tokensDone), longest);
        if (scenario_.isNaive || isTooOld || isPreferred) {
            attempt.hasRestarted = true;
            wastedTokens_ += attempt.tokensDone;
            attempt.tokensDone = 0;
            attempt.oldest = version;
        }
        resume(index, attempt);
    }
    dispatch();
}

void Model::crash(uint32_t index)
{
    Replica& replica = replicas_[index];
    for (auto& [id, attempt] : replica.attempts) {
        if (!replica.isSwapping)
            pause(attempt);
        wastedTokens_ += attempt.tokensDone;
        if (scenario_.isNaive)
            replica.queue.emplace(replica.queue.begin(), attempt.trainer, attempt.dispatch);
        else
            trainers_[attempt.trainer].coordinator->onAttemptFailed(attempt.dispatch, now_, now_);
    }
    replica.attempts.clear();
    replica.isUp = false;
    schedule(downTime, [this, index] {
        replicas_[index].isUp = true;
        replicas_[index].version = 0;
        dispatch();
    });
    dispatch();
}

void Model::resume(uint32_t index, Attempt& attempt)
{
    attempt.resumedAt = now_;
    const double left = std::max(length(attempt) - attempt.tokensDone, 0.0);
    schedule(toDuration(left / tokensPerSecond),
        [this, index, id = attempt.id, resumedAt = now_] { finish(index, id, resumedAt); });
}

void Model::start(uint32_t index, uint32_t trainer, const Dispatch& dispatch)
{
    Replica& replica = replicas_[index];
    const uint64_t id = nextAttempt_++;
    Attempt attempt { trainer, dispatch, 0, now_, replica.version, id };
    resume(index, replica.attempts.emplace(id, std::move(attempt)).first->second);
}

uint32_t Model::freestReplica(WeightVersion atLeast) const
{
    uint32_t best = none;
    for (uint32_t i = 0; i < replicas_.size(); ++i) {
        const Replica& replica = replicas_[i];
        if (!replica.isUp || replica.isSwapping || replica.version < atLeast)
            continue;
        if (replica.attempts.size() >= scenario_.slots)
            continue;
        if (best == none || replica.attempts.size() < replicas_[best].attempts.size())
            best = i;
    }
    return best;
}

void Model::dealOut(uint32_t index)
{
    Trainer& trainer = trainers_[index];
    while (const auto dispatch = trainer.coordinator->next(now_))
        replicas_[nextDealt_++ % replicas_.size()].queue.emplace_back(index, *dispatch);
}

void Model::dispatch()
{
    if (!scenario_.isNaive)
        return dispatchAdaptive();
    for (uint32_t i = 0; i < trainers_.size(); ++i)
        dealOut(i);
    for (uint32_t i = 0; i < replicas_.size(); ++i) {
        Replica& replica = replicas_[i];
        while (replica.isUp && !replica.isSwapping && replica.attempts.size() < scenario_.slots
            && !replica.queue.empty()) {
            const auto [trainer, dispatch] = replica.queue.front();
            replica.queue.erase(replica.queue.begin());
            start(i, trainer, dispatch);
        }
    }
}

void Model::dispatchAdaptive()
{
    std::vector<uint32_t> running(trainers_.size());
    for (const Replica& replica : replicas_) {
        for (const auto& [id, attempt] : replica.attempts)
            ++running[attempt.trainer];
    }
    std::vector<bool> hasWork(trainers_.size(), true);
    while (true) {
        uint32_t chosen = none;
        for (uint32_t i = 0; i < trainers_.size(); ++i) {
            if (hasWork[i] && (chosen == none || running[i] < running[chosen]))
                chosen = i;
        }
        if (chosen == none)
            return;
        JobCoordinator& coordinator = *trainers_[chosen].coordinator;
        const uint32_t replica = freestReplica(coordinator.oldestVersionToStart());
        const auto dispatch = replica == none ? std::nullopt : coordinator.next(now_);
        hasWork[chosen] = dispatch.has_value();
        if (!dispatch)
            continue;
        ++running[chosen];
        start(replica, chosen, *dispatch);
    }
}

void Model::finish(uint32_t index, uint64_t id, Instant resumedAt)
{
    Replica& replica = replicas_[index];
    const auto found = replica.attempts.find(id);
    if (found == replica.attempts.end() || found->second.resumedAt != resumedAt)
        return;
    const Attempt attempt = std::move(found->second);
    replica.attempts.erase(found);
    Sample sample;
    sample.job = "job";
    sample.step = attempt.dispatch.step;
    sample.index = attempt.dispatch.index;
    sample.stepDigest = attempt.dispatch.stepDigest;
    sample.tokens = length(attempt);
    sample.segments = { { 0, sample.tokens, attempt.oldest } };
    JobCoordinator& coordinator = *trainers_[attempt.trainer].coordinator;
    if (!coordinator.onSample(std::move(sample), now_)) {
        wastedTokens_ += length(attempt);
        coordinator.onAttemptFailed(attempt.dispatch, now_, now_);
    }
    fetch(attempt.trainer);
    dispatch();
}

void Model::fetch(uint32_t index)
{
    Trainer& trainer = trainers_[index];
    const StepNumber step = trainer.trained + 1;
    const uint32_t size = samplesPerStep / scenario_.trainers;
    if (scenario_.isNaive) {
        const auto progress = trainer.coordinator->progress();
        if (progress.empty() || progress.back().finished < size)
            return;
    }
    const FetchResult result = trainer.coordinator->fetch(trainer.cursor, { version_, version_ }, size, now_);
    trainer.cursor = result.next;
    for (const Sample& sample : result.samples) {
        const double staleness = static_cast<double>(std::max<int64_t>(version_ - sample.oldestVersion(), 0));
        ++delivered_;
        stalenessSum_ += staleness;
        worstStaleness_ = std::max(worstStaleness_, staleness);
        totalTokens_ += sample.tokens;
    }
    if (!trainer.isTraining && trainer.cursor.isComplete(step) && trainer.trained < steps)
        train(index);
}

void Model::train(uint32_t index)
{
    Trainer& trainer = trainers_[index];
    trainer.isTraining = true;
    trainer.idle += now_ - trainer.idleSince;
    schedule(trainTime, [this, index] {
        Trainer& trainer = trainers_[index];
        trainer.isTraining = false;
        trainer.idleSince = now_;
        ++trainer.trained;
        if (trainer.trained == steps)
            trainer.doneAt = now_;
        submit(trainer);
        fetch(index);
        dispatch();
    });
}

bool Model::isDone() const
{
    return std::all_of(
        trainers_.begin(), trainers_.end(), [](const Trainer& trainer) { return trainer.trained == steps; });
}

Outcome Model::run()
{
    for (Trainer& trainer : trainers_)
        submit(trainer);
    schedule(weightInterval, [this] { announce(); });
    schedule({}, [this] { giveOrders(); });
    for (uint32_t i = 0; i < scenario_.crashed; ++i)
        schedule(crashAt + i * weightInterval, [this, i] { crash(i * 2); });
    while (!isDone()) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        event.action();
    }
    Outcome outcome;
    const double rate = tokensPerSecond * scenario_.replicas * scenario_.slots;
    const double bound = totalTokens_ / rate + seconds(trainTime);
    outcome.timeOverBound = seconds(now_ - Instant {}) / bound;
    for (const Trainer& trainer : trainers_)
        outcome.idleShare += seconds(trainer.idle) / seconds(trainer.doneAt - Instant {}) / scenario_.trainers;
    outcome.meanStaleness = stalenessSum_ / static_cast<double>(delivered_);
    outcome.worstStaleness = worstStaleness_;
    outcome.wastedShare = wastedTokens_ / (wastedTokens_ + totalTokens_);
    return outcome;
}

} // namespace rollout_benchmark
