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

/// Load balancing over the backend servers of services that do not run models.
namespace endiveroad {

/// Chooses the backend server of each call by the latency and load that this process has observed.
class ServerLoads {
public:
    /// How long after a failed call a server is chosen only if no other is left.
    static constexpr Duration suspension = std::chrono::seconds(1);

    /// Age from which a load that a server reported is ignored.
    static constexpr Duration loadLifetime = std::chrono::milliseconds(500);

    explicit ServerLoads(uint64_t seed)
        : random_(seed)
    {
    }

    /// Chooses the server with the lowest product of expected queue length and latency. Suspended servers are chosen
    /// only if no other is left, servers in `tried` never; nothing if all were tried. Ties are broken at random. Load
    /// pattern: few servers of unequal speed, some of which become slow or stop answering.
    std::optional<std::string> choose(
        const std::vector<std::string>& servers, const std::set<std::string>& tried, Instant now);

    /// A call was sent to the server; one of onAnswer(), onFailure() and onAbandoned() follows.
    void onStart(std::string_view server);

    /// The server answered after the given time. Also lifts its suspension.
    void onAnswer(std::string_view server, Duration latency, Instant now);

    /// The server could not be reached, sent a broken answer or was too late; suspends it.
    void onFailure(std::string_view server, Instant now);

    /// The call was abandoned for a reason unrelated to the server.
    void onAbandoned(std::string_view server);

    /// The server reported how many requests it runs and queues.
    void onLoadReport(std::string_view server, int32_t running, int32_t waiting, Instant now);

    /// Forgets all servers but these.
    void retain(const std::set<std::string>& servers);

private:
    struct Server {
        int32_t inFlight = 0;
        double latencyMs = 0;
        int32_t reportedLoad = 0;
        Instant reportedLoadExpiry = Instant::min();
        Instant suspendedUntil = Instant::min();
    };

    Server& server(std::string_view id);

    std::map<std::string, Server, std::less<>> servers_;
    std::minstd_rand random_;
};

} // namespace endiveroad
