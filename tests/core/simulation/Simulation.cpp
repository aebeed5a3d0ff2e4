#include "core/simulation/Simulation.h"

#include <algorithm>

namespace simulation {

namespace {

constexpr Duration tick = std::chrono::milliseconds(10);
constexpr Duration retryDelay = std::chrono::milliseconds(50);
constexpr int finishRounds = 4000;
constexpr size_t maxMessages = 200;
constexpr int64_t maxAnnouncements = 12;

StepRequest makeStep(StepNumber number)
{
    StepRequest step;
    step.step = number;
    step.samplesPerGroup = 2;
    for (uint32_t index = 0; index < 6; ++index)
        step.samples.push_back(
            { "p" + std::to_string(index / 2), 1 + static_cast<uint32_t>(number * 5 + index * 7) % 6 });
    return step;
}

} // namespace

Simulation::Simulation(const SimulationOptions& options)
    : options_(options)
{
    for (StepNumber step = 1; step <= options_.steps; ++step)
        requests_.push_back(makeStep(step));
    for (size_t i = 0; i < agentCount; ++i)
        agents_.push_back(std::make_unique<Agent>(
            "agent" + std::to_string(i), network_, options_.honoursFencing, options_.statesVersion));
    for (size_t i = 0; i < coordinatorCount; ++i)
        coordinators_.push_back({ std::make_unique<JobCoordinator>(declaration()) });
    checkpoints_.push_back({});
}

JobDeclaration Simulation::declaration() const
{
    JobDeclaration job;
    job.name = "job";
    job.pool = "pool";
    if (options_.isScored)
        job.scoringPool = "scorer";
    job.rollout.stalenessBound = options_.stalenessBound;
    job.rollout.idleWeight = options_.idleWeight;
    job.rollout.wholeGroups = options_.wholeGroups;
    return job;
}

bool Simulation::isStepReceived(StepNumber step) const
{
    const auto begin = trainer_.tokensBySample.lower_bound({ step, 0 });
    const auto end = trainer_.tokensBySample.lower_bound({ step + 1, 0 });
    return static_cast<size_t>(std::distance(begin, end)) == requests_[step - 1].samples.size();
}

StepNumber Simulation::currentStep() const
{
    StepNumber step = 1;
    while (step < options_.steps && isStepReceived(step))
        ++step;
    return step;
}

void Simulation::submit(StepNumber step, size_t coordinator)
{
    if (step > options_.steps)
        return;
    trainer_.submitted.insert(step);
    const size_t unreachable = coordinator / coordinatorCount;
    network_.send([this, step, coordinator, unreachable] {
        onSubmit(coordinator % coordinatorCount, requests_[step - 1], unreachable);
    });
}

void Simulation::onSubmit(size_t coordinator, const StepRequest& step, size_t unreachable)
{
    JobCoordinator& core = *coordinators_[coordinator].core;
    const bool isNew = core.submit(step, now_);
    for (size_t i = 0; isNew && i < agents_.size(); ++i) {
        if (i == unreachable % (2 * agentCount))
            continue;
        for (Sample& sample : agents_[i]->cache().unreceivedSamples("job", step.step, step.digest(), ""))
            counts_.recovered += core.onSample(std::move(sample), now_) ? 1 : 0;
        for (uint32_t index : agents_[i]->runningIndices(step.step, step.digest())) {
            if (const auto adopted = core.adopt(step.step, index, now_))
                send(coordinator, i, *adopted, core.oldestUsableVersion());
        }
    }
}

void Simulation::fetch(size_t coordinator, size_t max)
{
    network_.send([this, coordinator, cursor = trainer_.cursor, policy = trainer_.policy, steps = trainer_.submitted,
                      max] { onFetch(coordinator % coordinatorCount, cursor, policy, steps, max); });
}

void Simulation::onFetch(
    size_t coordinator, const std::string& text, PolicyState policy, std::set<StepNumber> submitted, size_t max)
{
    JobCoordinator& core = *coordinators_[coordinator].core;
    const Cursor cursor = Cursor::decode(text, "job");
    for (const auto& [step, digest] : core.steps()) {
        for (const auto& agent : agents_)
            agent->markReceived(step, digest, cursor.received(step, 6).bytes());
    }
    const FetchResult result = core.fetch(cursor, policy, max, now_);
    std::erase_if(submitted, [&](StepNumber step) { return core.hasStep(step) || cursor.isComplete(step); });
    network_.send([this, text, policy, result, submitted] { onAnswer(text, policy, result, submitted); });
}

void Simulation::onAnswer(const std::string& requestCursor, const PolicyState& policy, const FetchResult& result,
    const std::set<StepNumber>& unknownSteps)
{
    if (requestCursor != trainer_.cursor || policy != trainer_.policy) {
        ++counts_.ignoredAnswers;
        return;
    }
    for (const Sample& sample : result.samples)
        accept(sample, trainer_.policy);
    trainer_.cursor = result.next.encode();
    for (StepNumber step : unknownSteps)
        trainer_.submitted.erase(step);
}

void Simulation::accept(const Sample& sample, const PolicyState& policy)
{
    ++counts_.accepted;
    const StepRequest& step = requests_.at(sample.step - 1);
    if (sample.stepDigest != step.digest() || sample.index >= step.samples.size())
        throw Violation("the sample's index or step digest does not match the request");
    if (!trainer_.tokensBySample.emplace(std::pair(sample.step, sample.index), sample.tokens).second)
        throw Violation("the trainer received a sample twice");
    if (sample.tokens != step.samples[sample.index].maxTokens || sample.text.size() != sample.tokens)
        throw Violation("the sample does not have the requested number of tokens");
    if (options_.isScored && sample.score != static_cast<double>(sample.text.size() * 100 + sample.index))
        throw Violation("the sample has no score or the score of another sample");
    if (sample.segments.size() > 1)
        ++counts_.mixedVersions;
    std::string claimed;
    for (const Segment& segment : sample.segments)
        claimed.append(segment.endToken - segment.firstToken, tokenOf(segment.version));
    if (claimed != sample.text)
        throw Violation(
            "segments do not match the versions that generated the tokens: " + claimed + " for " + sample.text);
    const char oldest = *std::min_element(sample.text.begin(), sample.text.end());
    if (oldest - '0' < policy.version - options_.stalenessBound)
        throw Violation("a stale sample was handed over");
}

void Simulation::train()
{
    if (isDone() || !isStepReceived(trainer_.trainedSteps + 1))
        return;
    ++trainer_.trainedSteps;
    trainer_.policy = { ++trainer_.newestVersion, ++trainer_.newestOrder };
    checkpoints_.push_back({ trainer_.cursor, trainer_.policy, trainer_.tokensBySample, trainer_.trainedSteps });
}

void Simulation::announceEarly()
{
    if (trainer_.newestOrder < maxAnnouncements)
        trainer_.policy = { ++trainer_.newestVersion, ++trainer_.newestOrder };
}

void Simulation::rollBack()
{
    if (trainer_.policy.version == 0 || trainer_.newestOrder >= maxAnnouncements)
        return;
    trainer_.policy = { trainer_.policy.version - 1, ++trainer_.newestOrder };
}

void Simulation::restoreCheckpoint()
{
    const Checkpoint& checkpoint
        = checkpoints_[static_cast<size_t>(now_.time_since_epoch() / tick) % checkpoints_.size()];
    ++counts_.restores;
    trainer_.cursor = checkpoint.cursor;
    trainer_.tokensBySample = checkpoint.tokensBySample;
    trainer_.trainedSteps = checkpoint.trainedSteps;
    trainer_.policy = { checkpoint.policy.version, ++trainer_.newestOrder };
    trainer_.submitted.clear();
}

void Simulation::dispatch(size_t coordinator, size_t agent)
{
    JobCoordinator& core = *coordinators_[coordinator].core;
    auto dispatch = core.next(now_);
    if (!dispatch)
        dispatch = core.nextDuplicate(now_);
    if (dispatch)
        send(coordinator, agent, *dispatch, core.oldestUsableVersion());
}

void Simulation::send(size_t coordinator, size_t agent, const Dispatch& dispatch, WeightVersion oldest)
{
    const uint64_t incarnation = coordinators_[coordinator].incarnation;
    const auto finished = [this, coordinator, incarnation, dispatch](std::optional<Sample> sample) {
        if (incarnation != coordinators_[coordinator].incarnation)
            return;
        JobCoordinator& core = *coordinators_[coordinator].core;
        if (!sample || !core.onSample(std::move(*sample), now_))
            core.onAttemptFailed(dispatch, now_ + retryDelay, now_);
    };
    const auto lost = [finished] { finished(std::nullopt); };
    const GenerateOrder order { dispatch, oldest, coordinators_[coordinator].core->objective() };
    network_.send(
        [this, agent, order, finished, lost] {
            agents_[agent]->generate(order, [this, finished, lost](std::optional<Sample> sample) {
                network_.send([finished, sample] { finished(sample); }, lost);
            });
        },
        lost);
}

void Simulation::score(size_t coordinator, bool isFaulty)
{
    JobCoordinator& core = *coordinators_[coordinator].core;
    for (const ScoringItem& item : core.nextScoring(4, now_)) {
        if (isFaulty)
            core.onScoringFailed(item.step, item.index, now_ + retryDelay, now_);
        else
            core.onScore(item.step, item.index, static_cast<double>(item.text.size() * 100 + item.index));
    }
}

void Simulation::orderWeights(size_t coordinator, size_t agent)
{
    const PolicyState policy = coordinators_[coordinator].core->policy();
    network_.send([this, agent, policy] { agents_[agent]->load(policy); });
}

void Simulation::crashCoordinator(size_t coordinator)
{
    ++counts_.coordinatorCrashes;
    ++coordinators_[coordinator].incarnation;
    *coordinators_[coordinator].core = JobCoordinator(declaration());
}

void Simulation::deliverMessages(size_t limit)
{
    for (size_t i = 0; i < limit && network_.size() > 0; ++i)
        network_.deliver(0);
}

void Simulation::runAction(uint32_t choice)
{
    now_ += tick;
    const size_t pick = choice >> 5U;
    Agent& agent = *agents_[pick % agentCount];
    const size_t coordinator = pick / agentCount % coordinatorCount;
    // An action with more cases is chosen more often.
    switch (choice % 32) {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
    case 5:
        if (network_.size() > 0)
            network_.deliver(pick);
        break;
    case 6:
        if (network_.size() > 0)
            network_.deliverTwice(pick);
        break;
    case 7:
        if (network_.size() > 0)
            network_.lose(pick);
        break;
    case 8:
        if (network_.size() > 0)
            network_.delay(pick);
        break;
    case 9:
    case 10:
    case 11:
        fetch(pick, 1 + pick % 7);
        break;
    case 12:
    case 13: {
        const StepNumber step = currentStep() + pick % openSteps;
        if (!trainer_.submitted.contains(step))
            submit(step, pick);
        break;
    }
    case 14:
    case 15:
    case 16:
        dispatch(coordinator, pick % agentCount);
        break;
    case 17:
    case 18:
    case 19:
        agent.generateToken(pick / agentCount);
        break;
    case 20:
    case 21:
    case 22:
        agent.advanceTask(pick / agentCount);
        break;
    case 23:
        agent.refreshStatus();
        break;
    case 24:
        orderWeights(coordinator, pick % agentCount);
        break;
    case 25:
        agent.engine.switchWeights();
        break;
    case 26:
        agent.engine.endLoad(pick % 4 == 0);
        break;
    case 27:
        score(coordinator, pick % 3 == 0);
        break;
    case 28:
        if (pick % 4 == 0)
            announceEarly();
        else
            train();
        break;
    case 29:
        if (pick % 4 == 0)
            agent.restartEngine(static_cast<WeightVersion>(pick / 4 % 2));
        else if (pick % 4 == 1)
            agent.crash();
        break;
    case 30:
        if (pick % 2 == 0)
            crashCoordinator(coordinator);
        break;
    default:
        if (pick % 6 == 0)
            restoreCheckpoint();
        else if (pick % 6 == 1)
            rollBack();
        break;
    }
    while (network_.size() > maxMessages)
        network_.lose(0);
}

void Simulation::finishWithoutFaults()
{
    for (int round = 0; round < finishRounds; ++round) {
        if (isDone())
            return;
        now_ += tick;
        const auto pick = static_cast<size_t>(round);
        deliverMessages(maxMessages);
        train();
        for (StepNumber step = currentStep(); step < currentStep() + openSteps; ++step) {
            if (!trainer_.submitted.contains(step))
                submit(step, pick);
        }
        fetch(pick / 8, 6);
        deliverMessages(maxMessages);
        for (size_t agent = 0; agent < agentCount; ++agent) {
            agents_[agent]->engine.endLoad(false);
            dispatch(pick / 8 % coordinatorCount, agent);
            if (agents_[agent]->version() != trainer_.policy.version)
                orderWeights(pick / 8 % coordinatorCount, agent);
            agents_[agent]->refreshStatus();
            for (size_t i = 0; i < 4; ++i) {
                agents_[agent]->generateToken(pick + i);
                agents_[agent]->advanceTask(pick + i);
            }
        }
        score(pick / 8 % coordinatorCount, false);
    }
    throw Violation("the job does not finish without faults");
}

} // namespace simulation
