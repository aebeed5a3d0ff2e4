#pragma once

#include "io/Signal.h"
#include "io/entry/AgentDirectory.h"

#include <endiveroad/WeightPlan.h>
#include <map>
#include <string>

namespace endiveroad::io {

/// Rolls announced weights out to the agents of each pool: sends load requests (wire::LoadRequest) to the agents that
/// the pool's WeightPlan names.
class WeightRollout {
public:
    /// Longest time between two checks of the agents' reports.
    static constexpr Duration maxCheckInterval = std::chrono::milliseconds(50);

    WeightRollout(asio::io_context&, AgentDirectory&);

    /// Accepts an announcement and returns true if its PolicyState::order is higher than that of the newest one;
    /// otherwise changes nothing.
    bool announce(const std::string& pool, AnnouncedPolicy);

    /// Newest announced weights by pool.
    std::map<std::string, AnnouncedPolicy> policies() const;

private:
    asio::awaitable<void> run();
    /// Sends a load request to each agent that is due to load.
    void sendLoadRequests(const std::string& pool, WeightPlan&);
    /// Sends one load request and reports to the plan whether it succeeded.
    asio::awaitable<void> sendLoadRequest(std::string agent, std::string pool, AnnouncedPolicy);
    /// Share of the pool's replicas that may swap at once: the smallest that a job of the pool allows.
    double swapShare(const std::string& pool) const;

    asio::io_context& context_;
    AgentDirectory& agents_;
    std::map<std::string, WeightPlan> plans_;
    Signal changed_;
};

} // namespace endiveroad::io
