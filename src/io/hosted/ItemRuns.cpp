#include "io/hosted/ItemDispatcher.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"
#include "io/hosted/WireEvents.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>

/// Starting, withdrawing and adopting runs of items, and agents' reports on them. ItemDispatcher.cpp decides which item
/// runs where.
namespace endiveroad::io {

void ItemDispatcher::startItem(const OwnedJobPtr& owned, size_t index, const ReplicaView& replica)
{
    BatchJob& job = owned->job;
    const BatchItem& spec = job.spec().items[index];
    wire::ItemStart order;
    order.run = job.start(index, replica.agent, replica.version(job.spec().model), now());
    order.job = owned->id();
    order.revision = job.revision();
    order.item = spec.id;
    order.host = owned->record.host;
    order.path = spec.path;
    for (const auto& [name, value] : spec.headers) {
        wire::Header header;
        header.name = name;
        header.value = value;
        order.headers.push_back(std::move(header));
    }
    order.body = spec.body;
    order.events = toWire(job.items()[index].text.events);
    order.oldestVersion = job.spec().oldestVersion;
    order.model = job.spec().model;
    log(Event::ItemPlaced,
        { { "job", owned->id() }, { "item", spec.id }, { "run", std::to_string(order.run) }, { "agent", replica.agent },
            { "running", std::to_string(replica.running) }, { "version", std::to_string(replica.version(order.model)) },
            { "events", std::to_string(order.events.size()) },
            { "expected", fmt::format("{:.0f}", spec.expectedTokens) } });
    spawn(context_.get_executor(), [this, owned, index, agent = replica.agent, order = std::move(order)] {
        return sendStart(owned, index, agent, order);
    });
}

asio::awaitable<void> ItemDispatcher::sendStart(
    OwnedJobPtr owned, size_t index, std::string agent, wire::ItemStart order)
{
    ++reports_[agent].starting;
    std::string refusal;
    try {
        const PeerConnectionPtr connection = links_.agent(agent);
        if (!connection)
            throw PeerUnavailableError("the agent is not connected");
        std::string payload = wire::encode(order);
        const std::string answered
            = co_await connection->call(MessageType::ItemStart, std::move(payload), now() + startTimeout);
        const auto answer = wire::decode<wire::ItemStartAnswer>(answered);
        if (!answer.isAccepted)
            refusal = answer.reason;
        if (answer.isJobEnded || answer.revision > owned->job.revision())
            doubt_(owned);
    } catch (const Error& error) {
        refusal = error.what();
        if (const PeerConnectionPtr connection = links_.agent(agent))
            connection->notify(MessageType::ItemCancel, encodedCancel(*owned, order.item));
    }
    --reports_[agent].starting;
    const ItemState& item = owned->job.items()[index];
    if (refusal.empty() || item.stage != ItemStage::Running || item.run != order.run)
        co_return;
    log(Event::ItemRefused,
        { { "job", order.job }, { "item", order.item }, { "run", std::to_string(order.run) }, { "agent", agent },
            { "reason", refusal } });
    owned->withdrawnRuns.insert(order.run);
    owned->avoidedAgents[index] = agent;
    owned->job.withdraw(index, now());
    wake();
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
    if (const PeerConnectionPtr connection = links_.agent(agent))
        connection->notify(MessageType::ItemCancel, encodedCancel(owned, owned.job.spec().items[index].id));
}

void ItemDispatcher::giveUpSilent(OwnedJob& owned)
{
    for (size_t i = 0; i < owned.job.items().size(); ++i) {
        const ItemState& item = owned.job.items()[i];
        if (item.stage == ItemStage::Running && now() > item.lastEventAt + silenceLimit)
            withdraw(owned, i, "the run has delivered no event for too long");
    }
}

void ItemDispatcher::onProgress(const PeerConnectionPtr& agent, const wire::ItemProgressNotice& notice)
{
    for (const wire::ItemProgress& progress : notice.items) {
        const auto found = jobs_.find(progress.job);
        const auto index = found == jobs_.end() ? std::nullopt : found->second->job.indexOf(progress.item);
        if (!index || found->second->job.isEnded())
            continue;
        const OwnedJobPtr owned = found->second;
        const RunProgress news { progress.run, static_cast<size_t>(std::max(progress.firstEvent, 0)),
            fromWire(progress.events), fromWire(progress.state), progress.status };
        const ItemState& item = owned->job.items()[*index];
        ItemAction action = ItemAction::None;
        if (item.stage == ItemStage::Running && item.run == progress.run)
            action = owned->job.onProgress(*index, news, now());
        else if (!owned->withdrawnRuns.contains(progress.run))
            action = adopt(*owned, *index, agent->peerName, news);
        if (action == ItemAction::Restart)
            owned->avoidedAgents[*index] = agent->peerName;
        if (action == ItemAction::CancelRun) {
            owned->withdrawnRuns.insert(progress.run);
            agent->notify(MessageType::ItemCancel, encodedCancel(*owned, progress.item));
        }
        act(owned, *index, action);
    }
}

ItemAction ItemDispatcher::adopt(OwnedJob& owned, size_t index, const std::string& agent, const RunProgress& news)
{
    const ItemState& item = owned.job.items()[index];
    const bool wasRunning = item.stage == ItemStage::Running;
    const int64_t ownRun = item.run;
    const std::string ownAgent = item.agent;
    const ItemAction action = owned.job.onAdopted(index, agent, news, now());
    if (!wasRunning || item.run == ownRun)
        return action;
    const std::string& id = owned.job.spec().items[index].id;
    log(Event::ItemMoved,
        { { "job", owned.id() }, { "item", id }, { "run", std::to_string(ownRun) }, { "agent", ownAgent },
            { "events", std::to_string(news.events.size()) }, { "reason", "an earlier owner's run is ahead" } });
    owned.withdrawnRuns.insert(ownRun);
    if (const PeerConnectionPtr connection = links_.agent(ownAgent))
        connection->notify(MessageType::ItemCancel, encodedCancel(owned, id));
    return action;
}

void ItemDispatcher::act(const OwnedJobPtr& owned, size_t index, ItemAction action)
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

void ItemDispatcher::sendOwner(const OwnedJob& owned, const PeerConnectionPtr& connection) const
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
            sendOwner(*owned, connection);
        else
            connection->notify(MessageType::ItemCancel, encodedCancel(*owned, {}));
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

std::string ItemDispatcher::encodedCancel(const OwnedJob& owned, const std::string& item)
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
    const std::string cancel = encodedCancel(owned, {});
    for (const PeerConnectionPtr& agent : links_.agents())
        agent->notify(MessageType::ItemCancel, cancel);
}

} // namespace endiveroad::io
