#include "core/world/World.h"

#include <algorithm>

namespace world {

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

World::World(const WorldOptions& options)
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

JobDeclaration World::declaration() const
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

bool World::isStepLearned(StepNumber step) const
{
    const auto begin = trainer_.learned.lower_bound({ step, 0 });
    const auto end = trainer_.learned.lower_bound({ step + 1, 0 });
    return static_cast<size_t>(std::distance(begin, end)) == requests_[step - 1].samples.size();
}

StepNumber World::currentStep() const
{
    StepNumber step = 1;
    while (step < options_.steps && isStepLearned(step))
        ++step;
    return step;
}

void World::submit(StepNumber step, size_t coordinator)
{
    if (step > options_.steps)
        return;
    trainer_.submitted.insert(step);
    const size_t unreachable = coordinator / coordinatorCount;
    network_.send([this, step, coordinator, unreachable] {
        onSubmit(coordinator % coordinatorCount, requests_[step - 1], unreachable);
    });
}

void World::onSubmit(size_t coordinator, const StepRequest& step, size_t unreachable)
{
    JobCoordinator& core = *coordinators_[coordinator].core;
    const bool isNew = core.submit(step, now_);
    for (size_t i = 0; isNew && i < agents_.size(); ++i) {
        if (i == unreachable % (2 * agentCount))
            continue;
        for (Sample& sample : agents_[i]->hold().unreceivedSamples("job", step.step, step.digest(), ""))
            counts_.recovered += core.onSample(std::move(sample), now_) ? 1 : 0;
        for (uint32_t index : agents_[i]->running(step.step, step.digest())) {
            if (const auto adopted = core.adopt(step.step, index, now_))
                send(coordinator, i, *adopted, core.oldestUsableVersion());
        }
    }
}

void World::fetch(size_t coordinator, size_t max)
{
    network_.send([this, coordinator, cursor = trainer_.cursor, policy = trainer_.policy, steps = trainer_.submitted,
                      max] { onFetch(coordinator % coordinatorCount, cursor, policy, steps, max); });
}

void World::onFetch(
    size_t coordinator, const std::string& text, PolicyState policy, std::set<StepNumber> known, size_t max)
{
    JobCoordinator& core = *coordinators_[coordinator].core;
    const Cursor cursor = Cursor::decode(text, "job");
    for (const auto& [step, digest] : core.steps()) {
        for (const auto& agent : agents_)
            agent->release(step, digest, cursor.received(step, 6).bytes());
    }
    const FetchResult result = core.fetch(cursor, policy, max, now_);
    std::erase_if(known, [&](StepNumber step) { return core.hasStep(step) || cursor.isComplete(step); });
    network_.send([this, text, policy, result, known] { onAnswer(text, policy, result, known); });
}

void World::onAnswer(const std::string& answers, const PolicyState& policy, const FetchResult& result,
    const std::set<StepNumber>& unknown)
{
    if (answers != trainer_.cursor || policy != trainer_.policy) {
        ++counts_.ignoredAnswers;
        return;
    }
    for (const Sample& sample : result.samples)
        accept(sample, trainer_.policy);
    trainer_.cursor = result.next.encode();
    for (StepNumber step : unknown)
        trainer_.submitted.erase(step);
}

void World::accept(const Sample& sample, const PolicyState& policy)
{
    ++counts_.accepted;
    const StepRequest& step = requests_.at(sample.step - 1);
    if (sample.stepDigest != step.digest() || sample.index >= step.samples.size())
        throw Violation("the sample's index or step digest does not match the request");
    if (!trainer_.learned.emplace(std::pair(sample.step, sample.index), sample.tokens).second)
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

void World::train()
{
    if (isDone() || !isStepLearned(trainer_.trained + 1))
        return;
    ++trainer_.trained;
    trainer_.policy = { ++trainer_.newestVersion, ++trainer_.newestOrder };
    checkpoints_.push_back({ trainer_.cursor, trainer_.policy, trainer_.learned, trainer_.trained });
}

void World::announceEarly()
{
    if (trainer_.newestOrder < maxAnnouncements)
        trainer_.policy = { ++trainer_.newestVersion, ++trainer_.newestOrder };
}

void World::rollBack()
{
    if (trainer_.policy.version == 0 || trainer_.newestOrder >= maxAnnouncements)
        return;
    trainer_.policy = { trainer_.policy.version - 1, ++trainer_.newestOrder };
}

void World::restore()
{
    const Checkpoint& checkpoint
        = checkpoints_[static_cast<size_t>(now_.time_since_epoch() / tick) % checkpoints_.size()];
    ++counts_.restores;
    trainer_.cursor = checkpoint.cursor;
    trainer_.learned = checkpoint.learned;
    trainer_.trained = checkpoint.trained;
    trainer_.policy = { checkpoint.policy.version, ++trainer_.newestOrder };
    trainer_.submitted.clear();
}

void World::dispatch(size_t coordinator, size_t agent)
{
    JobCoordinator& core = *coordinators_[coordinator].core;
    auto dispatch = core.next(now_);
    if (!dispatch)
        dispatch = core.nextDuplicate(now_);
    if (dispatch)
        send(coordinator, agent, *dispatch, core.oldestUsableVersion());
}

void World::send(size_t coordinator, size_t agent, const Dispatch& dispatch, WeightVersion oldest)
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

void World::score(size_t coordinator, bool isFaulty)
{
    JobCoordinator& core = *coordinators_[coordinator].core;
    for (const ScoringItem& item : core.nextScoring(4, now_)) {
        if (isFaulty)
            core.onScoringFailed(item.step, item.index, now_ + retryDelay, now_);
        else
            core.onScore(item.step, item.index, static_cast<double>(item.text.size() * 100 + item.index));
    }
}

void World::orderWeights(size_t coordinator, size_t agent)
{
    const PolicyState policy = coordinators_[coordinator].core->policy();
    network_.send([this, agent, policy] { agents_[agent]->load(policy); });
}

void World::crashCoordinator(size_t coordinator)
{
    ++counts_.coordinatorCrashes;
    ++coordinators_[coordinator].incarnation;
    *coordinators_[coordinator].core = JobCoordinator(declaration());
}

void World::carryMessages(size_t limit)
{
    for (size_t i = 0; i < limit && network_.size() > 0; ++i)
        network_.deliver(0);
}

void World::act(uint32_t choice)
{
    now_ += tick;
    const size_t pick = choice >> 5U;
    Agent& agent = *agents_[pick % agentCount];
    const size_t coordinator = pick / agentCount % coordinatorCount;
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
        agent.engineMakesTokens(pick / agentCount);
        break;
    case 20:
    case 21:
    case 22:
        agent.advance(pick / agentCount);
        break;
    case 23:
        agent.watch();
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
            agent.engineRestarts(static_cast<WeightVersion>(pick / 4 % 2));
        else if (pick % 4 == 1)
            agent.crash();
        break;
    case 30:
        if (pick % 2 == 0)
            crashCoordinator(coordinator);
        break;
    default:
        if (pick % 6 == 0)
            restore();
        else if (pick % 6 == 1)
            rollBack();
        break;
    }
    while (network_.size() > maxMessages)
        network_.lose(0);
}

void World::finish()
{
    for (int round = 0; round < finishRounds; ++round) {
        if (isDone())
            return;
        now_ += tick;
        const auto pick = static_cast<size_t>(round);
        carryMessages(maxMessages);
        train();
        for (StepNumber step = currentStep(); step < currentStep() + openSteps; ++step) {
            if (!trainer_.submitted.contains(step))
                submit(step, pick);
        }
        fetch(pick / 8, 6);
        carryMessages(maxMessages);
        for (size_t agent = 0; agent < agentCount; ++agent) {
            agents_[agent]->engine.endLoad(false);
            dispatch(pick / 8 % coordinatorCount, agent);
            if (agents_[agent]->version() != trainer_.policy.version)
                orderWeights(pick / 8 % coordinatorCount, agent);
            agents_[agent]->watch();
            for (size_t i = 0; i < 4; ++i) {
                agents_[agent]->engineMakesTokens(pick + i);
                agents_[agent]->advance(pick + i);
            }
        }
        score(pick / 8 % coordinatorCount, false);
    }
    throw Violation("the job does not finish without faults");
}

} // namespace world
