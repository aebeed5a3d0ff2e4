#include <algorithm>
#include <endiveroad/ServerLoads.h>
#include <tuple>

namespace endiveroad {

namespace {

/// Weight of the newest latency in the exponential moving average.
constexpr double newestLatencyWeight = 0.2;

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
        const Server& state = server(id);
        const int32_t reported = state.reportedLoadExpiry > now ? state.reportedLoad : 0;
        const double latency = state.latencyMs > 0 ? state.latencyMs : defaultLatencyMs;
        const double cost = (1 + std::max(state.inFlight, reported)) * latency;
        const std::tuple rank(state.suspendedUntil > now, cost, static_cast<uint64_t>(random_()));
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
    Server& state = server(id);
    const double ms = std::chrono::duration<double, std::milli>(latency).count();
    state.inFlight = std::max(0, state.inFlight - 1);
    state.latencyMs = state.latencyMs > 0 ? state.latencyMs + newestLatencyWeight * (ms - state.latencyMs) : ms;
    state.suspendedUntil = Instant::min();
}

void ServerLoads::onFailure(std::string_view id, Instant now)
{
    Server& state = server(id);
    state.inFlight = std::max(0, state.inFlight - 1);
    state.suspendedUntil = now + suspension;
}

void ServerLoads::onAbandoned(std::string_view id)
{
    Server& state = server(id);
    state.inFlight = std::max(0, state.inFlight - 1);
}

void ServerLoads::onLoadReport(std::string_view id, int32_t running, int32_t waiting, Instant now)
{
    Server& state = server(id);
    state.reportedLoad = running + waiting;
    state.reportedLoadExpiry = now + loadLifetime;
}

void ServerLoads::retain(const std::set<std::string>& ids)
{
    std::erase_if(servers_, [&](const auto& entry) { return !ids.contains(entry.first); });
}

} // namespace endiveroad
