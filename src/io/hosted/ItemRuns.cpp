#include "io/hosted/ItemDispatcher.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"
#include "io/Tasks.h"
#include "io/hosted/WireEvents.h"
#include "io/hosted/WireOrigins.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad/StallLimit.h>
#include <fmt/format.h>

/// Starting, withdrawing and adopting runs of items, and agents' reports on them. ItemDispatcher.cpp decides which item
/// runs where.
namespace endiveroad::io {

void ItemDispatcher::startItem(const OwnedJobPtr& owned, size_t index, const ReplicaView& replica)
{
    BatchJob& job = owned->job;
    const BatchItem& spec = job.spec().items[index];
    wire::ItemStart startRequest;
    const size_t earlierEvents = job.items()[index].text.events.size();
    startRequest.run = job.start(index, replica.agent, replica.version(job.spec().model), replica.software, now());
    startRequest.job = owned->id();
    startRequest.revision = job.revision();
    startRequest.item = spec.id;
    startRequest.host = owned->record.host;
    startRequest.path = spec.path;
    for (const auto& [name, value] : spec.headers) {
        wire::Header header;
        header.name = name;
        header.value = value;
        startRequest.headers.push_back(std::move(header));
    }
    startRequest.body = spec.body;
    const GeneratedText& text = job.items()[index].text;
    startRequest.events = toWire(text.events);
    startRequest.software = toWire(text.software);
    if (text.events.size() < earlierEvents) {
        processMetrics().count(Counter::TextsBegunAnew);
        log(Event::ItemBegunAnew,
            { { "job", owned->id() }, { "item", spec.id }, { "events", std::to_string(earlierEvents) },
                { "software", replica.software.text() } });
    }
    startRequest.oldestVersion = job.spec().oldestVersion;
    startRequest.model = job.spec().model;
    startRequest.stalls = owned->stalls(index);
    startRequest.organisation = owned->record.organisation;
    const auto directory = directory_();
    if (const auto priority
        = directory->routing ? directory->routing->organisationPriority(owned->record.organisation) : std::nullopt)
        startRequest.__set_priority(*priority);
    log(Event::ItemPlaced,
        { { "job", owned->id() }, { "item", spec.id }, { "run", std::to_string(startRequest.run) },
            { "agent", replica.agent }, { "software", replica.software.text() },
            { "running", std::to_string(replica.running) },
            { "version", std::to_string(replica.version(startRequest.model)) },
            { "events", std::to_string(startRequest.events.size()) },
            { "expected", fmt::format("{:.0f}", spec.expectedTokens) } });
    spawn(context_.get_executor(), [this, owned, index, agent = replica.agent, startRequest = std::move(startRequest)] {
        return sendStart(owned, index, agent, startRequest);
    });
}

ServerAttempt ItemDispatcher::attemptAt(const OwnedJob& owned, size_t index, const std::string& agent) const
{
    ServerAttempt attempt;
    attempt.request = owned.job.spec().items[index].id;
    attempt.content = owned.contents[index];
    attempt.sentAt = now();
    attempt.kind = ContentKind::Owed;
    const auto report = reports_.find(agent);
    if (report != reports_.end())
        attempt.server = report->second.last.server;
    return attempt;
}

asio::awaitable<void> ItemDispatcher::sendStart(
    OwnedJobPtr owned, size_t index, std::string agent, wire::ItemStart startRequest)
{
    const ServerAttempt attempt = attemptAt(*owned, index, agent);
    ++reports_[agent].starting;
    std::string refusal;
    bool isUnsendable = false;
    try {
        const PeerConnectionPtr connection = connections_.agent(agent);
        if (!connection)
            throw PeerUnavailableError("the agent is not connected");
        std::string payload = wire::encode(startRequest);
        const std::string answered
            = co_await connection->call(MessageType::ItemStart, std::move(payload), now() + startTimeout);
        const auto answer = wire::decode<wire::ItemStartAnswer>(answered);
        if (!answer.isAccepted)
            refusal = answer.reason;
        isUnsendable = answer.__isset.isUnsendable && answer.isUnsendable;
        if (answer.isJobEnded || answer.revision > owned->job.revision())
            onOwnershipUncertain_(owned);
    } catch (const Error& error) {
        refusal = error.what();
        if (const PeerConnectionPtr connection = connections_.agent(agent))
            connection->notify(MessageType::ItemCancel, encodeCancel(*owned, startRequest.item));
    }
    --reports_[agent].starting;
    const ItemState& item = owned->job.items()[index];
    if (refusal.empty() || item.stage != ItemStage::Running || item.run != startRequest.run)
        co_return;
    log(Event::ItemRefused,
        { { "job", startRequest.job }, { "item", startRequest.item }, { "run", std::to_string(startRequest.run) },
            { "agent", agent }, { "reason", refusal } });
    crashGuard_.onNotSent(attempt);
    owned->withdrawnRuns.insert(startRequest.run);
    if (isUnsendable)
        terminateUnsendable(*owned, index, refusal);
    owned->avoidedAgents[index] = agent;
    owned->job.withdraw(index, now());
    wake();
}

void ItemDispatcher::terminateUnsendable(OwnedJob& owned, size_t index, const std::string& reason)
{
    if (owned.job.terminate(index) == ItemAction::Finished)
        log(Event::ItemTerminated,
            { { "job", owned.id() }, { "item", owned.job.spec().items[index].id }, { "reason", reason } });
}

void ItemDispatcher::withdraw(OwnedJob& owned, size_t index, const std::string& reason)
{
    const ItemState& item = owned.job.items()[index];
    const std::string agent = item.agent;
    log(Event::ItemMoved,
        { { "job", owned.id() }, { "item", owned.job.spec().items[index].id }, { "run", std::to_string(item.run) },
            { "agent", agent }, { "events", std::to_string(item.text.events.size()) }, { "reason", reason } });
    owned.withdrawnRuns.insert(item.run);
    owned.avoidedAgents[index] = agent;
    owned.job.withdraw(index, now(), Duration::zero());
    wake();
    if (const PeerConnectionPtr connection = connections_.agent(agent))
        connection->notify(MessageType::ItemCancel, encodeCancel(owned, owned.job.spec().items[index].id));
}

void ItemDispatcher::withdrawSilentRuns(OwnedJob& owned)
{
    for (size_t i = 0; i < owned.job.items().size(); ++i) {
        const ItemState& item = owned.job.items()[i];
        if (item.stage != ItemStage::Running)
            continue;
        if (now() <= item.lastEventAt + stallLimitAfter(silenceLimit, owned.stalls(i)))
            continue;
        owned.stalledAgents[i].push_back(item.agent);
        withdraw(owned, i, "the run has delivered no event for too long");
    }
}

namespace {

constexpr int32_t statusServerError = 500;
constexpr int32_t statusUnprocessable = 422;

/// The failed run that a report tells of; nothing if the run goes on, ended otherwise or failed for another reason.
std::optional<FailedRun> failedRunOf(const wire::ItemProgress& progress)
{
    const bool isUnprocessable = progress.status == statusUnprocessable;
    const bool hasFailed = fromWire(progress.state) == RunState::Failed;
    if (!hasFailed || (!isUnprocessable && progress.status != statusServerError))
        return std::nullopt;
    return FailedRun { progress.item, progress.run, isUnprocessable };
}

wire::ItemFailure toWire(const FailedRun& failed)
{
    wire::ItemFailure encoded;
    encoded.item = failed.item;
    encoded.run = failed.run;
    encoded.isUnprocessable = failed.isUnprocessable;
    return encoded;
}

} // namespace

void ItemDispatcher::recordFailure(const FailedRun& failed)
{
    if (!failedRuns_.add(failed, now()))
        return;
    wire::ItemFailureNotice notice;
    notice.failures.push_back(toWire(failed));
    const std::string encoded = wire::encode(notice);
    for (const PeerConnectionPtr& coordinator : connections_.coordinators())
        coordinator->notify(MessageType::ItemFailures, encoded);
}

std::optional<std::string> ItemDispatcher::encodeFailures() const
{
    wire::ItemFailureNotice notice;
    for (const FailedRun& failed : failedRuns_.all(now()))
        notice.failures.push_back(toWire(failed));
    return notice.failures.empty() ? std::nullopt : std::optional(wire::encode(notice));
}

void ItemDispatcher::onFailures(const wire::ItemFailureNotice& notice)
{
    for (const wire::ItemFailure& encoded : notice.failures) {
        if (!failedRuns_.add({ encoded.item, encoded.run, encoded.isUnprocessable }, now()))
            continue;
        for (const auto& [id, owned] : jobs_) {
            if (const auto index = owned->job.indexOf(encoded.item))
                applyFailures(owned, *index);
        }
    }
}

void ItemDispatcher::applyFailures(const OwnedJobPtr& owned, size_t index)
{
    const std::string& item = owned->job.spec().items[index].id;
    const int32_t errors = failedRuns_.serverErrors(item, now());
    const bool isUnprocessable = failedRuns_.isUnprocessable(item, now());
    if (errors > 0 || isUnprocessable)
        performAction(owned, index, owned->job.onKnownFailures(index, errors, isUnprocessable));
}

void ItemDispatcher::onProgress(const PeerConnectionPtr& agent, const wire::ItemProgressNotice& notice)
{
    for (const wire::ItemProgress& progress : notice.items) {
        // Also for a job that has ended, since its items may come again.
        const auto failed = failedRunOf(progress);
        if (failed)
            recordFailure(*failed);
        const auto found = jobs_.find(progress.job);
        const auto index = found == jobs_.end() ? std::nullopt : found->second->job.indexOf(progress.item);
        if (!index || found->second->job.isEnded())
            continue;
        const OwnedJobPtr owned = found->second;
        const RunProgress report { progress.run, static_cast<size_t>(std::max(progress.firstEvent, 0)),
            fromWire(progress.events), fromWire(progress.state), progress.status, fromWire(progress.software) };
        const ItemState& item = owned->job.items()[*index];
        if (progress.isStalled && item.stage == ItemStage::Running && item.run == progress.run)
            owned->stalledAgents[*index].push_back(agent->peerName);
        ItemAction action = ItemAction::None;
        const BatchItem& spec = owned->job.spec().items[*index];
        if (report.state == RunState::Completed && item.stage == ItemStage::Running)
            textLengths_.add(owned->job.spec().model, spec.expectedTokens, report.firstEvent + report.events.size());
        if (item.stage == ItemStage::Running && item.run == progress.run)
            action = owned->job.onProgress(*index, report, now());
        else if (!owned->withdrawnRuns.contains(progress.run))
            action = adopt(*owned, *index, agent->peerName, report);
        if (action == ItemAction::Restart)
            owned->avoidedAgents[*index] = agent->peerName;
        if (action == ItemAction::CancelRun) {
            owned->withdrawnRuns.insert(progress.run);
            agent->notify(MessageType::ItemCancel, encodeCancel(*owned, progress.item));
        }
        performAction(owned, *index, action);
        if (failed)
            applyFailures(owned, *index);
    }
}

ItemAction ItemDispatcher::adopt(OwnedJob& owned, size_t index, const std::string& agent, const RunProgress& report)
{
    const ItemState& item = owned.job.items()[index];
    const bool wasRunning = item.stage == ItemStage::Running;
    const int64_t ownRun = item.run;
    const std::string ownAgent = item.agent;
    const ItemAction action = owned.job.onAdopted(index, agent, report, now());
    if (!wasRunning || item.run == ownRun)
        return action;
    const std::string& id = owned.job.spec().items[index].id;
    log(Event::ItemMoved,
        { { "job", owned.id() }, { "item", id }, { "run", std::to_string(ownRun) }, { "agent", ownAgent },
            { "events", std::to_string(report.events.size()) }, { "reason", "an earlier owner's run is ahead" } });
    owned.withdrawnRuns.insert(ownRun);
    if (const PeerConnectionPtr connection = connections_.agent(ownAgent))
        connection->notify(MessageType::ItemCancel, encodeCancel(owned, id));
    return action;
}

void ItemDispatcher::performAction(const OwnedJobPtr& owned, size_t index, ItemAction action)
{
    if (action == ItemAction::Score)
        scorer_.score(owned, index);
    if (action == ItemAction::Finished && owned->job.items()[index].result
        && owned->job.items()[index].result->state == ResultState::Terminated)
        log(Event::ItemTerminated,
            { { "job", owned->id() }, { "item", owned->job.spec().items[index].id },
                { "reason", "its runs always fail" } });
    if (action != ItemAction::None)
        wake();
}

void ItemDispatcher::sendOwnerNotice(const OwnedJob& owned, const PeerConnectionPtr& connection) const
{
    wire::JobOwnerNotice notice;
    notice.job = owned.id();
    notice.revision = owned.job.revision();
    notice.owner = owned.record.owner;
    notice.model = owned.job.spec().model;
    notice.tokensPerSecond = loads_.demandOf(notice.model);
    connection->notify(MessageType::JobOwner, wire::encode(notice));
}

void ItemDispatcher::onAgentUp(const PeerConnectionPtr& connection)
{
    for (const auto& [id, owned] : jobs_) {
        if (!owned->job.isEnded())
            sendOwnerNotice(*owned, connection);
        else
            connection->notify(MessageType::ItemCancel, encodeCancel(*owned, {}));
    }
}

void ItemDispatcher::onAgentDown(const std::string& agent)
{
    for (const auto& [id, owned] : jobs_) {
        if (owned->job.isEnded())
            continue;
        for (size_t index : owned->job.onAgentLost(agent, now())) {
            owned->avoidedAgents[index] = agent;
            log(Event::ItemMoved,
                { { "job", id }, { "item", owned->job.spec().items[index].id }, { "agent", agent },
                    { "reason", "the agent is gone" } });
        }
    }
    const auto report = reports_.find(agent);
    if (report != reports_.end())
        report->second.last.isUp = false;
    wake();
}

std::string ItemDispatcher::encodeCancel(const OwnedJob& owned, const std::string& item)
{
    wire::ItemCancelNotice cancel;
    cancel.job = owned.id();
    cancel.revision = owned.job.revision();
    cancel.item = item;
    cancel.isJobEnded = item.empty();
    return wire::encode(cancel);
}

void ItemDispatcher::cancelRuns(const OwnedJob& owned)
{
    const std::string cancel = encodeCancel(owned, {});
    for (const PeerConnectionPtr& agent : connections_.agents())
        agent->notify(MessageType::ItemCancel, cancel);
}

} // namespace endiveroad::io
