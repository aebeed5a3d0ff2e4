#include "core/simulation/Agent.h"

namespace simulation {

namespace {

template <typename Map>
typename Map::iterator nth(Map& map, size_t pick)
{
    auto found = map.begin();
    std::advance(found, static_cast<std::ptrdiff_t>(pick % map.size()));
    return found;
}

} // namespace

void Agent::crash()
{
    ++incarnation_;
    for (auto& [id, task] : std::exchange(tasks_, {})) {
        for (const OnSample& waiter : task.waiters)
            waiter(std::nullopt);
    }
    engine.streams.clear();
    tracker_ = std::make_unique<VersionTracker>();
    cache_ = std::make_unique<SampleCache>(cacheBytes);
}

void Agent::markReceived(StepNumber step, uint64_t digest, const std::string& receivedBits)
{
    cache_->onReceived("job", step, digest, receivedBits);
}

std::vector<uint32_t> Agent::runningIndices(StepNumber step, uint64_t digest) const
{
    std::vector<uint32_t> result;
    for (const auto& [id, task] : tasks_) {
        if (task.order.dispatch.step == step && task.order.dispatch.stepDigest == digest)
            result.push_back(task.order.dispatch.index);
    }
    return result;
}

void Agent::generate(const GenerateOrder& order, OnSample onSample)
{
    const Dispatch& dispatch = order.dispatch;
    const Sample* cached = cache_->find("job", dispatch.step, dispatch.stepDigest, dispatch.index);
    if (cached && cached->oldestVersion() >= order.oldestUsable)
        return onSample(*cached);
    for (auto& [id, task] : tasks_) {
        const Dispatch& other = task.order.dispatch;
        if (other.step == dispatch.step && other.stepDigest == dispatch.stepDigest && other.index == dispatch.index) {
            task.waiters.push_back(std::move(onSample));
            return;
        }
    }
    Sample sample;
    sample.job = "job";
    sample.step = dispatch.step;
    sample.index = dispatch.index;
    sample.stepDigest = dispatch.stepDigest;
    sample.agent = name_;
    Task task { order, { std::move(onSample) }, SampleProgress(std::move(sample), dispatch.request.maxTokens) };
    tasks_.emplace(nextId_++, std::move(task));
}

void Agent::advanceTask(size_t pick)
{
    if (tasks_.empty())
        return;
    auto& [id, task] = *nth(tasks_, pick);
    if (task.phase == Phase::Reading)
        return read(id, task);
    if (task.phase == Phase::Confirming || tracker_->version() == unknownVersion)
        return;
    if (tracker_->version() < task.order.oldestUsable)
        return finishTask(id, std::nullopt);
    task.progress.discardForRestart(*tracker_, task.order.oldestUsable, task.order.objective);
    task.progress.openStream(*tracker_);
    task.stream = nextId_++;
    task.phase = Phase::Reading;
    engine.streams[task.stream] = { task.progress.tokensLeft(), "" };
}

void Agent::read(uint64_t id, Task& task)
{
    const auto found = engine.streams.find(task.stream);
    if (found == engine.streams.end())
        return confirmTokens(id, task);
    Engine::Stream& stream = found->second;
    for (; !stream.unread.empty(); stream.unread.erase(0, 1)) {
        const WeightVersion stated = statesVersion_ ? stream.unread[0] - '0' : unknownVersion;
        if (!task.progress.onTokens(stream.unread.substr(0, 1), 1, stated, *tracker_))
            return confirmTokens(id, task);
    }
    if (stream.tokensLeft > 0)
        return;
    task.progress.onEnd("stop");
    confirmTokens(id, task);
}

void Agent::confirmTokens(uint64_t id, Task& task)
{
    engine.streams.erase(task.stream);
    task.phase = Phase::Confirming;
    const uint64_t statusRequest = nextId_++;
    task.statusRequest = statusRequest;
    requestStatus([this, id, statusRequest](bool isAnswered) {
        const auto found = tasks_.find(id);
        if (found != tasks_.end() && found->second.statusRequest == statusRequest)
            finishStream(id, isAnswered && found->second.progress.isInEpoch(*tracker_));
    });
}

void Agent::finishStream(uint64_t id, bool isProven)
{
    Task& task = tasks_.at(id);
    task.statusRequest = 0;
    task.phase = Phase::Waiting;
    task.progress.closeStream(isProven);
    if (task.progress.isFinished())
        finishTask(id, task.progress.sample());
}

void Agent::finishTask(uint64_t id, std::optional<Sample> sample)
{
    const Task task = std::move(tasks_.extract(id).mapped());
    if (sample)
        cache_->add(*sample);
    for (const OnSample& waiter : task.waiters)
        waiter(sample);
}

void Agent::requestStatus(std::function<void(bool)> onAnswer)
{
    const uint64_t incarnation = incarnation_;
    const auto lost = [this, incarnation, onAnswer] {
        if (incarnation != incarnation_)
            return;
        tracker_->onEngineLost();
        onAnswer(false);
    };
    network_.send(
        [this, incarnation, onAnswer, lost] {
            const auto status = engine.status();
            const auto answered = [this, incarnation, onAnswer, status] {
                if (incarnation != incarnation_)
                    return;
                tracker_->onStatus(status);
                onAnswer(true);
            };
            network_.send(answered, lost);
        },
        lost);
}

void Agent::refreshStatus()
{
    if (!tracker_->isSwapping())
        requestStatus([](bool) {});
}

void Agent::load(const PolicyState& policy)
{
    if (!tracker_->beginSwap(policy.version, policy.order))
        return;
    const uint64_t swap = ++swap_;
    const uint64_t statusRequest = nextId_++;
    for (auto& [id, task] : tasks_) {
        if (task.phase != Phase::Reading)
            continue;
        engine.streams.erase(task.stream);
        task.phase = Phase::Confirming;
        task.statusRequest = statusRequest;
    }
    requestStatus([this, policy, swap, statusRequest](bool isAnswered) {
        if (swap != swap_ || !tracker_->isSwapping())
            return;
        std::vector<uint64_t> waiting;
        for (const auto& [id, task] : tasks_) {
            if (task.statusRequest == statusRequest)
                waiting.push_back(id);
        }
        for (uint64_t id : waiting)
            finishStream(id, isAnswered && tasks_.at(id).progress.isInEpoch(*tracker_));
        sendLoadOrder(policy);
    });
}

void Agent::sendLoadOrder(const PolicyState& policy)
{
    const LoadOrder order { policy.version, tracker_->startLoad() };
    const uint64_t incarnation = incarnation_;
    const uint64_t swap = ++swap_;
    const auto ended = [this, incarnation, swap] {
        if (incarnation == incarnation_)
            onLoadEnded(swap);
    };
    network_.send(
        [this, order, ended] {
            engine.beginLoad(order);
            network_.send(ended, ended);
        },
        ended);
}

void Agent::onLoadEnded(uint64_t swap)
{
    if (swap != swap_ || !tracker_->isSwapping())
        return;
    tracker_->finishSwap();
    refreshStatus();
}

void Agent::generateToken(size_t pick)
{
    if (!engine.streams.empty())
        engine.makeToken(nth(engine.streams, pick)->second);
}

void Agent::restartEngine(WeightVersion version)
{
    engine.restart(version);
}

} // namespace simulation
