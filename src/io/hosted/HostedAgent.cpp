#include "io/hosted/HostedAgent.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad_types.h>

namespace endiveroad::io {

namespace {

/// Delay before a report, so that one report covers changes in quick succession.
constexpr Duration reportDelay = std::chrono::milliseconds(15);

const Address& replicaAddress(const HostedSettings& settings)
{
    if (!settings.replica)
        throw SettingsInvalidError("an agent needs the address of the replica on its host");
    return *settings.replica;
}

} // namespace

HostedAgent::HostedAgent(std::unique_ptr<Platform> platform, HostedOptions options)
    : HostedNode(std::move(platform), HostedRole::Agent, options)
    , reportDue_(context())
    , engine_(context(), servers(), requestLimits(), store(), replicaAddress(settings()), settings().name,
          [this] { reportDue_.notifyAll(); })
    , runner_(context(), servers(), requestLimits(), engine_, crashGuard(), replicaAddress(settings()),
          [this] { reportDue_.notifyAll(); })
{
}

const ServerRecord* HostedAgent::readyServer() const
{
    const ServerRecord* server = directory()->serverAt(replicaAddress(settings()));
    return server && !server->isDraining ? server : nullptr;
}

void HostedAgent::start()
{
    requestLimits().setOnPermit([this] { reportDue_.notifyAll(); });
    spawnRestarting(context().get_executor(), [this] { return engine_.monitor(); });
    spawnRestarting(context().get_executor(), [this] { return runner_.report(); });
    spawnRestarting(context().get_executor(), [this] { return report(); });
}

void HostedAgent::onDirectoryChanged(const Directory&, const Directory&)
{
    const ServerRecord* server = readyServer();
    engine_.setServer(server ? std::optional(ServerIncarnation::of(*server)) : std::nullopt);
}

asio::awaitable<std::string> HostedAgent::onNodeRequest(PeerConnectionPtr connection, PeerMessage message)
{
    if (message.type != MessageType::ItemStart)
        co_return co_await HostedNode::onNodeRequest(connection, std::move(message));
    const auto startRequest = wire::decode<wire::ItemStart>(message.payload);
    const ServerRecord* server = readyServer();
    const bool hasOrganisations = directory()->routing && directory()->routing->organisations;
    wire::ItemStartAnswer answer;
    answer.reason = "the agent stops";
    if (!isDraining())
        answer = runner_.start(connection, startRequest, server, hasOrganisations);
    co_return wire::encode(answer);
}

void HostedAgent::onNodeNotice(const PeerConnectionPtr& connection, const PeerMessage& message)
{
    switch (message.type) {
    case MessageType::ItemCancel:
        runner_.cancel(wire::decode<wire::ItemCancelNotice>(message.payload));
        break;
    case MessageType::JobOwner:
        runner_.setOwner(connection, wire::decode<wire::JobOwnerNotice>(message.payload));
        break;
    case MessageType::LoadModel: {
        const auto notice = wire::decode<wire::LoadModelNotice>(message.payload);
        if (!isDraining() && readyServer())
            engine_.load(notice.model, notice.version);
        break;
    }
    default:
        break;
    }
}

void HostedAgent::onPeerUp(const PeerConnectionPtr& connection)
{
    connection->notify(MessageType::ReplicaReport, encodedReport());
}

int32_t HostedAgent::usableSlots(const ServerRecord& server) const
{
    const ServerIncarnation receiver = ServerIncarnation::of(server);
    const int32_t startable = static_cast<int32_t>(requestLimits().permits(receiver));
    return requestLimits().isLimited(receiver) ? std::min(server.slots, runner_.running() + startable) : server.slots;
}

void HostedAgent::demandPermits()
{
    const ServerRecord* server = readyServer();
    const int32_t freeSlots = server ? server->slots - runner_.running() : 0;
    if (freeSlots <= 0 || isDraining() || connectionsOf(HostedRole::Coordinator).empty())
        return;
    const ServerIncarnation receiver = ServerIncarnation::of(*server);
    if (requestLimits().isLimited(receiver) && requestLimits().permits(receiver) == 0)
        requestLimits().demand(receiver, itemPriority, static_cast<size_t>(freeSlots), now() + permitWait);
}

std::string HostedAgent::encodedReport() const
{
    const ServerRecord* server = readyServer();
    wire::ReplicaReport report;
    report.agent = settings().name;
    report.failureDomain = settings().failureDomain;
    report.isUp = server && !engine_.server().empty() && engine_.isUp() && !isDraining();
    report.running = runner_.running();
    report.loadingModel = engine_.loadingModel();
    report.eventMs = runner_.eventMs();
    if (server) {
        report.pool = server->service;
        report.server = server->id;
        report.slots = usableSlots(*server);
    }
    for (const auto& [model, version] : engine_.versions()) {
        wire::ModelVersion row;
        row.model = model;
        row.version = version;
        report.models.push_back(std::move(row));
    }
    return wire::encode(report);
}

asio::awaitable<void> HostedAgent::report()
{
    while (true) {
        const std::string encoded = encodedReport();
        for (const PeerConnectionPtr& coordinator : connectionsOf(HostedRole::Coordinator))
            coordinator->notify(MessageType::ReplicaReport, encoded);
        demandPermits();
        co_await reportDue_.wait(now() + permitWait);
        co_await sleepFor(reportDelay);
    }
}

std::vector<Gauge> HostedAgent::gauges() const
{
    std::vector<Gauge> gauges { { "endiveroad_server_up", "", "1 while the replica answers.",
                                    engine_.isUp() ? 1.0 : 0.0 },
        { "endiveroad_running", "", "Items that run.", static_cast<double>(runner_.running()) },
        { "endiveroad_event_ms", "", "Mean time between events of the runs; 0 while unknown.", runner_.eventMs() } };
    for (const auto& [model, version] : engine_.versions())
        gauges.push_back({ "endiveroad_weight_version", "model=\"" + escapeLabelValue(model) + "\"",
            "Weight version that the replica serves.", static_cast<double>(version) });
    return gauges;
}

asio::awaitable<void> HostedAgent::drain()
{
    announceLeaving();
    runner_.cancelAll();
    reportDue_.notifyAll();
    co_await sleepFor(progressFlushTime);
}

} // namespace endiveroad::io
