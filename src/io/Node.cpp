#include "io/Node.h"

#include "io/Clock.h"
#include "io/HttpServer.h"
#include "io/Log.h"
#include "wire/Codec.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <endiveroad/Error.h>
#include <endiveroad_types.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endiveroad::io {

namespace {

constexpr Duration keyFileCheckInterval = std::chrono::seconds(1);
/// Time after a drain in which queued answers can still be written before the I/O context is stopped.
constexpr Duration answerFlushTime = std::chrono::milliseconds(100);

/// The events of this process that match the query, as JSON text.
std::string timelineJson(const std::string& name, const std::string& role, const TimelineQuery& query)
{
    std::vector<std::string> lines;
    for (const TimelineEntry& entry : Log::instance().ring().find(query))
        lines.push_back(toJsonLine(entry));
    const std::string head = nlohmann::json { { "name", name }, { "role", role }, { "state", "live" } }.dump();
    return fmt::format(R"({},"entries":[{}]}})", head.substr(0, head.size() - 1), fmt::join(lines, ","));
}

std::string textAnswer(std::string json)
{
    wire::TextAnswer answer;
    answer.json = std::move(json);
    return wire::encode(answer);
}

} // namespace

Node::Node(NodeOptions options)
    : options_(std::move(options))
    , incarnation_(wallMs())
    , signals_(context_, SIGTERM, SIGINT)
    , crashGuard_(
          http_, [this] { return servers_; }, static_cast<CrashListener&>(*this),
          static_cast<uint64_t>(incarnation_) ^ std::hash<std::string>()(options_.name))
    , settings_([this](auto before, auto inForce) { applySettings(before, inForce); },
          [this](const std::string& peer, MessageType type, const std::string& payload) {
              sendToPeer(peer, type, payload);
          },
          [this](int64_t revision, Instant since) { onInForceSince(revision, since); })
    , acceptor_(context_, *this)
    , mesh_(context_, *this, [this](const std::string&, const PeerConnectionPtr& peer) { sendHello(peer); })
{
    if (options_.store)
        store_ = std::make_unique<EtcdStoreClient>(http_, *options_.store);
}

void Node::run()
{
    if (options_.keyFile)
        loadKeys();
    else
        log(Event::AccessOpen);
    signals_.async_wait([this](boost::system::error_code error, int) {
        if (!error)
            stop();
    });
    settings_.expectPeers(options_.peers.size());
    if (!store_)
        settings_.onNoStore();
    spawn(context_.get_executor(), [this] { return settings_.runGossip(); });
    if (store_)
        spawn(context_.get_executor(), [this] { return settings_.follow(*store_, [this] { return wantsStore(); }); });
    if (options_.keyFile)
        spawn(context_.get_executor(), [this] { return watchKeyFile(); });
    std::map<std::string, Address> targets;
    for (const Address& peer : options_.peers)
        targets.emplace("peer-" + peer.text(), peer);
    mesh_.setTargets(targets);
    log(Event::ProcessStarted, { { "role", options_.role }, { "incarnation", std::to_string(incarnation_) } });
    context_.run();
    if (failure_)
        std::rethrow_exception(failure_);
    log(Event::ProcessStopped);
}

void Node::loadKeys()
{
    auto keys = std::make_shared<const AccessKeys>(AccessKeys::read(*options_.keyFile));
    if (keys_ && *keys == *keys_)
        return;
    keys_ = std::move(keys);
    log(Event::KeysLoaded, { { "keys", std::to_string(keys_->all().size()) } });
    closeRevokedPeers();
}

asio::awaitable<void> Node::watchKeyFile()
{
    std::string lastReason;
    while (true) {
        co_await sleepFor(keyFileCheckInterval);
        std::string reason;
        try {
            loadKeys();
        } catch (const Error& error) {
            reason = error.what();
        }
        if (!reason.empty() && reason != lastReason)
            log(Event::KeysUnreadable, { { "reason", reason } });
        lastReason = std::move(reason);
    }
}

void Node::closeRevokedPeers()
{
    std::vector<PeerConnectionPtr> peers = mesh_.connections();
    peers.insert(peers.end(), acceptor_.connections().begin(), acceptor_.connections().end());
    for (const PeerConnectionPtr& peer : peers) {
        const auto key = peer->peerKey();
        if (key && !keys_->contains(*key))
            peer->close();
    }
}

void Node::applySettings(std::shared_ptr<const Settings> before, std::shared_ptr<const Settings> inForce)
{
    try {
        const auto address = peerAddress(*inForce);
        if (address && !acceptor_.isListening())
            acceptor_.listen(options_.peerListen.value_or(*address));
        if (!address)
            log(Event::NotDeclared, { { "revision", std::to_string(inForce->revision) } });
        onSettings(before, inForce);
        if (address)
            mesh_.setTargets(peerTargets(*inForce));
    } catch (const AddressInUseError&) {
        failure_ = std::current_exception();
        context_.stop();
    }
}

void Node::sendHello(const PeerConnectionPtr& peer)
{
    wire::Hello hello;
    hello.node = options_.name;
    hello.role = options_.role;
    hello.incarnation = incarnation_;
    hello.settingsRevision = settings_.revision();
    peer->notify(MessageType::Hello, wire::encode(hello));
    if (const auto crashes = crashGuard_.encodeAll())
        peer->notify(MessageType::CrashNotice, *crashes);
}

void Node::onServerStarted(const Address& address)
{
    ServerRecord server;
    server.id = address.text();
    server.address = address;
    server.startedMs = wallMs();
    auto servers = std::make_shared<Directory>();
    servers->servers.emplace(server.id, server);
    servers_ = std::move(servers);
    crashGuard_.onDirectory(*servers_);
}

void Node::publishCrashes(const std::string& notice, const PeerConnection* origin)
{
    for (const auto& [name, peer] : peers_) {
        if (!origin || origin->peerName != name)
            peer->notify(MessageType::CrashNotice, notice);
    }
}

void Node::sendToPeer(const std::string& peer, MessageType type, const std::string& payload)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end())
        found->second->notify(type, payload);
}

void Node::onPeerRole(const PeerConnectionPtr& peer, const std::string& role)
{
    peers_[peer->peerName] = peer;
    settings_.onPeer(peer->peerName, role == "agent" ? SettingsPeerRole::Agent : SettingsPeerRole::Entry);
}

void Node::onHello(const PeerConnectionPtr& peer, const PeerMessage& message)
{
    const auto hello = wire::decode<wire::Hello>(message.payload);
    const bool isFirst = acceptor_.contains(peer) && peer->peerName.empty();
    if (acceptor_.contains(peer))
        peer->peerName = hello.node;
    if (isFirst)
        sendHello(peer);
    onPeerRole(peer, hello.role);
    onPeerHello(peer, hello.role);
}

asio::awaitable<std::string> Node::onRequest(PeerConnectionPtr peer, PeerMessage message)
{
    switch (message.type) {
    case MessageType::Status:
    case MessageType::Timeline: {
        std::string json = co_await answerSurvey(std::move(message));
        co_return textAnswer(std::move(json));
    }
    case MessageType::Drain:
        stop();
        co_return textAnswer(statusJson());
    default:
        co_return co_await onNodeRequest(std::move(peer), std::move(message));
    }
}

std::string Node::metricsText() const
{
    std::vector<Gauge> gauges {
        { "endiveroad_settings_revision", "", "Settings revision in force; 0 before the first.",
            static_cast<double>(settings_.revision()) },
        { "endiveroad_peers", "", "Open connections to peer processes.",
            static_cast<double>(mesh_.connections().size() + acceptor_.connections().size()) },
        { "endiveroad_draining", "", "1 while the process takes no new work.", isDraining_ ? 1.0 : 0.0 },
    };
    for (Gauge& gauge : nodeGauges())
        gauges.push_back(std::move(gauge));
    return processMetrics().prometheusText(gauges, now());
}

std::string Node::answerForSelf(const SurveyQuery& query) const
{
    if (query.wantsMetrics)
        return nlohmann::json {
            { "name", options_.name }, { "role", options_.role }, { "metrics", metricsText() }
        }.dump();
    if (query.type == MessageType::Timeline)
        return timelineJson(options_.name, options_.role, query.timeline);
    return statusJson();
}

asio::awaitable<std::string> Node::answerSurvey(PeerMessage message)
{
    const auto request = wire::decode<wire::TextRequest>(message.payload);
    const SurveyQuery query = SurveyQuery::decode(message.type, request.argument);
    if (query.scope == SurveyScope::Self)
        co_return answerForSelf(query);
    if (const PeerConnectionPtr relay = surveyRelay()) {
        try {
            co_return co_await askPeer(relay, query);
        } catch (const Error&) {
            // The relay did not answer or reported an error; this process asks the processes that it knows itself.
        }
    }
    std::vector<SurveyTarget> targets;
    if (settings_.current())
        targets = surveyTargets(query.scope);
    const std::vector<SurveyAnswer> answers = co_await askPeers(std::move(targets), query);
    co_return combineAnswers(query, options_.name, answerForSelf(query), answers);
}

void Node::onNotice(const PeerConnectionPtr& peer, const PeerMessage& message)
{
    try {
        if (message.type == MessageType::Hello)
            onHello(peer, message);
        else if (message.type == MessageType::CrashNotice)
            crashGuard_.onNotice(*peer, message.payload);
        else if (!settings_.onMessage(peer->peerName, message.type, message.payload))
            onNodeNotice(peer, message);
    } catch (const Error& error) {
        log(Event::FrameRefused, { { "peer", peer->peerName }, { "reason", error.what() } });
    }
}

void Node::onClosed(const PeerConnectionPtr& peer)
{
    acceptor_.forget(peer);
    const auto found = peers_.find(peer->peerName);
    if (found != peers_.end() && found->second == peer) {
        peers_.erase(found);
        settings_.onPeerLost(peer->peerName);
    }
    if (!peer->peerName.empty())
        log(Event::PeerLost, { { "peer", peer->peerName } });
    onPeerClosed(peer);
}

void Node::stop()
{
    if (isDraining_)
        return;
    isDraining_ = true;
    log(Event::ProcessStopping);
    spawn(context_.get_executor(), [this] { return stopGracefully(); });
}

asio::awaitable<void> Node::stopGracefully()
{
    log(Event::DrainStarted);
    co_await drain();
    log(Event::DrainFinished);
    co_await sleepFor(answerFlushTime);
    context_.stop();
}

} // namespace endiveroad::io
