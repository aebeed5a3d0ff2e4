#include "io/entry/WeightRollout.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "wire/Codec.h"

#include <algorithm>
#include <cmath>
#include <endiveroad/Error.h>
#include <endiveroad_types.h>

namespace endiveroad::io {

WeightRollout::WeightRollout(asio::io_context& context, AgentDirectory& agents)
    : context_(context)
    , agents_(agents)
{
    spawn(context_.get_executor(), [this] { return run(); });
}

bool WeightRollout::announce(const std::string& pool, AnnouncedPolicy policy, double swapShare)
{
    swapShares_[pool] = swapShare;
    AnnouncedPolicy& known = policies_[pool];
    if (policy.version <= known.version)
        return false;
    known = std::move(policy);
    log(Event::PolicyAnnounced, { { "pool", pool }, { "version", std::to_string(known.version) } });
    return true;
}

asio::awaitable<void> WeightRollout::run()
{
    while (true) {
        for (const auto& [pool, policy] : policies_)
            orderSwaps(pool, policy);
        co_await sleepFor(round);
    }
}

void WeightRollout::orderSwaps(const std::string& pool, const AnnouncedPolicy& policy)
{
    std::erase_if(busyUntil_, [](const auto& entry) { return entry.second <= now(); });
    const std::vector<ReplicaReport> reports = agents_.table(pool).reports();
    const auto isBusy
        = [&](const ReplicaReport& report) { return report.isSwapping || busyUntil_.contains(report.agent); };
    const auto share = static_cast<int64_t>(std::floor(swapShares_[pool] * static_cast<double>(reports.size())));
    int64_t allowed = std::max<int64_t>(share, 1) - std::count_if(reports.begin(), reports.end(), isBusy);
    for (const ReplicaReport& report : reports) {
        if (allowed <= 0)
            return;
        const bool isWanted = report.isServerUp && !report.isDraining && report.version < policy.version;
        if (!isWanted || isBusy(report) || !agents_.connection(report.agent))
            continue;
        --allowed;
        busyUntil_[report.agent] = now() + orderTimeout;
        spawn(
            context_.get_executor(), [this, agent = report.agent, pool, policy] { return order(agent, pool, policy); });
    }
}

asio::awaitable<void> WeightRollout::order(std::string agent, std::string pool, AnnouncedPolicy policy)
{
    wire::LoadRequest request;
    request.model = pool;
    request.version = policy.version;
    request.weights = policy.weights;
    request.order = policy.version;
    bool isDone = false;
    try {
        const PeerConnectionPtr peer = agents_.connection(agent);
        if (peer) {
            log(Event::SwapOrdered, { { "agent", agent }, { "version", std::to_string(policy.version) } });
            const std::string payload
                = co_await peer->call(MessageType::Load, wire::encode(request), now() + orderTimeout);
            isDone = wire::decode<wire::LoadAnswer>(payload).outcome == wire::Outcome::Done;
        }
    } catch (const Error& error) {
        log(Event::SwapUnknown, { { "agent", agent }, { "reason", error.what() } });
    }
    busyUntil_[agent] = now() + (isDone ? 2 * round : failedOrderDelay);
}

} // namespace endiveroad::io
