#include <algorithm>
#include <endiveroad/BatchJob.h>

namespace endiveroad {

namespace {

/// Run numbers available to one revision of the owner record; far more than a job can use.
constexpr int64_t maxRunsPerRevision = 1 << 20;

constexpr int32_t statusServerError = 500;
constexpr int32_t statusUnprocessable = 422;

bool isDone(const ItemState& item)
{
    return item.stage == ItemStage::Finished || item.stage == ItemStage::Listed;
}

std::string joinedText(const std::vector<GeneratedEvent>& events)
{
    std::string text;
    for (const GeneratedEvent& event : events) {
        if (&event != &events.front())
            text += '\n';
        text += event.data;
    }
    return text;
}

std::vector<int64_t> distinctVersions(const std::vector<GeneratedEvent>& events)
{
    std::set<int64_t> versions;
    for (const GeneratedEvent& event : events)
        versions.insert(event.version);
    return { versions.begin(), versions.end() };
}

} // namespace

BatchJob::BatchJob(BatchJobSpec spec, BatchJobPolicy policy, int64_t revision)
    : spec_(std::move(spec))
    , policy_(policy)
    , revision_(revision)
    , nextRun_(revision * maxRunsPerRevision)
    , items_(spec_.items.size())
{
    for (size_t i = 0; i < spec_.items.size(); ++i) {
        indices_.emplace(spec_.items[i].id, i);
        groups_[spec_.items[i].group].push_back(i);
    }
}

std::optional<size_t> BatchJob::indexOf(std::string_view item) const
{
    const auto found = indices_.find(item);
    if (found == indices_.end())
        return std::nullopt;
    return found->second;
}

std::vector<size_t> BatchJob::waiting(Instant now) const
{
    std::vector<size_t> result;
    for (size_t i = 0; i < items_.size(); ++i) {
        if (!isEnded_ && items_[i].stage == ItemStage::Waiting && items_[i].notBefore <= now)
            result.push_back(i);
    }
    return result;
}

bool BatchJob::isFinished() const
{
    return std::all_of(items_.begin(), items_.end(), isDone);
}

int64_t BatchJob::start(size_t index, std::string agent, int64_t version, const SoftwareVersion& software, Instant now)
{
    ItemState& item = items_.at(index);
    const auto& events = item.text.events;
    const bool isOtherSoftware = !software.isKnown() || item.text.software != software;
    const bool isOtherVersion = policy_.isSingleVersion && !events.empty() && events.back().version != version;
    if (isOtherSoftware || isOtherVersion)
        item.text = {};
    item.stage = ItemStage::Running;
    item.agent = std::move(agent);
    item.run = ++nextRun_;
    item.startedAt = now;
    item.lastEventAt = now;
    item.runEventCount = 0;
    return item.run;
}

void BatchJob::append(ItemState& item, const RunProgress& progress, Instant now)
{
    auto& received = item.text.events;
    if (!progress.events.empty())
        item.text.software = progress.software;
    for (const GeneratedEvent& event : progress.events) {
        const bool isNext = received.empty() || event.id > received.back().id;
        if (!isNext)
            continue;
        received.push_back(event);
        ++item.runEventCount;
        item.lastEventAt = now;
    }
}

bool BatchJob::areVersionsAllowed(const std::vector<GeneratedEvent>& events) const
{
    const bool isRecent = std::all_of(events.begin(), events.end(),
        [this](const GeneratedEvent& event) { return event.version >= spec_.oldestVersion; });
    return isRecent && (!policy_.isSingleVersion || distinctVersions(events).size() <= 1);
}

ItemAction BatchJob::onProgress(size_t index, const RunProgress& progress, Instant now)
{
    ItemState& item = items_.at(index);
    if (item.stage != ItemStage::Running || item.run != progress.run)
        return progress.state == RunState::Running ? ItemAction::CancelRun : ItemAction::None;
    const size_t ownEvents = item.text.events.size();
    const bool hasEarlierText = ownEvents > item.runEventCount;
    const bool isOtherSoftware = hasEarlierText && !progress.events.empty() && progress.software != item.text.software;
    if (isOtherSoftware)
        item.text = {};
    if (progress.firstEvent > ownEvents || isOtherSoftware) {
        withdraw(index, now);
        return progress.state == RunState::Running ? ItemAction::CancelRun : ItemAction::Restart;
    }
    append(item, progress, now);
    return applyRunState(index, progress.state, progress.status, now);
}

ItemAction BatchJob::onAdopted(size_t index, std::string agent, const RunProgress& progress, Instant now)
{
    ItemState& item = items_.at(index);
    if (item.stage == ItemStage::Running && item.run == progress.run)
        return onProgress(index, progress, now);
    const bool isWaiting = item.stage == ItemStage::Waiting && progress.events.size() >= item.text.events.size();
    // An owner that has just taken the job over may start the item again before the agent reports the earlier run.
    const bool isAhead = item.stage == ItemStage::Running && progress.events.size() > item.text.events.size()
        && areVersionsAllowed(progress.events);
    const bool isUseful = (isWaiting || isAhead) && progress.firstEvent == 0
        && (progress.state == RunState::Running || progress.state == RunState::Completed);
    if (!isUseful)
        return progress.state == RunState::Running ? ItemAction::CancelRun : ItemAction::None;
    item.text = {};
    item.stage = ItemStage::Running;
    item.agent = std::move(agent);
    item.run = progress.run;
    item.startedAt = now;
    item.lastEventAt = now;
    item.runEventCount = 0;
    append(item, progress, now);
    return applyRunState(index, progress.state, progress.status, now);
}

ItemAction BatchJob::applyRunState(size_t index, RunState state, int32_t status, Instant now)
{
    ItemState& item = items_.at(index);
    if (!areVersionsAllowed(item.text.events)) {
        withdraw(index, now);
        item.text = {};
        return state == RunState::Running ? ItemAction::CancelRun : ItemAction::Restart;
    }
    if (state == RunState::Running)
        return ItemAction::None;
    if (state == RunState::Completed) {
        item.text.isComplete = true;
        item.stage = ItemStage::Scoring;
        return spec_.items[index].scoring ? ItemAction::Score : finish(index, ResultState::Completed);
    }
    withdraw(index, now);
    if (state == RunState::NotRun)
        return ItemAction::Restart;
    if (status == statusServerError)
        ++item.failedRuns;
    if (status == statusUnprocessable || item.failedRuns >= policy_.maxFailedRuns)
        return finish(index, ResultState::Terminated);
    return ItemAction::Restart;
}

void BatchJob::withdraw(size_t index, Instant now, Duration pause)
{
    ItemState& item = items_.at(index);
    if (item.stage != ItemStage::Running)
        return;
    item.stage = ItemStage::Waiting;
    item.notBefore = now + pause;
}

std::vector<size_t> BatchJob::onAgentLost(std::string_view agent, Instant now)
{
    std::vector<size_t> lost;
    for (size_t i = 0; i < items_.size(); ++i) {
        if (items_[i].stage != ItemStage::Running || items_[i].agent != agent)
            continue;
        withdraw(i, now);
        lost.push_back(i);
    }
    return lost;
}

ItemAction BatchJob::onEarlierText(size_t index, const GeneratedText& text)
{
    ItemState& item = items_.at(index);
    if (item.stage != ItemStage::Waiting || !item.text.events.empty() || !areVersionsAllowed(text.events))
        return ItemAction::None;
    item.text = text;
    if (!text.isComplete)
        return ItemAction::None;
    item.stage = ItemStage::Scoring;
    if (!spec_.items[index].scoring || !text.score.empty())
        return finish(index, ResultState::Completed);
    return ItemAction::Score;
}

ItemAction BatchJob::onScored(size_t index, std::string score)
{
    ItemState& item = items_.at(index);
    if (item.stage != ItemStage::Scoring)
        return ItemAction::None;
    item.text.score = std::move(score);
    return finish(index, ResultState::Completed);
}

ItemAction BatchJob::onScoringFailed(size_t index, int32_t failures)
{
    ItemState& item = items_.at(index);
    if (item.stage != ItemStage::Scoring)
        return ItemAction::None;
    item.failedScorings += failures;
    if (item.failedScorings >= policy_.maxFailedScorings)
        return finish(index, ResultState::Terminated);
    return ItemAction::Score;
}

ItemAction BatchJob::onKnownFailures(size_t index, int32_t failedRuns, bool isUnprocessable)
{
    ItemState& item = items_.at(index);
    item.failedRuns = std::max(item.failedRuns, failedRuns);
    const bool isDoomed = isUnprocessable || item.failedRuns >= policy_.maxFailedRuns;
    if (item.stage != ItemStage::Waiting || !isDoomed)
        return ItemAction::None;
    return finish(index, ResultState::Terminated);
}

ItemAction BatchJob::finish(size_t index, ResultState state)
{
    ItemState& item = items_.at(index);
    BatchResult result;
    result.item = spec_.items[index].id;
    result.state = state;
    if (state == ResultState::Completed) {
        result.text = joinedText(item.text.events);
        result.versions = distinctVersions(item.text.events);
        result.score = item.text.score;
    }
    item.result = std::move(result);
    item.stage = ItemStage::Finished;
    return ItemAction::Finished;
}

std::vector<size_t> BatchJob::terminateOverdue(Instant now)
{
    if (now < policy_.terminateAt || isEnded_)
        return {};
    return terminateAll();
}

std::vector<size_t> BatchJob::terminateAll()
{
    std::vector<size_t> terminated;
    for (size_t i = 0; i < items_.size(); ++i) {
        if (terminate(i) == ItemAction::Finished)
            terminated.push_back(i);
    }
    return terminated;
}

ItemAction BatchJob::terminate(size_t index)
{
    return isDone(items_.at(index)) ? ItemAction::None : finish(index, ResultState::Terminated);
}

bool BatchJob::isGroupFinished(const std::string& group) const
{
    const auto& members = groups_.at(group);
    return std::all_of(members.begin(), members.end(), [this](size_t member) { return isDone(items_[member]); });
}

std::vector<size_t> BatchJob::listable(Instant now) const
{
    std::vector<size_t> result;
    const bool isFlushing = now >= policy_.dueAt - flushLeadTime;
    for (const auto& [group, members] : groups_) {
        if (!isFlushing && !group.empty() && !isGroupFinished(group))
            continue;
        for (size_t member : members) {
            if (items_[member].stage == ItemStage::Finished)
                result.push_back(member);
        }
    }
    return result;
}

void BatchJob::onListed(const std::vector<BatchResult>& results)
{
    for (const BatchResult& result : results) {
        listed_.push_back(result);
        const auto index = indexOf(result.item);
        if (!index)
            continue;
        ItemState& item = items_[*index];
        item.stage = ItemStage::Listed;
        item.text = {};
        item.result.reset();
    }
}

} // namespace endiveroad
