#include "core/world/Agent.h"

namespace world {

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
    hold_ = std::make_unique<SampleCache>(heldBytes);
}

void Agent::release(StepNumber step, uint64_t digest, const std::string& receivedBits)
{
    hold_->onReceived("job", step, digest, receivedBits);
}

std::vector<uint32_t> Agent::running(StepNumber step, uint64_t digest) const
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
    const Sample* held = hold_->find("job", dispatch.step, dispatch.stepDigest, dispatch.index);
    if (held && held->oldestVersion() >= order.oldestUsable)
        return onSample(*held);
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

void Agent::advance(size_t pick)
{
    if (tasks_.empty())
        return;
    auto& [id, task] = *nth(tasks_, pick);
    if (task.phase == Phase::Reading)
        return read(id, task);
    if (task.phase == Phase::Proving || tracker_->version() == unknownVersion)
        return;
    if (tracker_->version() < task.order.oldestUsable)
        return end(id, std::nullopt);
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
        return prove(id, task);
    Engine::Stream& stream = found->second;
    for (; !stream.unread.empty(); stream.unread.erase(0, 1)) {
        const WeightVersion stated = statesVersion_ ? stream.unread[0] - '0' : unknownVersion;
        if (!task.progress.onTokens(stream.unread.substr(0, 1), 1, stated, *tracker_))
            return prove(id, task);
    }
    if (stream.left > 0)
        return;
    task.progress.onEnd("stop");
    prove(id, task);
}

void Agent::prove(uint64_t id, Task& task)
{
    engine.streams.erase(task.stream);
    task.phase = Phase::Proving;
    const uint64_t proof = nextId_++;
    task.proof = proof;
    askStatus([this, id, proof](bool isAnswered) {
        const auto found = tasks_.find(id);
        if (found != tasks_.end() && found->second.proof == proof)
            settle(id, isAnswered && found->second.progress.isInEpoch(*tracker_));
    });
}

void Agent::settle(uint64_t id, bool isProven)
{
    Task& task = tasks_.at(id);
    task.proof = 0;
    task.phase = Phase::Waiting;
    task.progress.closeStream(isProven);
    if (task.progress.isFinished())
        end(id, task.progress.sample());
}

void Agent::end(uint64_t id, std::optional<Sample> sample)
{
    const Task task = std::move(tasks_.extract(id).mapped());
    if (sample)
        hold_->add(*sample);
    for (const OnSample& waiter : task.waiters)
        waiter(sample);
}

void Agent::askStatus(std::function<void(bool)> onAnswer)
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

void Agent::watch()
{
    if (!tracker_->isSwapping())
        askStatus([](bool) {});
}

void Agent::load(const PolicyState& policy)
{
    if (!tracker_->beginSwap(policy.version, policy.order))
        return;
    const uint64_t swap = ++swap_;
    const uint64_t proof = nextId_++;
    for (auto& [id, task] : tasks_) {
        if (task.phase != Phase::Reading)
            continue;
        engine.streams.erase(task.stream);
        task.phase = Phase::Proving;
        task.proof = proof;
    }
    askStatus([this, policy, swap, proof](bool isAnswered) {
        if (swap != swap_ || !tracker_->isSwapping())
            return;
        std::vector<uint64_t> waiting;
        for (const auto& [id, task] : tasks_) {
            if (task.proof == proof)
                waiting.push_back(id);
        }
        for (uint64_t id : waiting)
            settle(id, isAnswered && tasks_.at(id).progress.isInEpoch(*tracker_));
        giveOrder(policy);
    });
}

void Agent::giveOrder(const PolicyState& policy)
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
    watch();
}

void Agent::engineMakesTokens(size_t pick)
{
    if (!engine.streams.empty())
        engine.makeToken(nth(engine.streams, pick)->second);
}

void Agent::engineRestarts(WeightVersion version)
{
    engine.restart(version);
}

} // namespace world
