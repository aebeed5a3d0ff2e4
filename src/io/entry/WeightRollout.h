#pragma once

#include "io/entry/AgentDirectory.h"

#include <map>
#include <string>

/// Rolling order of announced weight versions over the engines of a pool, bounded by the share that may swap at once.
namespace endiveroad::io {

/// Weights that a trainer announced for a pool's model.
struct AnnouncedPolicy {
    WeightVersion version = unknownVersion;
    std::string weights;

    auto operator<=>(const AnnouncedPolicy&) const = default;
};

class WeightRollout {
public:
    static constexpr Duration round = std::chrono::milliseconds(50);
    static constexpr Duration orderTimeout = std::chrono::seconds(30);
    static constexpr Duration failedOrderDelay = std::chrono::milliseconds(500);

    WeightRollout(asio::io_context&, AgentDirectory&);

    /// Takes an announcement; an older version than the known one changes nothing. Returns whether it was new.
    bool announce(const std::string& pool, AnnouncedPolicy, double swapShare);

    const std::map<std::string, AnnouncedPolicy>& policies() const { return policies_; }

private:
    asio::awaitable<void> run();
    void orderSwaps(const std::string& pool, const AnnouncedPolicy&);
    asio::awaitable<void> order(std::string agent, std::string pool, AnnouncedPolicy);

    asio::io_context& context_;
    AgentDirectory& agents_;
    std::map<std::string, AnnouncedPolicy> policies_;
    std::map<std::string, double> swapShares_;
    /// Agents with an order under way or held back after a failure, until the instant.
    std::map<std::string, Instant> busyUntil_;
};

} // namespace endiveroad::io
