#include <algorithm>
#include <endiveroad/ServerLoads.h>
#include <tuple>

namespace endiveroad {

namespace {

/// Weight of the newest latency in the exponential moving average.
constexpr double newestShare = 0.2;

/// Assumed latency of a server before its first answer, in ms.
constexpr double defaultLatencyMs = 25;

} // namespace

ServerLoads::Server& ServerLoads::server(std::string_view id)
{
    const auto found = servers_.find(id);
    if (found != servers_.end())
        return found->second;
    return servers_.emplace(std::string(id), Server {}).first->second;
}

std::optional<std::string> ServerLoads::choose(
    const std::vector<std::string>& servers, const std::set<std::string>& tried, Instant now)
{
    std::optional<std::string> best;
    std::tuple<bool, double, uint64_t> bestRank;
    for (const std::string& id : servers) {
        if (tried.contains(id))
            continue;
        const Server& known = server(id);
        const int32_t told = known.toldLoadExpiry > now ? known.toldLoad : 0;
        const double latency = known.latencyMs > 0 ? known.latencyMs : defaultLatencyMs;
        const double cost = (1 + std::max(known.inFlight, told)) * latency;
        const std::tuple rank(known.suspendedUntil > now, cost, static_cast<uint64_t>(random_()));
        if (best && bestRank <= rank)
            continue;
        best = id;
        bestRank = rank;
    }
    return best;
}

void ServerLoads::onStart(std::string_view id)
{
    ++server(id).inFlight;
}

void ServerLoads::onAnswer(std::string_view id, Duration latency, Instant)
{
    Server& known = server(id);
    const double ms = std::chrono::duration<double, std::milli>(latency).count();
    known.inFlight = std::max(0, known.inFlight - 1);
    known.latencyMs = known.latencyMs > 0 ? known.latencyMs + newestShare * (ms - known.latencyMs) : ms;
    known.suspendedUntil = Instant::min();
}

void ServerLoads::onFailure(std::string_view id, Instant now)
{
    Server& known = server(id);
    known.inFlight = std::max(0, known.inFlight - 1);
    known.suspendedUntil = now + suspension;
}

void ServerLoads::onAbandoned(std::string_view id)
{
    Server& known = server(id);
    known.inFlight = std::max(0, known.inFlight - 1);
}

void ServerLoads::onLoad(std::string_view id, int32_t running, int32_t waiting, Instant now)
{
    Server& known = server(id);
    known.toldLoad = running + waiting;
    known.toldLoadExpiry = now + loadLifetime;
}

void ServerLoads::retain(const std::set<std::string>& ids)
{
    std::erase_if(servers_, [&](const auto& entry) { return !ids.contains(entry.first); });
}

} // namespace endiveroad
