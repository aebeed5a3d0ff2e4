#pragma once

#include "io/Signal.h"
#include "io/entry/AgentDirectory.h"

#include <endiveroad/WeightPlan.h>
#include <map>
#include <string>

/// Gives the orders of each pool's weight plan to agents.
namespace endiveroad::io {

class WeightRollout {
public:
    /// Longest time between two looks at the reports.
    static constexpr Duration maxCheckInterval = std::chrono::milliseconds(50);

    WeightRollout(asio::io_context&, AgentDirectory&);

    /// Takes an announcement; one of an older order than the known one changes nothing. Returns whether it was new.
    bool announce(const std::string& pool, AnnouncedPolicy);

    /// Newest announced weights by pool.
    std::map<std::string, AnnouncedPolicy> policies() const;

private:
    asio::awaitable<void> run();
    void sendLoadOrders(const std::string& pool, WeightPlan&);
    asio::awaitable<void> sendLoadOrder(std::string agent, std::string pool, AnnouncedPolicy);
    /// Smallest share that any job of the pool allows to swap at once.
    double swapShare(const std::string& pool) const;

    asio::io_context& context_;
    AgentDirectory& agents_;
    std::map<std::string, WeightPlan> plans_;
    Signal changed_;
};

} // namespace endiveroad::io
