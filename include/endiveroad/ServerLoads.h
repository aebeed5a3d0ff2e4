#pragma once

#include <cstdint>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Chooses a backend server for each call of a plain service from what this process has seen of the servers itself.
namespace endiveroad {

class ServerLoads {
public:
    /// Time for which a server that did not answer gets calls only if no other is left.
    static constexpr Duration suspension = std::chrono::seconds(1);

    /// Age at which the load that a server told is no longer used.
    static constexpr Duration loadLifetime = std::chrono::milliseconds(500);

    explicit ServerLoads(uint64_t seed)
        : random_(seed)
    {
    }

    /// Load pattern: few servers of unequal speed, some of which turn slow or silent. Takes the server with the lowest
    /// product of expected queue and latency; suspended servers come last, those already tried never.
    std::optional<std::string> choose(
        const std::vector<std::string>& servers, const std::set<std::string>& tried, Instant now);

    void onStart(std::string_view server);

    /// The call was answered after the given time.
    void onAnswer(std::string_view server, Duration latency, Instant now);

    /// The server could not be reached, broke its answer or was too late.
    void onFailure(std::string_view server, Instant now);

    /// The call was given up for a reason that is not the server's.
    void onAbandoned(std::string_view server);

    /// Running and waiting requests that the server told.
    void onLoad(std::string_view server, int32_t running, int32_t waiting, Instant now);

    /// Drops what is known of servers that are no longer listed.
    void retain(const std::set<std::string>& servers);

private:
    struct Server {
        int32_t inFlight = 0;
        double latencyMs = 0;
        int32_t toldLoad = 0;
        Instant toldLoadExpiry = Instant::min();
        Instant suspendedUntil = Instant::min();
    };

    Server& server(std::string_view id);

    std::map<std::string, Server, std::less<>> servers_;
    std::minstd_rand random_;
};

} // namespace endiveroad
