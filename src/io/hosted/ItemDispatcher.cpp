#include "io/hosted/ItemDispatcher.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

/// Minimum pause between two rounds of decisions, so that events in quick succession share a round.
constexpr Duration roundPause = std::chrono::milliseconds(8);

/// Longest time between two rounds while jobs are open, and while none is.
constexpr Duration busyInterval = std::chrono::milliseconds(100);
constexpr Duration idleInterval = std::chrono::milliseconds(400);

/// Maximum number of runs that are moved in one round, for each service.
constexpr size_t maxMovesPerRound = 4;

/// Assumed time between two events while no replica's is known.
constexpr double defaultEventMs = 30;

/// When an item has waited for a replica that may go on with its text as long as a new text would take.
Instant beginAnewAt(const ItemState& item, double medianMs)
{
    const double eventMs = medianMs > 0 ? medianMs : defaultEventMs;
    const std::chrono::duration<double, std::milli> cost(eventMs * static_cast<double>(item.text.events.size()));
    return item.lastEventAt == Instant::min() ? item.lastEventAt
                                              : item.lastEventAt + std::chrono::duration_cast<Duration>(cost);
}

} // namespace

ItemDispatcher::ItemDispatcher(asio::io_context& context, const JobTable& jobs, AgentConnections& connections,
    ItemScorer& scorer, CrashGuard& crashGuard, DirectorySource directory, OnOwnershipUncertain onOwnershipUncertain)
    : context_(context)
    , jobs_(jobs)
    , connections_(connections)
    , scorer_(scorer)
    , crashGuard_(crashGuard)
    , directory_(std::move(directory))
    , onOwnershipUncertain_(std::move(onOwnershipUncertain))
    , wake_(context)
{
}

asio::awaitable<void> ItemDispatcher::run()
{
    while (true) {
        runRound();
        co_await sleepFor(roundPause);
        const bool isBusy
            = std::any_of(jobs_.begin(), jobs_.end(), [](const auto& entry) { return !entry.second->job.isEnded(); });
        co_await wake_.wait(std::min(trialAt_, now() + (isBusy ? busyInterval : idleInterval)));
    }
}

void ItemDispatcher::runRound()
{
    trialAt_ = never;
    for (const auto& [id, owned] : jobs_) {
        if (owned->job.isEnded())
            continue;
        withdrawSilentRuns(*owned);
        terminateUnroutable(*owned);
        for (size_t item : owned->job.terminateOverdue(now())) {
            log(Event::ItemTerminated,
                { { "job", id }, { "item", owned->job.spec().items[item].id }, { "reason", "it waited too long" } });
        }
    }
    auto byService = replicaViews();
    for (auto& [service, replicas] : byService) {
        startWaitingItems(service, replicas);
        moveRuns(service, replicas);
    }
    requestWeightLoads(byService);
}

std::string ItemDispatcher::serviceOf(const OwnedJob& owned) const
{
    const auto directory = directory_();
    const auto& items = owned.job.spec().items;
    if (!directory->routing || items.empty())
        return {};
    const RouteDeclaration* route = directory->routing->batchRoute(owned.record.host, owned.routedPath());
    if (!route || route->services.empty())
        return {};
    const auto heaviest = std::max_element(route->services.begin(), route->services.end(),
        [](const WeightedService& a, const WeightedService& b) { return a.weight < b.weight; });
    return heaviest->service;
}

void ItemDispatcher::terminateUnroutable(OwnedJob& owned)
{
    const auto directory = directory_();
    const auto& items = owned.job.spec().items;
    if (!directory->routing || items.empty() || !owned.record.isRouteRemoved(*directory->routing, owned.routedPath()))
        return;
    const std::vector<size_t> terminated = owned.job.terminateAll();
    if (!terminated.empty())
        log(Event::JobRouteRemoved,
            { { "job", owned.id() }, { "route", owned.record.route }, { "items", std::to_string(terminated.size()) },
                { "acceptedUnder", std::to_string(owned.record.configuration) },
                { "configuration", std::to_string(directory->routing->version) } });
}

SoftwareVersion ItemDispatcher::softwareOf(const std::string& agent) const
{
    const auto report = reports_.find(agent);
    const auto directory = directory_();
    const auto server
        = report == reports_.end() ? directory->servers.end() : directory->servers.find(report->second.last.server);
    return server == directory->servers.end() ? SoftwareVersion() : server->second.software();
}

std::map<std::string, std::vector<ReplicaView>> ItemDispatcher::replicaViews() const
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
        view.isUp = report.last.isUp && connections_.agent(name);
        const auto own = ownRuns.find(name);
        view.ownRuns = own == ownRuns.end() ? 0 : own->second;
        view.running = std::max(report.last.running + report.starting, own == ownRuns.end() ? 0 : own->second);
        view.slots = report.last.slots;
        for (const wire::ModelVersion& row : report.last.models)
            view.versions[row.model] = row.version;
        view.loadingModel = report.last.loadingModel;
        view.eventMs = report.last.eventMs;
        view.software = softwareOf(name);
        // The wire format calls the service a pool.
        byService[report.last.pool].push_back(std::move(view));
    }
    return byService;
}

std::optional<std::vector<StepView>> ItemDispatcher::stepViews(const std::string& service) const
{
    const auto directory = directory_();
    if (!directory->routing)
        return std::nullopt;
    std::vector<StepView> steps;
    for (const auto& [id, owned] : jobs_) {
        const BatchJobSpec& spec = owned->job.spec();
        if (owned->job.isEnded() || owned->isLost || spec.items.empty() || serviceOf(*owned) != service)
            continue;
        const auto eventsPerToken = textLengths_.eventsPerToken(spec.model);
        const RouteDeclaration* route = directory->routing->batchRoute(owned->record.host, owned->routedPath());
        if (!eventsPerToken || !route)
            return std::nullopt;
        StepView step;
        step.job = id;
        step.organisation = owned->record.organisation;
        step.priority = directory->routing->priorityOf(*route, step.organisation);
        step.model = spec.model;
        step.oldestVersion = spec.oldestVersion;
        step.dueAt = owned->job.policy().dueAt;
        step.terminateAt = owned->job.policy().terminateAt;
        step.targetGroups = spec.targetGroups;
        for (size_t i = 0; i < spec.items.size(); ++i) {
            const ItemState& state = owned->job.items()[i];
            StepItem item;
            item.group = spec.items[i].group;
            item.expectedTokens = spec.items[i].expectedTokens * *eventsPerToken;
            item.generatedTokens = static_cast<double>(state.text.events.size());
            item.agent = state.stage == ItemStage::Running ? state.agent : std::string();
            item.isGenerated = state.stage != ItemStage::Waiting && state.stage != ItemStage::Running;
            step.items.push_back(std::move(item));
        }
        steps.push_back(std::move(step));
    }
    return steps;
}

std::vector<size_t> ItemDispatcher::orderOf(
    const std::string& service, const std::vector<WaitingItem>& waiting, const std::vector<ReplicaView>& replicas)
{
    overloaded_.erase(service);
    const bool hasFreeSlot = std::any_of(
        replicas.begin(), replicas.end(), [](const ReplicaView& replica) { return replica.hasFreeSlot(); });
    if (waiting.empty() || !hasFreeSlot)
        return {};
    const auto steps = stepViews(service);
    if (!steps)
        return dueTimeOrder(waiting);
    ItemOrder order = orderItems(waiting, *steps, replicas, now());
    if (order.isOverloaded)
        overloaded_.insert(service);
    return std::move(order.order);
}

void ItemDispatcher::startWaitingItems(const std::string& service, std::vector<ReplicaView>& replicas)
{
    if (!connections_.mayStartItems())
        return;
    const double medianMs = medianEventMs(replicas);
    std::vector<WaitingItem> waiting;
    for (const auto& [id, owned] : jobs_) {
        if (owned->isLost || owned->isCheckingOwnership || now() < owned->startNotBefore
            || serviceOf(*owned) != service)
            continue;
        const BatchJobSpec& spec = owned->job.spec();
        for (size_t item : owned->job.waiting(now())) {
            const ContentId& content = owned->contents[item];
            if (crashGuard_.announcedServer(content))
                trialAt_ = std::min(trialAt_, crashGuard_.nextCheckAt(content));
            if (crashGuard_.blockedUntil(content) || crashGuard_.isPending(content))
                continue;
            waiting.push_back({ id, item, spec.items[item].group, spec.model, spec.oldestVersion,
                owned->job.policy().dueAt, spec.items[item].expectedTokens, agentsToAvoid(*owned, item) });
            const ItemState& state = owned->job.items()[item];
            if (state.text.software.isKnown()) {
                waiting.back().software = state.text.software;
                waiting.back().mayBeginAnew = now() > beginAnewAt(state, medianMs);
            }
        }
    }
    for (const Placement& placement : placeInOrder(waiting, orderOf(service, waiting, replicas), replicas)) {
        const WaitingItem& item = waiting[placement.waitingIndex];
        const auto view = std::find_if(replicas.begin(), replicas.end(),
            [&](const ReplicaView& replica) { return replica.agent == placement.agent; });
        const OwnedJobPtr& owned = jobs_.at(item.job);
        const std::string& server = reports_[placement.agent].last.server;
        const ContentId& content = owned->contents[item.itemIndex];
        if (crashGuard_.admit(content, server))
            startItem(owned, item.itemIndex, *view);
        else if (crashGuard_.announcedServer(content))
            trialAt_ = std::min(trialAt_, crashGuard_.nextCheckAt(content));
    }
}

std::set<std::string> ItemDispatcher::agentsToAvoid(const OwnedJob& owned, size_t item) const
{
    const auto announced = crashGuard_.announcedServer(owned.contents[item]);
    if (!announced)
        return owned.agentsToAvoid(item);
    std::set<std::string> agents;
    for (const auto& [agent, report] : reports_) {
        if (report.last.server != *announced)
            agents.insert(agent);
    }
    return agents;
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
    const auto moveCount = owned.moveCounts.find(index);
    const bool mayMoveAgain = moveCount == owned.moveCounts.end() || moveCount->second < maxFinalMoves;
    return mayMoveAgain && now() > owned.job.policy().dueAt - finalMoveLeadTime
        && wouldSpeedUp(from, spec.model, spec.oldestVersion, replicas);
}

void ItemDispatcher::moveRuns(const std::string& service, std::vector<ReplicaView>& replicas)
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
            ++owned->moveCounts[i];
            --from->second->running;
            ++moved;
            withdraw(*owned, i,
                fmt::format("{:.0f} ms an event, median {:.0f}", from->second->eventMs, medianEventMs(replicas)));
        }
    }
}

void ItemDispatcher::requestWeightLoads(const std::map<std::string, std::vector<ReplicaView>>& byService)
{
    const auto directory = directory_();
    if (!directory->routing)
        return;
    for (const auto& [id, owned] : jobs_) {
        if (!owned->job.isEnded() && !owned->isLost)
            loads_.onOpenJob(owned->job.spec().model, serviceOf(*owned), now());
    }
    for (const auto& [service, replicas] : byService) {
        for (const WeightLoadChoice& choice : loads_.choose(service, replicas, jobs_, *directory, now())) {
            const PeerConnectionPtr connection = connections_.agent(choice.agent);
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

std::map<std::string, std::map<ItemStage, size_t>> ItemDispatcher::itemCounts() const
{
    std::map<std::string, std::map<ItemStage, size_t>> counts;
    for (const auto& [id, owned] : jobs_) {
        if (owned->job.isEnded())
            continue;
        for (const ItemState& item : owned->job.items())
            ++counts[owned->job.spec().model][item.stage];
    }
    return counts;
}

void ItemDispatcher::onReport(const std::string& agent, const wire::ReplicaReport& report)
{
    reports_[agent].last = report;
    wake();
}

void ItemDispatcher::onDemandReport(const std::string& model, double tokensPerSecond)
{
    loads_.onDemandReport(model, tokensPerSecond);
}

void ItemDispatcher::onVersionAnnounced(const std::string& model)
{
    loads_.onVersionAnnounced(model, now());
    wake();
}

void ItemDispatcher::onJob(const OwnedJobPtr& owned)
{
    loads_.onJob(*owned);
    const BatchJobSpec& spec = owned->job.spec();
    for (size_t i = 0; i < spec.items.size(); ++i) {
        if (const auto text = textCache_.find(spec.items[i].id, now()))
            performAction(owned, i, owned->job.onEarlierText(i, *text));
        applyFailures(owned, i);
    }
    wake();
}

} // namespace endiveroad::io
