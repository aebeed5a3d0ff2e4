#include "io/hosted/HostedNode.h"

#include "io/CallerBudget.h"
#include "io/Clock.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"
#include "io/Tasks.h"
#include "wire/Codec.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <endiveroad/Error.h>
#include <endiveroad/Rendezvous.h>
#include <endiveroad_types.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

/// Time after the start in which an entry or an agent waits for a coordinator that reads the directory, before it reads
/// the store itself. Short for entries, which have callers waiting; agents have no work without a coordinator.
constexpr Duration entryReaderTimeout = std::chrono::milliseconds(60);
constexpr Duration agentReaderTimeout = std::chrono::milliseconds(600);

/// Time after the start in which the seed addresses are used besides the registered coordinators, since some
/// coordinators may not have registered yet.
constexpr Duration seedTime = std::chrono::seconds(6);

/// Interval at which the settings file is read again, because it may change without a SIGHUP.
constexpr Duration settingsInterval = std::chrono::seconds(2);

/// Time for the last answers to be sent before the process exits.
constexpr Duration answerFlushTime = std::chrono::milliseconds(50);

std::string roleName(HostedRole role)
{
    switch (role) {
    case HostedRole::Entry:
        return "entry";
    case HostedRole::Agent:
        return "agent";
    case HostedRole::Coordinator:
        return "coordinator";
    }
    return {};
}

HostedRole roleOf(const std::string& name)
{
    if (name == "coordinator")
        return HostedRole::Coordinator;
    return name == "agent" ? HostedRole::Agent : HostedRole::Entry;
}

ReaderElection readerElection(HostedRole role, const HostedSettings& settings)
{
    if (role == HostedRole::Coordinator)
        return { settings.name, now() };
    return { std::nullopt, now() + (role == HostedRole::Entry ? entryReaderTimeout : agentReaderTimeout) };
}

} // namespace

HostedNode::HostedNode(std::unique_ptr<Platform> platform, HostedRole role, HostedOptions options)
    : platform_(std::move(platform))
    , role_(role)
    , options_(options)
    , lastReadSettings_(platform_->readSettings())
    , settings_(lastReadSettings_)
    , startedAt_(now())
    , incarnation_(wallMs())
    , signals_(context_, SIGTERM, SIGINT, SIGHUP)
    , directStore_(http_, settings_.store)
    , relayedStore_(directStore_, [this] { return relays(); })
    , store_(platform_->makeStore(relayedStore_))
    , directorySync_(std::make_unique<DirectorySync>(platform_->directoryProtocol(), *store_,
          static_cast<DirectoryListener&>(*this), readerElection(role, settings_)))
    , leavingNews_(
          *directorySync_, [this](const std::string& notice) { notifyPeers(MessageType::ServersLeaving, notice); })
    , requestLimits_(context_, static_cast<PermitPeers&>(*this), static_cast<int64_t>(randomSeed()))
    , servers_(http_, platform_->replicaProtocol(), leavingNews_, requestLimits_)
    , crashGuard_(
          http_, [this] { return directory(); }, static_cast<CrashListener&>(*this), randomSeed())
    , crashStore_(
          context_, *store_, crashGuard_, [this] { return crashStorePart(); }, role == HostedRole::Coordinator)
    , acceptor_(context_, *this, [this](const PeerConnectionPtr& connection) { sendHello(connection); })
    , mesh_(context_, *this, [this](const std::string&, const PeerConnectionPtr& connection) { sendHello(connection); })
{
}

HostedNode::~HostedNode() = default;

uint64_t HostedNode::randomSeed() const
{
    return static_cast<uint64_t>(incarnation_) ^ std::hash<std::string>()(settings_.name);
}

void HostedNode::run()
{
    Log::instance().configure(LogFormat::Json, LogLevel::Info, settings_.name);
    Log::instance().setNonBlocking();
    log(Event::ProcessStarted,
        { { "role", roleName(role_) }, { "incarnation", std::to_string(incarnation_) },
            { "failureDomain", settings_.failureDomain } });
    const CallerBounds bounds = CallerBounds::of(settings_.memoryBytes, settings_.maxDescriptors);
    setProcessCallerBudget(std::make_shared<CallerBudget>(bounds));
    waitForSignal();
    acceptor_.listen(settings_.peers);
    if (options_.metricsPort) {
        metricsServer_ = std::make_unique<HttpServer>(static_cast<HttpHandler&>(*this));
        metricsServer_->start(context_, { settings_.host, *options_.metricsPort });
    }
    connectToCoordinators();
    spawn(context_.get_executor(), [this]() -> asio::awaitable<void> {
        co_await sleepFor(seedTime);
        connectToCoordinators();
    });
    spawnRestarting(context_.get_executor(), [this] { return pollSettings(); });
    spawnRestarting(context_.get_executor(), [this] { return directorySync_->readServers(); });
    spawnRestarting(context_.get_executor(), [this] { return directorySync_->watchOperatorDocuments(); });
    spawnRestarting(context_.get_executor(), [this] { return crashStore_.run(); });
    start();
    context_.run();
    log(Event::ProcessStopped);
}

void HostedNode::waitForSignal()
{
    signals_.async_wait([this](boost::system::error_code error, int number) {
        if (error)
            return;
        waitForSignal();
        if (number == SIGHUP)
            return reloadSettings();
        if (isDraining_)
            return;
        isDraining_ = true;
        log(Event::ProcessStopping);
        spawn(context_.get_executor(), [this] { return stopGracefully(); });
    });
}

asio::awaitable<void> HostedNode::pollSettings()
{
    while (!isDraining_) {
        co_await sleepFor(settingsInterval);
        reloadSettings();
    }
}

void HostedNode::reloadSettings()
{
    try {
        const HostedSettings settings = platform_->readSettings();
        if (settings == lastReadSettings_)
            return;
        lastReadSettings_ = settings;
        settings_.seeds = settings.seeds;
        settings_.store = settings.store;
        settings_.graceTime = settings.graceTime;
        settings_.resultLifetime = settings.resultLifetime;
        directStore_.setAddress(settings_.store);
        log(Event::SettingsReloaded, { { "store", settings_.store.text() } });
        connectToCoordinators();
    } catch (const Error& error) {
        log(Event::SettingsRefused, { { "reason", error.what() } });
    }
}

asio::awaitable<void> HostedNode::stopGracefully()
{
    log(Event::DrainStarted);
    co_await drain();
    log(Event::DrainFinished);
    co_await sleepFor(answerFlushTime);
    context_.stop();
}

void HostedNode::connectToCoordinators()
{
    const bool areSeedsNeeded = now() < startedAt_ + seedTime;
    std::map<std::string, Address> targets;
    for (const Address& address : directorySync_->current()->coordinatorAddresses(settings_.seeds, areSeedsNeeded)) {
        // A coordinator must not connect to itself. Compare by host only: its own registration may state another port.
        const bool isSelf = role_ == HostedRole::Coordinator && address.host == settings_.peers.host;
        if (!isSelf)
            targets.emplace(address.text(), address);
    }
    mesh_.setTargets(targets);
}

void HostedNode::sendHello(const PeerConnectionPtr& connection)
{
    wire::Hello hello;
    hello.node = settings_.name;
    hello.role = roleName(role_);
    hello.incarnation = incarnation_;
    connection->notify(MessageType::Hello, wire::encode(hello));
    connection->notify(MessageType::DirectoryUpdate, directorySync_->encodeDocuments());
    if (const auto crashes = crashGuard_.encodeAll())
        connection->notify(MessageType::CrashNotice, *crashes);
    if (const auto leaving = leavingNews_.encodeAll())
        connection->notify(MessageType::ServersLeaving, *leaving);
    const auto limits = role_ == HostedRole::Coordinator ? requestLimits_.encodeAll() : std::nullopt;
    if (limits)
        connection->notify(MessageType::LimitsInForce, *limits);
    if (hasAnnouncedLeaving())
        connection->notify(MessageType::Leaving, {});
    connection->restartConfirmation();
}

void HostedNode::onHello(const PeerConnectionPtr& connection, const std::string& payload)
{
    const auto hello = wire::decode<wire::Hello>(payload);
    connection->peerName = hello.node;
    Peer& peer = peers_[hello.node];
    peer.role = roleOf(hello.role);
    peer.connections.push_back(connection);
    leavingPeers_.erase(hello.node);
    log(Event::PeerConnected, { { "peer", hello.node }, { "role", hello.role } });
    onPeerUp(connection);
}

PeerConnectionPtr HostedNode::peer(const std::string& name) const
{
    const auto found = peers_.find(name);
    if (found == peers_.end() || found->second.connections.empty())
        return nullptr;
    return found->second.connections.back();
}

Instant HostedNode::heardByPeerAt(const std::string& name) const
{
    const auto found = peers_.find(name);
    if (found == peers_.end())
        return Instant::min();
    Instant latest = Instant::min();
    for (const PeerConnectionPtr& connection : found->second.connections)
        latest = std::max(latest, connection->confirmedAt());
    return latest;
}

std::vector<std::string> HostedNode::activePeers(HostedRole role) const
{
    std::vector<std::string> names;
    for (const auto& [name, peer] : peers_) {
        if (peer.role == role && !peer.connections.empty() && !leavingPeers_.contains(name))
            names.push_back(name);
    }
    return names;
}

std::vector<PeerConnectionPtr> HostedNode::connectionsOf(HostedRole role) const
{
    std::vector<PeerConnectionPtr> connections;
    for (const auto& [name, peer] : peers_) {
        if (peer.role == role && !peer.connections.empty())
            connections.push_back(peer.connections.back());
    }
    return connections;
}

std::vector<PeerConnectionPtr> HostedNode::relays() const
{
    return connectionsOf(HostedRole::Coordinator);
}

void HostedNode::announceLeaving()
{
    notifyOnAllConnections(MessageType::Leaving);
}

void HostedNode::announceReturn()
{
    notifyOnAllConnections(MessageType::Returning);
}

void HostedNode::notifyOnAllConnections(MessageType type)
{
    for (const auto& [name, peer] : peers_) {
        for (const PeerConnectionPtr& connection : peer.connections)
            connection->notify(type, {});
    }
}

asio::awaitable<std::string> HostedNode::onRequest(PeerConnectionPtr connection, PeerMessage message)
{
    if (message.type == MessageType::StoreCall)
        co_return co_await relayStoreCall(directStore_, std::move(message));
    if (message.type == MessageType::PermitRequest)
        co_return co_await requestLimits_.onRequest(std::move(message.payload), message.deadline, message.cancellation);
    co_return co_await onNodeRequest(std::move(connection), std::move(message));
}

asio::awaitable<std::string> HostedNode::onNodeRequest(PeerConnectionPtr, PeerMessage)
{
    throw BadRequestError("this process does not serve requests of that type");
    co_return std::string();
}

void HostedNode::onNotice(const PeerConnectionPtr& connection, const PeerMessage& message)
{
    try {
        switch (message.type) {
        case MessageType::Hello:
            onHello(connection, message.payload);
            break;
        case MessageType::DirectoryUpdate:
            directorySync_->onPeerUpdate(connection->peerName, message.payload);
            break;
        case MessageType::CrashNotice:
            crashGuard_.onNotice(*connection, message.payload);
            break;
        case MessageType::ServersLeaving:
            onLeavingNotice(connection, message.payload);
            break;
        case MessageType::LimitsHeard:
            if (const auto correction = requestLimits_.onHeardNotice(message.payload))
                connection->notify(MessageType::LimitsInForce, *correction);
            break;
        case MessageType::LimitsInForce:
            requestLimits_.onInForceNotice(message.payload);
            break;
        case MessageType::Leaving:
            leavingPeers_.insert(connection->peerName);
            onPeerDown(connection->peerName);
            break;
        case MessageType::Returning:
            leavingPeers_.erase(connection->peerName);
            break;
        default:
            onNodeNotice(connection, message);
        }
    } catch (const std::exception& error) {
        log(Event::FrameRefused, { { "peer", connection->peerName }, { "reason", error.what() } });
    }
}

void HostedNode::onClosed(const PeerConnectionPtr& connection)
{
    acceptor_.forget(connection);
    const auto found = peers_.find(connection->peerName);
    if (found == peers_.end())
        return;
    std::erase(found->second.connections, connection);
    if (!found->second.connections.empty())
        return;
    const std::string name = found->first;
    peers_.erase(found);
    leavingPeers_.erase(name);
    log(Event::PeerLost, { { "peer", name } });
    onPeerDown(name);
}

void HostedNode::onDirectory(std::shared_ptr<const Directory> before, std::shared_ptr<const Directory> current)
{
    if (before->coordinators != current->coordinators)
        connectToCoordinators();
    crashGuard_.onDirectory(*current);
    requestLimits_.onDirectory(*current);
    onDirectoryChanged(*before, *current);
}

std::string HostedNode::permitIssuer(const std::string& server) const
{
    std::vector<std::string> names = activePeers(HostedRole::Coordinator);
    if (mayIssuePermits())
        names.push_back(settings_.name);
    const std::vector<std::string> owners = rendezvousOwners(server, names, 1);
    return owners.empty() ? std::string() : owners.front();
}

double HostedNode::issuerShare() const
{
    std::set<std::string> reached { settings_.name };
    for (const std::string& name : activePeers(HostedRole::Coordinator))
        reached.insert(name);
    std::set<std::string> known = reached;
    for (const auto& [name, record] : directory()->coordinators) {
        if (!isLeaving(name))
            known.insert(name);
    }
    return static_cast<double>(reached.size()) / static_cast<double>(known.size());
}

asio::awaitable<std::string> HostedNode::askIssuer(std::string issuer, std::string request, Instant deadline)
{
    const PeerConnectionPtr connection = peer(issuer);
    if (!connection)
        throw PeerUnavailableError("the connection to the coordinator was lost");
    co_return co_await connection->call(MessageType::PermitRequest, std::move(request), deadline);
}

void HostedNode::reportToIssuer(const std::string& issuer, const std::string& notice)
{
    if (const PeerConnectionPtr connection = peer(issuer))
        connection->notify(MessageType::LimitsHeard, notice);
}

void HostedNode::publish(const std::string& update)
{
    notifyPeers(MessageType::DirectoryUpdate, update);
}

void HostedNode::onLeavingNotice(const PeerConnectionPtr& connection, const std::string& payload)
{
    const auto news = leavingNews_.onNotice(payload);
    const auto sender = peers_.find(connection->peerName);
    const bool isFromCoordinator = sender != peers_.end() && sender->second.role == HostedRole::Coordinator;
    if (news && !isFromCoordinator && isFirst())
        notifyPeers(MessageType::ServersLeaving, *news, connection.get());
}

CrashStore::Part HostedNode::crashStorePart() const
{
    const size_t ownRegistrations = role_ == HostedRole::Coordinator ? 1 : 0;
    const bool hasCoordinators = !activePeers(HostedRole::Coordinator).empty();
    if (!hasCoordinators && directory()->coordinators.size() > ownRegistrations)
        return CrashStore::Part::Isolated;
    return isFirst() ? CrashStore::Part::Writer : CrashStore::Part::Reader;
}

void HostedNode::publishCrashes(const std::string& notice, const PeerConnection* origin)
{
    notifyPeers(MessageType::CrashNotice, notice, origin);
}

void HostedNode::notifyPeers(MessageType type, const std::string& payload, const PeerConnection* origin)
{
    for (const auto& [name, peer] : peers_) {
        const bool isOrigin = origin && origin->peerName == name;
        if (!peer.connections.empty() && !isOrigin)
            peer.connections.back()->notify(type, payload);
    }
}

asio::awaitable<void> HostedNode::onHttp(HttpExchange& exchange)
{
    std::vector<Gauge> allGauges = gauges();
    allGauges.push_back({ "endiveroad_peers", "", "Open connections to peer processes.",
        static_cast<double>(mesh_.connections().size() + acceptor_.connections().size()) });
    allGauges.push_back(
        { "endiveroad_blocked_contents", "", "Contents of requests that are refused because servers ended under them.",
            static_cast<double>(crashGuard_.blockedCount()) });
    allGauges.push_back({ "endiveroad_leaving_servers", "",
        "Servers that said they are leaving, or were replaced, and have not started again since.",
        static_cast<double>(directorySync_->leavingServers().all().size()) });
    allGauges.push_back({ "endiveroad_limited_servers", "",
        "Servers that name a limit on the requests that they take from all processes together.",
        static_cast<double>(requestLimits_.limitedCount()) });
    allGauges.push_back(
        { "endiveroad_draining", "", "1 while the process takes no new work.", isDraining_ ? 1.0 : 0.0 });
    const CallerBudget& budget = *processCallerBudget();
    allGauges.push_back({ "endiveroad_caller_held_bytes", "", "Bytes that the process holds for callers.",
        static_cast<double>(budget.heldBytes()) });
    allGauges.push_back({ "endiveroad_caller_held_bytes_max", "",
        "Most bytes that the process may hold for callers; 0 if that is not bounded.",
        static_cast<double>(budget.bounds().bytes) });
    allGauges.push_back({ "endiveroad_callers_yielded", "reason=\"memory\"",
        "Connections of callers that were closed or refused since the start, since others needed their room.",
        static_cast<double>(budget.yieldedForMemory()) });
    allGauges.push_back({ "endiveroad_callers_yielded", "reason=\"connections\"", "",
        static_cast<double>(budget.yieldedForConnections()) });
    HttpResponse response;
    response.status = 200;
    response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
    response.body = processMetrics().prometheusText(allGauges, now());
    co_await exchange.answer(std::move(response));
}

} // namespace endiveroad::io
