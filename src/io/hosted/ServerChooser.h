#pragma once

#include "io/hosted/RequestLimits.h"

#include <endiveroad/Directory.h>
#include <endiveroad/ServerLoads.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Chooses the backend servers of requests by load and by the limits that servers name.
namespace endiveroad::io {

/// A server that was chosen for a request, and the permit to send it.
struct ChosenServer {
    ServerRecord server;
    ServerPermit permit;
    /// It runs models, so that it states its start.
    bool isEngine = false;
};

/// What a request needs of a server.
struct ServerDemand {
    RequestPath path = RequestPath::Call;
    /// The request has another attempt under way.
    bool isHedge = false;
    /// The request has time in hand and leaves full servers to others.
    bool isYielding = false;
    /// Only servers that run this software; nothing for any.
    std::optional<SoftwareVersion> software;
    /// Number of requests that wait for a server of the service, this one among them, and the last of their deadlines.
    size_t waiting = 1;
    Instant lastDeadline;
};

class ServerChooser {
public:
    /// Time between two requests for permits for a limited server while others have room. They let the process use what
    /// the limit leaves, and learn of its end.
    static constexpr Duration explorationInterval = std::chrono::milliseconds(500);

    /// Time for which a call may wait for such a permit, and its priority.
    static constexpr Duration explorationWait = std::chrono::milliseconds(100);
    static constexpr int32_t explorationPriority = 1000;

    using DirectorySource = std::function<std::shared_ptr<const Directory>()>;

    ServerChooser(RequestLimits&, DirectorySource, uint64_t seed);

    /// Chooses a ready server of one of the route's services that is not excluded, with a permit; nothing if there is
    /// none. Asks for permits for limited servers.
    std::optional<ChosenServer> choose(
        const RouteDeclaration&, const ServerDemand&, const std::set<std::string>& excluded);

    /// choose() among one server.
    std::optional<ChosenServer> chooseOnly(const RouteDeclaration&, const ServerDemand&, const std::string& server);

    /// Ready servers of all services of the route; only those with this software, if it is given.
    std::vector<ServerCandidate> candidatesOf(
        const RouteDeclaration&, const std::optional<SoftwareVersion>& = std::nullopt) const;

    /// How fast these servers take requests.
    ServiceRate rateOf(const RouteDeclaration& route, const std::optional<SoftwareVersion>& software) const
    {
        return loads_.rateOf(candidatesOf(route, software));
    }

    /// True if a server of the route was replaced by one whose registration is still to come.
    bool isServerExpected(const RouteDeclaration&) const;

    /// What is known of the servers' loads.
    ServerLoads& loads() { return loads_; }

    /// Removes the records of servers that are no longer registered.
    void onDirectory(const Directory&);

private:
    /// Chooses one of the route's services at random by weight.
    const std::string& chooseService(const RouteDeclaration&);
    /// The service that has the demanded software, or chooseService().
    const std::string& serviceFor(const RouteDeclaration&, const ServerDemand&);
    void demandPermits(
        const RouteDeclaration&, const ServerDemand&, const std::vector<ServerRecord>& limited, bool isWaiting);

    RequestLimits& limits_;
    DirectorySource directory_;
    ServerLoads loads_;
    /// When a permit for the server is requested again although others have room, by server id.
    std::map<std::string, Instant> explorations_;
    std::minstd_rand random_;
};

} // namespace endiveroad::io
