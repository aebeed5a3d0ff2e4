#pragma once

#include <cstdint>
#include <endiveroad/LimitedServers.h>
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

/// A server that may get a call.
struct ServerCandidate {
    std::string id;
    /// Number of requests that it can run at once, for all processes together.
    int32_t slots = 1;
    /// For a server with a request limit.
    std::optional<PermitOutlook> permits = std::nullopt;

    auto operator<=>(const ServerCandidate&) const = default;
};

/// How fast a group of servers takes the calls of one process.
struct ServiceRate {
    /// Time between two calls that begin.
    Duration interval {};
    /// Latency of the fastest server.
    Duration latency {};
    /// When the next call may begin.
    Instant startAt = Instant::min();
    /// Share by which calls may begin later than worked out, since others share request limits.
    double uncertainty = 0;
    /// Mean latency of the calls that begin.
    Duration meanLatency {};

    auto operator<=>(const ServiceRate&) const = default;
};

/// Chooses the backend server of each call by the latency and load that this process has observed, and bounds how many
/// calls this process has at each server.
class ServerLoads {
public:
    /// How long after a failed call a server is chosen only if no other is left.
    static constexpr Duration suspension = std::chrono::seconds(1);

    /// Age from which a load that a server reported is ignored.
    static constexpr Duration loadLifetime = std::chrono::milliseconds(500);

    /// Age from which a call that yields ignores a reported load, so that it learns of the room that others leave.
    static constexpr Duration yieldTime = std::chrono::milliseconds(100);

    /// Calls that a process may have at a server beyond its slots, so that a slot that becomes free has work at once.
    static constexpr int32_t queuedCalls = 2;

    /// Time after a refusal in which a full server gets no call of this process.
    static constexpr Duration refusalPause = std::chrono::milliseconds(25);

    /// Time in which a server that could not be reached gets no call of this process.
    static constexpr Duration unreachablePause = std::chrono::milliseconds(100);

    /// ServiceRate::uncertainty of servers that all have request limits.
    static constexpr double limitUncertainty = 1;

    explicit ServerLoads(uint64_t seed)
        : random_(seed)
    {
    }

    /// Chooses the server with the lowest product of expected queue length and latency. Suspended servers are chosen
    /// only if no other is left; never those in `tried`, those that refused or could not be reached just now, and those
    /// that have as many calls of this process as its limit allows. Nothing if none is left. Ties are broken at random.
    /// Load pattern: few servers of unequal speed, some of which become slow or stop answering.
    /// A call that yields has time in hand and is not sent to servers that other processes have just filled.
    std::optional<std::string> choose(const std::vector<ServerCandidate>& servers, const std::set<std::string>& tried,
        Instant now, bool isYielding = false);

    /// How fast the servers take this process's calls while all of them are busy, or as fast as their request limits
    /// allow. Load pattern: so many processes share a service that each has fewer slots than its least limit assumes,
    /// and spends much of its time in refusalPause.
    ServiceRate rateOf(const std::vector<ServerCandidate>& servers) const;

    /// A call was sent to the server; one of onAnswer(), onFailure() and onAbandoned() follows.
    void onStart(std::string_view server);

    /// The server answered after the given time. Also lifts its suspension.
    void onAnswer(std::string_view server, Duration latency, Instant now);

    /// The server sent a broken answer or was too late; suspends it.
    void onFailure(std::string_view server, Instant now);

    /// The server could not be reached; suspends it, and for a shorter time it is not chosen at all. Does not end a
    /// call that onStart() began. Load pattern: all servers of a service end together while calls wait for them.
    void onUnreachable(std::string_view server, Instant now);

    /// The server refused the call because it is full. Halves the limit of this process, which begins at half of the
    /// server's slots; each answer raises it, up to all slots and queuedCalls. Load pattern: several processes send
    /// more calls to a service than it has slots, none of them knowing of the others.
    void onRefused(std::string_view server, Instant now);

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
        /// Calls of other processes in reportedLoad.
        int32_t othersLoad = 0;
        Instant suspendedUntil = Instant::min();
        /// Calls that this process may have at the server; 0 until it is a candidate for the first time.
        double limit = 0;
        /// Largest limit, from the server's slots.
        double maxLimit = 0;
        Instant fullUntil = Instant::min();
        /// Bursts of refusals since the last answer, and their moving average for each answer.
        int32_t refusals = 0;
        double refusalsPerAnswer = 0;
        Instant unreachableUntil = Instant::min();
    };

    Server& server(std::string_view id);

    std::map<std::string, Server, std::less<>> servers_;
    std::minstd_rand random_;
};

} // namespace endiveroad
