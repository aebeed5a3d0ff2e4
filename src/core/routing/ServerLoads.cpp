#include <algorithm>
#include <endiveroad/ServerLoads.h>
#include <limits>
#include <tuple>

namespace endiveroad {

namespace {

/// Weight of the newest latency in the exponential moving average.
constexpr double newestLatencyWeight = 0.2;

/// Assumed latency of a server before its first answer, in ms.
constexpr double defaultLatencyMs = 25;

/// Factor of the limit at a refusal, and the least limit.
constexpr double refusalFactor = 0.5;
constexpr double leastLimit = 1;

/// Share of a server's slots that a process uses before it knows whether others use it too.
constexpr double firstLimitShare = 0.5;

double latencyOf(double measuredMs)
{
    return measuredMs > 0 ? measuredMs : defaultLatencyMs;
}

} // namespace

ServerLoads::Server& ServerLoads::server(std::string_view id)
{
    const auto found = servers_.find(id);
    if (found != servers_.end())
        return found->second;
    return servers_.emplace(std::string(id), Server {}).first->second;
}

std::optional<std::string> ServerLoads::choose(
    const std::vector<ServerCandidate>& servers, const std::set<std::string>& tried, Instant now, bool isYielding)
{
    std::optional<std::string> best;
    std::tuple<bool, double, uint64_t> bestRank;
    for (const auto& [id, slots, permits] : servers) {
        if (tried.contains(id))
            continue;
        Server& state = server(id);
        state.maxLimit = slots + queuedCalls;
        const double firstLimit = std::max(leastLimit, slots * firstLimitShare);
        state.limit = std::min(state.limit > 0 ? state.limit : firstLimit, state.maxLimit);
        if (state.fullUntil > now || state.unreachableUntil > now || state.inFlight >= state.limit)
            continue;
        const bool isReportNew = state.reportedLoadExpiry > now + loadLifetime - yieldTime;
        if (isYielding && isReportNew && state.othersLoad > 0 && state.reportedLoad >= slots)
            continue;
        const int32_t reported = state.reportedLoadExpiry > now ? state.reportedLoad : 0;
        const double cost = (1 + std::max(state.inFlight, reported)) * latencyOf(state.latencyMs);
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
    state.unreachableUntil = Instant::min();
    state.refusalsPerAnswer += newestLatencyWeight * (state.refusals - state.refusalsPerAnswer);
    state.refusals = 0;
    if (state.limit > 0)
        state.limit = std::min(state.maxLimit, state.limit + 1 / state.limit);
}

ServiceRate ServerLoads::rateOf(const std::vector<ServerCandidate>& servers) const
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    double callsPerMs = 0;
    double lowestMs = std::numeric_limits<double>::max();
    double limitedCallsPerMs = 0;
    double callsInFlight = 0;
    Instant startAt = never;
    for (const auto& [id, slots, permits] : servers) {
        const auto found = servers_.find(id);
        const Server state = found == servers_.end() ? Server() : found->second;
        const double limit = state.limit > 0 ? state.limit : slots;
        const double pausedMs
            = std::max<double>(state.refusals, state.refusalsPerAnswer) * Milliseconds(refusalPause).count();
        double serverCallsPerMs = std::min<double>(limit, slots) / (latencyOf(state.latencyMs) + pausedMs);
        if (permits)
            serverCallsPerMs = std::min(serverCallsPerMs, 1 / Milliseconds(permits->interval).count());
        callsPerMs += serverCallsPerMs;
        callsInFlight += serverCallsPerMs * latencyOf(state.latencyMs);
        limitedCallsPerMs += permits ? serverCallsPerMs : 0;
        startAt = std::min(startAt, permits ? permits->nextAt : Instant::min());
        lowestMs = std::min(lowestMs, latencyOf(state.latencyMs));
    }
    if (callsPerMs <= 0)
        return { Duration::max(), Duration::max(), never, 0, Duration::max() };
    return { std::chrono::duration_cast<Duration>(Milliseconds(1 / callsPerMs)),
        std::chrono::duration_cast<Duration>(Milliseconds(lowestMs)), startAt,
        limitUncertainty * limitedCallsPerMs / callsPerMs,
        std::chrono::duration_cast<Duration>(Milliseconds(callsInFlight / callsPerMs)) };
}

void ServerLoads::onRefused(std::string_view id, Instant now)
{
    Server& state = server(id);
    // Calls that were sent before the first refusal say nothing new.
    if (state.fullUntil <= now) {
        state.limit = std::max(leastLimit, std::min<double>(state.limit, state.inFlight) * refusalFactor);
        ++state.refusals;
    }
    state.inFlight = std::max(0, state.inFlight - 1);
    state.fullUntil = now + refusalPause;
}

void ServerLoads::onFailure(std::string_view id, Instant now)
{
    Server& state = server(id);
    state.inFlight = std::max(0, state.inFlight - 1);
    state.suspendedUntil = now + suspension;
}

void ServerLoads::onUnreachable(std::string_view id, Instant now)
{
    Server& state = server(id);
    state.suspendedUntil = now + suspension;
    state.unreachableUntil = now + unreachablePause;
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
    state.othersLoad = state.reportedLoad - state.inFlight;
    state.reportedLoadExpiry = now + loadLifetime;
}

void ServerLoads::retain(const std::set<std::string>& ids)
{
    std::erase_if(servers_, [&](const auto& entry) { return !ids.contains(entry.first); });
}

} // namespace endiveroad
