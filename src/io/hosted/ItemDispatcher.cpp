#include "io/hosted/ItemDispatcher.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"
#include "io/hosted/WireEvents.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

/// Pause between two rounds of decisions: what comes together is decided together.
constexpr Duration roundPause = std::chrono::milliseconds(8);

/// Longest time between two rounds while jobs are open, and else.
constexpr Duration busyInterval = std::chrono::milliseconds(100);
constexpr Duration idleInterval = std::chrono::milliseconds(400);

/// Runs that are moved in one round.
constexpr size_t maxMovesPerRound = 4;

} // namespace

ItemDispatcher::ItemDispatcher(asio::io_context& context, const JobTable& jobs, AgentLinks& links, ItemScorer& scorer,
    DirectorySource directory, OnDoubt doubt)
    : context_(context)
    , jobs_(jobs)
    , links_(links)
    , scorer_(scorer)
    , directory_(std::move(directory))
    , doubt_(std::move(doubt))
    , wake_(context)
{
}

asio::awaitable<void> ItemDispatcher::run()
{
    while (true) {
        tick();
        co_await sleepFor(roundPause);
        const bool isBusy
            = std::any_of(jobs_.begin(), jobs_.end(), [](const auto& entry) { return !entry.second->job.isEnded(); });
        co_await wake_.wait(now() + (isBusy ? busyInterval : idleInterval));
    }
}

void ItemDispatcher::tick()
{
    for (const auto& [id, owned] : jobs_) {
        if (owned->job.isEnded())
            continue;
        giveUpSilent(*owned);
        terminateOrphans(*owned);
        for (size_t item : owned->job.giveUpOverdue(now())) {
            log(Event::ItemTerminated,
                { { "job", id }, { "item", owned->job.spec().items[item].id }, { "reason", "it waited too long" } });
        }
    }
    auto byService = views();
    for (auto& [service, replicas] : byService) {
        place(service, replicas);
        move(service, replicas);
    }
    load(byService);
}

std::string ItemDispatcher::serviceOf(const OwnedJob& owned) const
{
    const auto directory = directory_();
    const auto& items = owned.job.spec().items;
    if (!directory->routing || items.empty())
        return {};
    const RouteDeclaration* route = directory->routing->match(owned.record.host, items.front().path);
    if (!route || route->services.empty())
        return {};
    const auto heaviest = std::max_element(route->services.begin(), route->services.end(),
        [](const WeightedService& a, const WeightedService& b) { return a.weight < b.weight; });
    return heaviest->service;
}

/// Items whose route is no longer configured can never run.
void ItemDispatcher::terminateOrphans(OwnedJob& owned)
{
    if (directory_()->routing && serviceOf(owned).empty())
        owned.job.giveUpAll();
}

std::map<std::string, std::vector<ReplicaView>> ItemDispatcher::views() const
{
    std::map<std::string, int32_t> ownRuns;
    for (const auto& [id, owned] : jobs_) {
        for (const ItemState& item : owned->job.items()) {
            if (!owned->job.isEnded() && item.stage == ItemStage::Running)
                ++ownRuns[item.agent];
        }
    }
    std::map<std::string, std::vector<ReplicaView>> byService;
    for (const auto& [name, report] : reports_) {
        ReplicaView view;
        view.agent = name;
        view.failureDomain = report.last.failureDomain;
        view.isUp = report.last.isUp && links_.agent(name);
        const auto own = ownRuns.find(name);
        view.running = std::max(report.last.running + report.starting, own == ownRuns.end() ? 0 : own->second);
        view.slots = report.last.slots;
        for (const wire::ModelVersion& row : report.last.models)
            view.versions[row.model] = row.version;
        view.loadingModel = report.last.loadingModel;
        view.eventMs = report.last.eventMs;
        byService[report.last.pool].push_back(std::move(view));
    }
    return byService;
}

void ItemDispatcher::place(const std::string& service, std::vector<ReplicaView>& replicas)
{
    if (!links_.mayAct())
        return;
    std::vector<WaitingItem> waiting;
    for (const auto& [id, owned] : jobs_) {
        if (owned->isLost || owned->isInDoubt || now() < owned->placeFrom || serviceOf(*owned) != service)
            continue;
        const BatchJobSpec& spec = owned->job.spec();
        for (size_t item : owned->job.waiting(now())) {
            const auto avoided = owned->avoidedAgents.find(item);
            waiting.push_back({ id, item, spec.items[item].group, spec.model, spec.oldestVersion,
                owned->job.policy().dueAt, spec.items[item].expectedTokens,
                avoided == owned->avoidedAgents.end() ? std::string() : avoided->second });
        }
    }
    for (const Placement& placement : placeItems(waiting, replicas)) {
        const WaitingItem& item = waiting[placement.waiting];
        const auto view = std::find_if(replicas.begin(), replicas.end(),
            [&](const ReplicaView& replica) { return replica.agent == placement.agent; });
        startItem(jobs_.at(item.job), item.item, *view);
    }
}

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
            withdraw(owned, i, "no news of the run");
    }
}

bool ItemDispatcher::isMoveDue(
    const OwnedJob& owned, size_t index, const ReplicaView& from, const std::vector<ReplicaView>& replicas) const
{
    const ItemState& item = owned.job.items()[index];
    const BatchJobSpec& spec = owned.job.spec();
    if (now() < item.startedAt + minRunBeforeMove)
        return false;
    if (shouldMove(from, spec.model, spec.oldestVersion, replicas))
        return true;
    const auto speedups = owned.speedups.find(index);
    const bool mayMoveAgain = speedups == owned.speedups.end() || speedups->second < maxSpeedups;
    return mayMoveAgain && now() > owned.job.policy().dueAt - finalStretch
        && wouldSpeedUp(from, spec.model, spec.oldestVersion, replicas);
}

void ItemDispatcher::move(const std::string& service, std::vector<ReplicaView>& replicas)
{
    std::map<std::string, ReplicaView*> byAgent;
    for (ReplicaView& replica : replicas)
        byAgent[replica.agent] = &replica;
    size_t moved = 0;
    for (const auto& [id, owned] : jobs_) {
        const bool isMovable
            = !owned->job.isEnded() && serviceOf(*owned) == service && owned->job.waiting(never).empty();
        for (size_t i = 0; isMovable && i < owned->job.items().size() && moved < maxMovesPerRound; ++i) {
            const ItemState& item = owned->job.items()[i];
            const auto from = byAgent.find(item.agent);
            if (item.stage != ItemStage::Running || from == byAgent.end()
                || !isMoveDue(*owned, i, *from->second, replicas))
                continue;
            ++owned->speedups[i];
            --from->second->running;
            ++moved;
            withdraw(*owned, i,
                fmt::format("{:.0f} ms an event, median {:.0f}", from->second->eventMs, medianEventMs(replicas)));
        }
    }
}

void ItemDispatcher::load(const std::map<std::string, std::vector<ReplicaView>>& byService)
{
    const auto directory = directory_();
    if (!directory->routing)
        return;
    for (const auto& [id, owned] : jobs_) {
        if (!owned->job.isEnded() && !owned->isLost)
            loads_.onOpenJob(owned->job.spec().model, serviceOf(*owned), now());
    }
    for (const auto& [service, replicas] : byService) {
        for (const LoadChoice& choice : loads_.choose(service, replicas, jobs_, *directory, now())) {
            const PeerConnectionPtr connection = links_.agent(choice.agent);
            if (!connection)
                continue;
            log(Event::WeightLoadAsked,
                { { "agent", choice.agent }, { "model", choice.model },
                    { "version", std::to_string(choice.version) } });
            wire::LoadModelNotice notice;
            notice.model = choice.model;
            notice.version = choice.version;
            connection->notify(MessageType::LoadModel, wire::encode(notice));
        }
    }
}

void ItemDispatcher::onReport(const std::string& agent, const wire::ReplicaReport& report)
{
    reports_[agent].last = report;
    wake();
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

void ItemDispatcher::onDemand(const std::string& model, double tokensPerSecond)
{
    loads_.onDemand(model, tokensPerSecond);
}

void ItemDispatcher::onVersionNamed(const std::string& model)
{
    loads_.onVersionNamed(model, now());
    wake();
}

void ItemDispatcher::onJob(const OwnedJobPtr& owned)
{
    loads_.onJob(*owned);
    const BatchJobSpec& spec = owned->job.spec();
    for (size_t i = 0; i < spec.items.size(); ++i) {
        if (const auto text = carried_.find(spec.items[i].id, now()))
            act(owned, i, owned->job.onCarried(i, *text));
    }
    wake();
}

/// An empty item stands for all of the job; only a job that has ended has all its runs cancelled.
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
