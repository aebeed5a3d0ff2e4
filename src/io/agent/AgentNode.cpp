#include "io/agent/AgentNode.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad_types.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endiveroad::io {

namespace {

constexpr Duration drainPollInterval = std::chrono::milliseconds(20);

/// The replica that the settings declare under an agent's name, with its pool; nulls if there is none.
std::pair<const PoolDeclaration*, const ReplicaDeclaration*> findReplica(
    const Settings& settings, const std::string& name)
{
    for (const auto& [poolName, pool] : settings.pools) {
        const auto found = pool.replicas.find(name);
        if (found != pool.replicas.end())
            return { &pool, &found->second };
    }
    return { nullptr, nullptr };
}

} // namespace

AgentNode::AgentNode(NodeOptions options)
    : Node(std::move(options))
    , lastConnectedAt_(now())
{
}

std::optional<Address> AgentNode::peerAddress(const Settings& settings) const
{
    const auto [pool, replica] = findReplica(settings, name());
    return replica ? std::optional(replica->peer) : std::nullopt;
}

std::map<std::string, Address> AgentNode::peerTargets(const Settings&) const
{
    return {};
}

uint64_t AgentNode::heldBytesLimit(const Settings& settings) const
{
    uint64_t limit = RolloutPolicy().heldBytesPerAgent;
    for (const auto& [jobName, job] : settings.jobs) {
        if (job.pool == pool_)
            limit = job.rollout.heldBytesPerAgent;
    }
    return limit;
}

void AgentNode::onSettings(std::shared_ptr<const Settings>, std::shared_ptr<const Settings> inForce)
{
    const auto [pool, replica] = findReplica(*inForce, name());
    if (!replica)
        return;
    if (!calls_)
        start(*pool, *replica);
    admission_.setSlots(pool->call.slots, pool->call.reservedSlots);
    calls_->onPool(*pool, inForce->revision);
    drainTimeout_ = pool->call.drainTimeout;
    if (rolloutWorker_)
        rolloutWorker_->setMaxHeldBytes(heldBytesLimit(*inForce));
}

void AgentNode::onInForceSince(int64_t revision, Instant since)
{
    if (calls_)
        calls_->onInForceSince(revision, since);
}

void AgentNode::start(const PoolDeclaration& pool, const ReplicaDeclaration& replica)
{
    pool_ = pool.name;
    region_ = pool.region;
    failureDomain_ = replica.failureDomain;
    server_ = replica.server;
    onServerStarted(server_);
    calls_ = std::make_unique<CallRunner>(http(), crashGuard(), admission_, name(), server_, incarnation());
    reportsNotBefore_ = now() + OutcomeTable::clockMargin;
    const auto executor = context().get_executor();
    if (pool.kind == PoolKind::Engine) {
        rolloutWorker_
            = std::make_unique<RolloutWorker>(context(), http(), crashGuard(), admission_, server_, name(), pool.model);
        spawn(executor, [this] { return rolloutWorker_->watchEngine([this](bool isUp) { onServerState(isUp); }); });
    } else {
        spawn(executor, [this] { return probeServer(); });
    }
    spawn(executor, [this] { return reportLoop(); });
}

void AgentNode::onServerState(bool isUp)
{
    if (isUp == admission_.isServerUp())
        return;
    admission_.setServerUp(isUp);
    if (isUp)
        onServerStarted(server_);
    log(isUp ? Event::ServerUp : Event::ServerDown, { { "server", server_.text() } });
    sendReports();
}

asio::awaitable<void> AgentNode::probeServer()
{
    while (true) {
        bool isUp = false;
        try {
            const HttpResponse response
                = co_await http().request(server_, jsonRequest("GET", "/health", {}), now() + probeTimeout);
            isUp = response.status < 500;
        } catch (const Error&) {
            isUp = false;
        }
        onServerState(isUp);
        co_await sleepFor(probeInterval);
    }
}

asio::awaitable<void> AgentNode::reportLoop()
{
    while (true) {
        if (now() >= reportDue_ || report() != lastReport_)
            sendReports();
        co_await sleepFor(reportCheckInterval);
    }
}

WeightVersion AgentNode::version() const
{
    return rolloutWorker_ ? rolloutWorker_->tracker().version() : unknownVersion;
}

wire::AgentReport AgentNode::report() const
{
    wire::AgentReport report;
    report.agent = name();
    report.pool = pool_;
    report.region = region_;
    report.failureDomain = failureDomain_;
    report.incarnation = incarnation();
    report.freeSlots = admission_.freeSlots();
    report.running = admission_.running();
    report.version = version();
    report.isSwapping = rolloutWorker_ && rolloutWorker_->tracker().isSwapping();
    report.isDraining = admission_.isDraining();
    report.isServerUp = admission_.isServerUp();
    report.settingsRevision = keeper().revision();
    report.heldBytes = rolloutWorker_ ? static_cast<int64_t>(rolloutWorker_->sampleCache().bytes()) : 0;
    return report;
}

void AgentNode::sendReports()
{
    if (now() < reportsNotBefore_)
        return;
    lastReport_ = report();
    reportDue_ = now() + maxReportAge;
    wire::AgentReport numbered = lastReport_;
    numbered.sequence = ++reportSequence_;
    const std::string payload = wire::encode(numbered);
    const auto peers = acceptedPeers();
    for (const PeerConnectionPtr& peer : peers) {
        if (!peer->peerName.empty())
            peer->notify(MessageType::AgentReport, payload);
    }
}

void AgentNode::onPeerHello(const PeerConnectionPtr&, const std::string&)
{
    if (calls_)
        sendReports();
}

asio::awaitable<std::string> AgentNode::onNodeRequest(PeerConnectionPtr, PeerMessage message)
{
    if (!calls_)
        throw NotReadyError("the agent has no settings yet");
    switch (message.type) {
    case MessageType::Call: {
        auto request = wire::decode<wire::CallRequest>(message.payload);
        co_return wire::encode(co_await calls_->run(std::move(request), message.deadline, message.cancellation));
    }
    case MessageType::Generate: {
        auto request = wire::decode<wire::GenerateRequest>(message.payload);
        co_return wire::encode(co_await rolloutWorker().generate(std::move(request), message.deadline));
    }
    case MessageType::Held:
        co_return wire::encode(rolloutWorker().heldSamples(wire::decode<wire::HeldRequest>(message.payload)));
    case MessageType::Load: {
        const wire::LoadAnswer answer = co_await rolloutWorker().load(wire::decode<wire::LoadRequest>(message.payload));
        sendReports();
        co_return wire::encode(answer);
    }
    default:
        throw BadRequestError("an agent does not accept this type of message");
    }
}

void AgentNode::onNodeNotice(const PeerConnectionPtr&, const PeerMessage& message)
{
    if (!rolloutWorker_)
        return;
    if (message.type == MessageType::Release)
        rolloutWorker_->onRelease(wire::decode<wire::ReleaseNotice>(message.payload));
    else if (message.type == MessageType::CancelGenerate)
        rolloutWorker_->onCancel(wire::decode<wire::CancelNotice>(message.payload));
}

RolloutWorker& AgentNode::rolloutWorker()
{
    if (!rolloutWorker_)
        throw BadRequestError("this backend server is not a model engine");
    return *rolloutWorker_;
}

bool AgentNode::isBusy() const
{
    const auto& peers = acceptedPeers();
    return admission_.running() > 0
        || std::any_of(peers.begin(), peers.end(), [](const PeerConnectionPtr& peer) { return peer->isBusy(); });
}

bool AgentNode::wantsStore() const
{
    if (peerCount() > 0)
        lastConnectedAt_ = now();
    return now() - lastConnectedAt_ > storeAccessDelay;
}

asio::awaitable<void> AgentNode::drain()
{
    admission_.setDraining(true);
    if (calls_)
        sendReports();
    const Instant deadline = now() + drainTimeout_;
    while (isBusy() && now() < deadline)
        co_await sleepFor(drainPollInterval);
}

PeerConnectionPtr AgentNode::surveyRelay() const
{
    for (const PeerConnectionPtr& peer : acceptedPeers()) {
        if (peer->isOpen() && settings() && settings()->entries.contains(peer->peerName))
            return peer;
    }
    return nullptr;
}

std::vector<SurveyTarget> AgentNode::surveyTargets(SurveyScope) const
{
    std::vector<SurveyTarget> targets;
    for (const auto& [entryName, entry] : settings()->entries)
        targets.push_back({ entryName, "entry", nullptr, SurveyScope::Self });
    return targets;
}

std::string AgentNode::statusJson() const
{
    return nlohmann::json {
        { "name", name() }, { "role", "agent" }, { "state", "live" }, { "incarnation", incarnation() },
        { "revision", keeper().revision() }, { "storeCalls", keeper().storeCalls() },
        { "isDraining", admission_.isDraining() }, { "pool", pool_ }, { "version", version() },
        { "isServerUp", admission_.isServerUp() }, { "running", admission_.running() },
        { "freeSlots", admission_.freeSlots() },
        { "heldSamples", rolloutWorker_ ? rolloutWorker_->sampleCache().count() : 0 },
        { "heldBytes", rolloutWorker_ ? rolloutWorker_->sampleCache().bytes() : 0 }
    }.dump();
}

std::vector<Gauge> AgentNode::nodeGauges() const
{
    std::vector<Gauge> gauges;
    const std::string labels = fmt::format("pool=\"{}\"", escapeLabelValue(pool_));
    const auto add = [&](const char* name, const char* help, double value) {
        gauges.push_back({ name, labels, help, value });
    };
    add("endiveroad_server_up", "1 while the backend server answers.", admission_.isServerUp() ? 1 : 0);
    add("endiveroad_running", "Calls and samples that run on the backend server.", admission_.running());
    add("endiveroad_free_slots", "Slots of the backend server that are free.", admission_.freeSlots());
    add("endiveroad_weight_version", "Weight version of the engine; -1 while it is unknown.",
        static_cast<double>(version()));
    add("endiveroad_held_samples", "Finished samples held for their trainer.",
        rolloutWorker_ ? static_cast<double>(rolloutWorker_->sampleCache().count()) : 0);
    add("endiveroad_held_bytes", "Bytes of finished samples held for their trainer.",
        rolloutWorker_ ? static_cast<double>(rolloutWorker_->sampleCache().bytes()) : 0);
    return gauges;
}

} // namespace endiveroad::io
