#pragma once

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

/// Place of a call in the queue of its service. Urgent routes go first, then the call whose caller gives up first.
struct CallTicket {
    /// RouteDeclaration::priority; 0 is the most urgent.
    int32_t priority = 0;
    Instant deadline = never;
    /// Distinguishes calls; earlier ones have a lower number.
    uint64_t number = 0;

    auto operator<=>(const CallTicket&) const = default;
};

/// Load pattern: hundreds of scoring calls become due within a few milliseconds for a service with a few dozen slots,
/// while callers' requests of the same service go on arriving.
class WaitingCalls {
public:
    CallTicket add(const std::string& service, int32_t priority, Instant deadline);
    void remove(const std::string& service, const CallTicket&);

    std::optional<CallTicket> first(const std::string& service) const;

    /// The latest deadline of the calls that wait for the service; nothing if none waits.
    std::optional<Instant> lastDeadline(const std::string& service) const;

    /// False if a call that goes before waits for the service.
    bool isFirst(const std::string& service, const CallTicket&) const;

    /// The calls that cannot be answered before their deadlines if one begins each `rate.interval` and takes
    /// `rate.latency`. They do not delay those behind them. A call that has just begun to wait has to be in time with
    /// `rate.uncertainty` as well, so that few calls are given up after they have waited.
    std::vector<CallTicket> hopeless(const std::string& service, const ServiceRate& rate, Instant now,
        std::optional<CallTicket> newcomer = std::nullopt) const;

    /// Services for which calls wait.
    std::vector<std::string> services() const;

    /// Number of calls that wait for the service.
    size_t count(const std::string& service) const;

private:
    uint64_t lastNumber_ = 0;
    std::map<std::string, std::set<CallTicket>> ticketsByService_;
};

} // namespace endiveroad
