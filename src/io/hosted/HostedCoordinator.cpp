#include "io/hosted/HostedCoordinator.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"
#include "wire/Codec.h"

#include <algorithm>
#include <array>
#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

/// Interval at which coroutines check the condition that they wait for.
constexpr Duration pollInterval = std::chrono::milliseconds(100);

/// Pause after a failed call to the store.
constexpr Duration retryPause = std::chrono::milliseconds(400);

} // namespace

HostedCoordinator::HostedCoordinator(std::unique_ptr<Platform> platform, HostedOptions options)
    : HostedNode(std::move(platform), HostedRole::Coordinator, options)
    , serviceCaller_(
          context(), servers(), requestLimits(), crashGuard(), [this] { return directory(); }, randomSeed())
    , owner_(
          context(), settings().name, this->platform().batchProtocol(), store(), *this, [this] { return directory(); },
          settings().resultLifetime)
    , scorer_(
          context(), serviceCaller_, [this] { return directory(); }, [this](const OwnedJobPtr&) { owner_.wake(); })
    , dispatcher_(
          context(), owner_.jobs(), *this, scorer_, crashGuard(), [this] { return directory(); },
          [this](const OwnedJobPtr& owned) { owner_.requestOwnershipCheck(owned); })
    , originKeeper_(*this)
    , nextScanAt_(startedAt() + startGrace)
    , retirements_(
          settings().name, this->platform().directoryProtocol(), store(), *this, [this] { return directory(); })
{
    owner_.setWorker(dispatcher_);
    const DutySettings& duties = settings().duties;
    if (!duties.api || !duties.reportsUsage)
        return;
    dutyTransport_ = std::make_unique<HttpDutyTransport>(http(), *duties.api);
    dutyHolder_ = std::make_unique<DutyHolder>(context(), settings().name, incarnation(), duties, store(),
        this->platform().dutyProtocol(), *dutyTransport_, static_cast<DutyPeers&>(*this));
}

void HostedCoordinator::start()
{
    requestLimits().setOnPermit([this] { serviceCaller_.onPermit(); });
    const auto executor = context().get_executor();
    spawnRestarting(executor, [this] { return maintainRegistration(); });
    spawnRestarting(executor, [this] { return runTakeOvers(); });
    spawnRestarting(executor, [this] { return dispatcher_.run(); });
    spawnRestarting(executor, [this] { return owner_.runListing(); });
    spawnRestarting(executor, [this] { return retirements_.run(); });
    if (dutyHolder_)
        startDuties();
}

void HostedCoordinator::startDuties()
{
    const auto executor = context().get_executor();
    spawnRestarting(executor, [this] { return dutyHolder_->runLease(); });
    spawnRestarting(executor, [this] { return dutyHolder_->runReports(); });
    spawnRestarting(executor, [this] { return dutyHolder_->runNotices(); });
}

void HostedCoordinator::announceHolder(const wire::DutyHolderNotice& notice)
{
    const std::string payload = wire::encode(notice);
    for (HostedRole role : { HostedRole::Entry, HostedRole::Coordinator }) {
        for (const PeerConnectionPtr& connection : connectionsOf(role))
            connection->notify(MessageType::DutyHolder, payload);
    }
}

void HostedCoordinator::sendUsage(const std::string& coordinator, const wire::UsageNotice& notice)
{
    if (const PeerConnectionPtr connection = peer(coordinator))
        connection->notify(MessageType::Usage, wire::encode(notice));
}

bool HostedCoordinator::isAlive(const std::string& coordinator) const
{
    if (coordinator == settings().name)
        return true;
    return peer(coordinator) && !isLeaving(coordinator);
}

std::vector<std::string> HostedCoordinator::aliveCoordinators() const
{
    std::vector<std::string> names = activePeers(HostedRole::Coordinator);
    if (!hasAnnouncedLeaving())
        names.push_back(settings().name);
    std::sort(names.begin(), names.end());
    return names;
}

bool HostedCoordinator::isFirst() const
{
    const std::vector<std::string> names = aliveCoordinators();
    return !names.empty() && names.front() == settings().name;
}

void HostedCoordinator::sendOrigins(const std::string& coordinator, const std::string& notice)
{
    if (const PeerConnectionPtr connection = peer(coordinator))
        connection->notify(MessageType::StreamOrigins, notice);
}

PeerConnectionPtr HostedCoordinator::agent(const std::string& name) const
{
    return isLeaving(name) ? nullptr : peer(name);
}

bool HostedCoordinator::mayStartItems() const
{
    const bool isAlone = activePeers(HostedRole::Coordinator).empty() && directory()->coordinators.size() > 1;
    return !isAlone || now() < lastStoreAnswerAt() + isolationLimit;
}

bool HostedCoordinator::isHeardByAll() const
{
    const auto current = directory();
    return std::all_of(current->coordinators.begin(), current->coordinators.end(), [this](const auto& entry) {
        return entry.first == settings().name || now() < heardByPeerAt(entry.first) + hearingLifetime;
    });
}

void HostedCoordinator::announceOwner(const OwnedJob& owned)
{
    for (HostedRole role : { HostedRole::Entry, HostedRole::Agent, HostedRole::Coordinator }) {
        for (const PeerConnectionPtr& connection : connectionsOf(role))
            dispatcher_.sendOwnerNotice(owned, connection);
    }
}

asio::awaitable<void> HostedCoordinator::registerOnce()
{
    if (lease_ != 0 && !co_await store().renewLease(lease_, now() + storeTimeout))
        lease_ = 0;
    if (!retirements_.mayRegister())
        co_return;
    const auto current = directory();
    // The registration is written again if it is missing although its lease has not ended.
    const bool isRegistered = current->coordinators.contains(settings().name);
    if (lease_ != 0 && registeredLease_ == lease_ && isRegistered)
        co_return;
    if (lease_ == 0)
        lease_ = co_await store().grantLease(leaseLifetime, now() + storeTimeout);
    CoordinatorRecord record { settings().name, settings().peers, settings().failureDomain };
    StoreTransaction transaction;
    transaction.conditions = retirements_.registrationConditions();
    transaction.puts.push_back(
        { DirectorySync::coordinatorPrefix + settings().name, DirectorySync::encodeCoordinator(record), lease_ });
    const CommitResult result = co_await store().commit(std::move(transaction), now() + storeTimeout);
    if (!result.isCommitted) {
        retirements_.requireCheck();
        co_return;
    }
    registeredLease_ = lease_;
    retirements_.onRegistered(result.revision);
}

asio::awaitable<void> HostedCoordinator::maintainRegistration()
{
    while (!isDraining()) {
        Duration pause = renewInterval;
        try {
            co_await registerOnce();
        } catch (const Error& error) {
            log(Event::StoreUnavailable, { { "calling", "registration" }, { "reason", error.what() } });
            pause = retryPause;
        }
        co_await sleepFor(pause);
    }
}

asio::awaitable<void> HostedCoordinator::runTakeOvers()
{
    Instant removeAt = now() + scanInterval;
    while (!isDraining()) {
        const bool isScanDue = now() >= nextScanAt_;
        if (hasRestoredJobs_ && !isScanDue) {
            co_await sleepFor(pollInterval);
            continue;
        }
        Duration pause = Duration::zero();
        try {
            nextScanAt_ = isScanDue ? now() + scanInterval : nextScanAt_;
            co_await owner_.takeOverOrphanedJobs(!isScanDue);
            hasRestoredJobs_ = true;
            if (now() >= removeAt && isScanDue) {
                removeAt = now() + scanInterval;
                co_await owner_.removeExpired();
            }
        } catch (const Error& error) {
            log(Event::StoreUnavailable, { { "calling", "take-over" }, { "reason", error.what() } });
            nextScanAt_ = isScanDue ? now() : nextScanAt_;
            pause = retryPause;
        }
        co_await sleepFor(std::max(pause, pollInterval));
    }
}

asio::awaitable<wire::SuccessionAnswer> HostedCoordinator::askSuccession(std::string coordinator, Instant deadline)
{
    const PeerConnectionPtr connection = peer(coordinator);
    if (!connection)
        throw PeerUnavailableError("the connection to the coordinator was lost");
    const std::string answer = co_await connection->call(MessageType::SuccessionQuery, {}, deadline);
    co_return wire::decode<wire::SuccessionAnswer>(answer);
}

wire::SuccessionAnswer HostedCoordinator::ownSuccession() const
{
    wire::SuccessionAnswer answer;
    answer.isServing = isServing();
    answer.isRetiring = retirements_.isRequested();
    answer.entries = static_cast<int32_t>(activePeers(HostedRole::Entry).size());
    answer.agents = static_cast<int32_t>(activePeers(HostedRole::Agent).size());
    return answer;
}

bool HostedCoordinator::isServing() const
{
    const bool isStoreReachable = now() < lastStoreAnswerAt() + isolationLimit;
    const bool hasEntries = !activePeers(HostedRole::Entry).empty();
    return !hasAnnouncedLeaving() && retirements_.isSettled() && hasRestoredJobs_ && directory()->routing
        && isStoreReachable && hasEntries && reachesEngines();
}

bool HostedCoordinator::reachesEngines() const
{
    const auto current = directory();
    size_t engines = 0;
    for (const auto& [service, declaration] : current->routing->services)
        engines += current->runsModels(service) ? current->readyServers(service).size() : 0;
    return 2 * activePeers(HostedRole::Agent).size() >= engines;
}

void HostedCoordinator::onReturn()
{
    if (!isDraining())
        announceReturn();
    // A new revision of the registration voids a report that the store may still carry out.
    registeredLease_ = 0;
    nextScanAt_ = std::min(nextScanAt_, now() + scanDelayAfterLoss);
}

void HostedCoordinator::onDirectoryChanged(const Directory& before, const Directory& current)
{
    serviceCaller_.onDirectory(current);
    for (const auto& [model, version] : current.announcedVersions) {
        if (before.announcedVersion(model) != version)
            dispatcher_.onVersionAnnounced(model);
    }
    dispatcher_.wake();
}

asio::awaitable<std::string> HostedCoordinator::onNodeRequest(PeerConnectionPtr connection, PeerMessage message)
{
    if (message.type == MessageType::StreamOriginQuery)
        co_return originKeeper_.answer(message.payload);
    if (message.type == MessageType::SuccessionQuery)
        co_return wire::encode(ownSuccession());
    if (message.type != MessageType::BatchCall)
        co_return co_await HostedNode::onNodeRequest(connection, std::move(message));
    auto call = wire::decode<wire::BatchCall>(message.payload);
    // A submission holds the body in the payload as well.
    message.payload = {};
    const wire::BatchAnswer answer = co_await owner_.perform(std::move(call), message.deadline);
    co_return wire::encode(answer);
}

void HostedCoordinator::onNodeNotice(const PeerConnectionPtr& connection, const PeerMessage& message)
{
    switch (message.type) {
    case MessageType::ReplicaReport:
        dispatcher_.onReport(connection->peerName, wire::decode<wire::ReplicaReport>(message.payload));
        break;
    case MessageType::ItemProgress:
        dispatcher_.onProgress(connection, wire::decode<wire::ItemProgressNotice>(message.payload));
        owner_.wake();
        break;
    case MessageType::ItemFailures:
        dispatcher_.onFailures(wire::decode<wire::ItemFailureNotice>(message.payload));
        break;
    case MessageType::StreamOrigins:
        originKeeper_.onNotice(connection->peerName, message.payload);
        break;
    case MessageType::Usage:
        if (dutyHolder_)
            dutyHolder_->onUsage(wire::decode<wire::UsageNotice>(message.payload));
        break;
    case MessageType::DutyHolder:
        if (dutyHolder_)
            dutyHolder_->onHolder(wire::decode<wire::DutyHolderNotice>(message.payload));
        break;
    case MessageType::JobOwner: {
        const auto notice = wire::decode<wire::JobOwnerNotice>(message.payload);
        owner_.onOwner(notice);
        dispatcher_.onDemandReport(notice.model, notice.tokensPerSecond);
        break;
    }
    default:
        break;
    }
}

void HostedCoordinator::onPeerUp(const PeerConnectionPtr& connection)
{
    const std::vector<std::string> agentNames = activePeers(HostedRole::Agent);
    const bool isAgent = std::find(agentNames.begin(), agentNames.end(), connection->peerName) != agentNames.end();
    if (isAgent) {
        dispatcher_.onAgentUp(connection);
        return;
    }
    const std::vector<std::string> coordinatorNames = originKeepers();
    if (std::find(coordinatorNames.begin(), coordinatorNames.end(), connection->peerName) != coordinatorNames.end())
        originKeeper_.onCoordinatorUp(connection->peerName);
    for (const auto& [id, owned] : owner_.jobs())
        dispatcher_.sendOwnerNotice(*owned, connection);
    // An entry ignores it.
    if (const auto failures = dispatcher_.encodeFailures())
        connection->notify(MessageType::ItemFailures, *failures);
}

void HostedCoordinator::onPeerDown(const std::string& name)
{
    dispatcher_.onAgentDown(name);
    if (now() > startedAt() + startGrace)
        nextScanAt_ = std::min(nextScanAt_, now() + scanDelayAfterLoss);
}

std::vector<Gauge> HostedCoordinator::gauges() const
{
    std::vector<Gauge> gauges { { "endiveroad_owned_jobs", "", "Batch jobs that this coordinator owns.",
                                    static_cast<double>(owner_.jobs().size()) },
        { "endiveroad_open_jobs", "", "Those of them that have not ended.", static_cast<double>(owner_.openJobs()) },
        { "endiveroad_known_streams", "", "Streams whose first software version this process keeps for entries.",
            static_cast<double>(originKeeper_.size()) },
        { "endiveroad_known_replicas", "", "Replicas whose agents have reported.",
            static_cast<double>(dispatcher_.replicaCount()) },
        { "endiveroad_overloaded_services", "",
            "Services whose items wait in the order for overload: not all of their steps can be complete in time.",
            static_cast<double>(dispatcher_.overloadedServices()) },
        { "endiveroad_retirement_held", "",
            "1 while the operator retires this VM and it stays, since no other coordinator could do its work.",
            retirements_.isHeld() ? 1.0 : 0.0 } };
    if (dutyHolder_) {
        gauges.push_back({ "endiveroad_duty_holder", "", "1 while this process holds the duties towards the platform.",
            dutyHolder_->isHolder() ? 1.0 : 0.0 });
        gauges.push_back({ "endiveroad_usage_pending", "",
            "Usage reports that are fixed and not known to be carried out; of the holder only.",
            dutyHolder_->isHolder() ? static_cast<double>(dutyHolder_->pendingReports()) : 0.0 });
    }
    // The metric's label calls finished items "unlisted": they have a result that is not listed yet.
    constexpr std::array stages { std::pair(ItemStage::Waiting, "waiting"), std::pair(ItemStage::Running, "running"),
        std::pair(ItemStage::Scoring, "scoring"), std::pair(ItemStage::Finished, "unlisted") };
    for (const auto& [model, items] : dispatcher_.itemCounts()) {
        for (const auto& [stage, name] : stages) {
            const auto found = items.find(stage);
            gauges.push_back(
                { "endiveroad_items", fmt::format("model=\"{}\",state=\"{}\"", escapeLabelValue(model), name),
                    "Items of open jobs that are not listed yet.",
                    found == items.end() ? 0.0 : static_cast<double>(found->second) });
        }
    }
    return gauges;
}

asio::awaitable<void> HostedCoordinator::drain()
{
    announceLeaving();
    const Instant end = now() + handoverTime;
    // Without another coordinator nobody takes the jobs over before this process starts again.
    while (now() < end && owner_.openJobs() > 0 && !aliveCoordinators().empty())
        co_await sleepFor(pollInterval / 4);
    if (dutyHolder_)
        co_await dutyHolder_->end();
    try {
        if (lease_ != 0)
            co_await store().endLease(lease_, now() + handoverTime);
    } catch (const Error& error) {
        // Without an explicit end the registration expires with its lease, some seconds later.
        log(Event::StoreUnavailable, { { "calling", "registration" }, { "reason", error.what() } });
    }
}

} // namespace endiveroad::io
