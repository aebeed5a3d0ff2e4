#include "io/entry/WeightRollout.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad_types.h>

namespace endiveroad::io {

WeightRollout::WeightRollout(asio::io_context& context, AgentDirectory& agents)
    : context_(context)
    , agents_(agents)
    , changed_(context)
{
    spawn(context_.get_executor(), [this] { return run(); });
}

bool WeightRollout::announce(const std::string& pool, AnnouncedPolicy policy)
{
    const std::string version = std::to_string(policy.policy.version);
    if (!plans_[pool].announce(std::move(policy)))
        return false;
    log(Event::PolicyAnnounced, { { "pool", pool }, { "version", version } });
    changed_.notifyAll();
    return true;
}

std::map<std::string, AnnouncedPolicy> WeightRollout::policies() const
{
    std::map<std::string, AnnouncedPolicy> result;
    for (const auto& [pool, plan] : plans_)
        result.emplace(pool, plan.newest());
    return result;
}

double WeightRollout::swapShare(const std::string& pool) const
{
    double share = 1;
    for (const auto& [name, job] : agents_.settings().jobs) {
        if (job.pool == pool)
            share = std::min(share, job.rollout.swapShare);
    }
    return share;
}

asio::awaitable<void> WeightRollout::run()
{
    while (true) {
        for (auto& [pool, plan] : plans_)
            sendLoadRequests(pool, plan);
        co_await changed_.wait(now() + maxCheckInterval);
    }
}

void WeightRollout::sendLoadRequests(const std::string& pool, WeightPlan& plan)
{
    std::vector<ReplicaReport> reports = agents_.table(pool).reports();
    std::erase_if(reports, [this](const ReplicaReport& report) { return !agents_.connection(report.agent); });
    for (const std::string& agent : plan.agentsToSwap(reports, swapShare(pool), now())) {
        spawn(context_.get_executor(),
            [this, agent, pool, policy = plan.newest()] { return sendLoadRequest(agent, pool, policy); });
    }
}

asio::awaitable<void> WeightRollout::sendLoadRequest(std::string agent, std::string pool, AnnouncedPolicy policy)
{
    const std::string version = std::to_string(policy.policy.version);
    wire::LoadRequest request;
    request.model = pool;
    request.version = policy.policy.version;
    request.weights = policy.weights;
    request.order = policy.policy.order;
    bool hasSucceeded = false;
    try {
        const PeerConnectionPtr peer = agents_.connection(agent);
        if (peer) {
            log(Event::SwapOrdered, { { "agent", agent }, { "version", version } });
            const Instant deadline = now() + WeightPlan::loadOrderTimeout;
            const std::string payload = co_await peer->call(MessageType::Load, wire::encode(request), deadline);
            hasSucceeded = wire::decode<wire::LoadAnswer>(payload).outcome == wire::Outcome::Done;
        }
    } catch (const Error& error) {
        log(Event::SwapUnknown, { { "agent", agent }, { "reason", error.what() } });
    }
    if (plans_[pool].onLoadOrderEnded(agent, hasSucceeded, now()))
        log(Event::SwapSetAside, { { "agent", agent }, { "version", version } });
    changed_.notifyAll();
}

} // namespace endiveroad::io
