#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <endiveroad/ServerLoads.h>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Order of the calls that wait in one process until a server of their service has room.
namespace endiveroad {

/// A call in the queue of its service.
struct CallTicket {
    /// RouteDeclaration::priority or that of the organisation; 0 is the most urgent.
    int32_t priority = 0;
    Instant deadline = never;
    /// Distinguishes calls; earlier ones have a lower number.
    uint64_t number = 0;
    /// An answer after this time has less value.
    Instant objectiveAt = never;
    /// Empty for none.
    std::string organisation {};

    /// When an answer has its full value; an answer after the deadline has none.
    Instant wantedAt() const { return std::min(objectiveAt, deadline); }

    auto operator<=>(const CallTicket&) const = default;
};

/// What becomes of the calls that wait for a service.
struct WaitingOutlook {
    /// Cannot be answered before their deadlines.
    std::vector<CallTicket> hopeless;
    /// Number of the others, and when the last of them has begun.
    size_t remaining = 0;
    Instant roomAt = Instant::min();

    auto operator<=>(const WaitingOutlook&) const = default;
};

/// Load pattern: more calls than a service can answer within their objectives arrive for seconds, and hundreds of
/// scoring calls become due within a few milliseconds, while callers' requests of the same service go on arriving.
///
/// Order: urgent calls first. Among equals, calls that can still be answered within their objective, by the latest
/// start that allows it, then the others by deadline. Where servers have request limits, all go by deadline. The
/// organisations of equal calls have turns.
class WaitingCalls {
public:
    CallTicket add(const std::string& service, int32_t priority, Instant deadline, Instant objectiveAt = never,
        const std::string& organisation = {});
    void remove(const std::string& service, const CallTicket&);

    /// A call was sent to a server while others wait for the service, so that its organisation has had its turn.
    void onStart(const std::string& service, const CallTicket&, Instant now);

    /// How fast the service takes the calls. Determines which of them can be answered within their objective.
    void setRate(const std::string& service, const ServiceRate&);

    std::optional<CallTicket> first(const std::string& service, Instant now) const;

    /// The latest deadline of the calls that wait for the service; nothing if none waits.
    std::optional<Instant> lastDeadline(const std::string& service) const;

    /// False if a call that goes before waits for the service.
    bool isFirst(const std::string& service, const CallTicket&, Instant now) const;

    /// Plans the calls if one begins each `rate.interval` and takes `rate.latency`. Calls that cannot be answered
    /// before their deadlines do not delay those behind them. Calls that are late for their objective get the share of
    /// the rate that such calls had of late, since calls that arrive meanwhile go before them. A call that has just
    /// begun to wait has to be in time with `rate.uncertainty` as well, so that few calls are given up after they have
    /// waited.
    WaitingOutlook outlook(const std::string& service, const ServiceRate& rate, Instant now,
        std::optional<CallTicket> newcomer = std::nullopt) const;

    /// The hopeless calls of the outlook.
    std::vector<CallTicket> hopeless(const std::string& service, const ServiceRate& rate, Instant now,
        std::optional<CallTicket> newcomer = std::nullopt) const
    {
        return outlook(service, rate, now, std::move(newcomer)).hopeless;
    }

    /// Services for which calls wait.
    std::vector<std::string> services() const;

    /// Number of calls that wait for the service.
    size_t count(const std::string& service) const;

private:
    struct Queue {
        std::set<CallTicket> tickets;
        Duration latency {};
        /// Servers have request limits, whose permits come at times that are only estimated. Calls that keep going
        /// before others would then leave these to wait for long before they are rejected.
        bool isByDeadline = false;
        /// Moving average of the share of late calls among those that begin.
        double lateShare = 1;
        uint64_t lastTurn = 0;
        /// Of the last call that began, by organisation.
        std::map<std::string, uint64_t> turns;

        /// False also if isByDeadline.
        bool canMeetObjective(const CallTicket&, Instant start) const;
        uint64_t turnOf(const std::string& organisation) const;
        bool goesBefore(const CallTicket&, const CallTicket& other, Instant now) const;
    };

    const Queue* find(const std::string& service) const;

    uint64_t lastNumber_ = 0;
    /// Services for which calls wait.
    std::map<std::string, Queue> queues_;
};

/// Why a call was rejected and what would have let it in: the number of calls that wait, the rate at which they begin,
/// and the time at which there is room.
std::string describeRejection(const WaitingOutlook&, const ServiceRate&, Instant now);

} // namespace endiveroad
