#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Time.h>
#include <map>
#include <string>
#include <vector>

/// Issues the permits for the requests of all processes to one backend server that has named a request limit.
namespace endiveroad {

/// What a process asks for.
struct PermitDemand {
    std::string process;
    /// RouteDeclaration::priority of the most urgent request; 0 is the most urgent.
    int32_t priority = 0;
    /// Number of permits, at least 1.
    int32_t count = 1;
    /// When the last request has to begin, so that its answer comes in time.
    Instant latestStart = never;

    auto operator<=>(const PermitDemand&) const = default;
};

/// What became of a demand.
struct PermitDecision {
    uint64_t ticket = 0;
    /// Number of permits; 0 if none can be issued in time.
    int32_t count = 0;
    /// When none can be issued in time: when this one would have been.
    Instant retryAt = Instant::min();

    auto operator<=>(const PermitDecision&) const = default;
};

/// A token bucket with a queue. Load pattern: dozens of processes together want many times what the server takes.
class PermitQueue {
public:
    /// Time for which unused permits accumulate; at least one does in any case.
    static constexpr Duration burstTime = std::chrono::seconds(1);

    /// A process that wants several permits waits until so much of the limit has accumulated, so that a high limit
    /// costs few messages.
    static constexpr Duration batchTime = std::chrono::milliseconds(200);

    /// Lowest rate, in permits a second. A server that named zero gets a request now and then all the same, as only its
    /// answers tell that the limit has ended.
    static constexpr double leastRate = 0.25;

    /// One grant of so many goes to the oldest demand, whatever its priority, so that none waits for ever.
    static constexpr uint64_t oldestFirstInterval = 4;

    /// Time for which a process that asked counts among those that share the limit.
    static constexpr Duration askerLifetime = std::chrono::seconds(2);

    PermitQueue(double limit, double permits, Instant now);

    double limit() const { return limit_; }
    void setLimit(double limit, Instant now);

    /// Share of the limit that this queue may issue, above 0 and at most 1; the whole at first.
    void setShare(double share, Instant now);

    /// Returns the ticket of the demand.
    uint64_t add(PermitDemand, Instant now);

    /// The process that asked no longer waits.
    void remove(uint64_t ticket) { waiting_.erase(ticket); }

    /// Decides on as many demands as possible and removes them: first those that cannot be served in time are denied,
    /// so that they hold up nobody, then permits go by priority, then by age. A demand that comes later goes before an
    /// older one only if that one is still in time. A process has one demand of a priority at
    /// a time, so that the processes take turns.
    std::vector<PermitDecision> decide(Instant now);

    /// When the next demand can be decided; never if none waits.
    Instant nextDecisionAt() const;

    /// Number of processes that share the limit.
    size_t askers(Instant now) const;

    /// Time between two permits for one of the processes that share the limit.
    Duration intervalOfProcess(Instant now) const;

private:
    /// A demand in its place in the schedule.
    struct Place {
        uint64_t ticket = 0;
        const PermitDemand* demand = nullptr;
        /// Number of permits that it and those before it need.
        double permitsUpTo = 0;
    };

    double rate() const;
    void accumulate(Instant now);
    /// Number of permits that have to accumulate for the demand.
    double permitsFor(const PermitDemand&) const;
    /// When so many permits will have accumulated.
    Instant permitAt(double permits) const;
    /// The tickets of the waiting demands in the order in which they get permits. Takes time with the square of their
    /// number.
    std::vector<uint64_t> schedule() const;
    /// Where a demand for so many permits goes.
    size_t positionOf(const PermitDemand&, double permits, const std::vector<Place>& order) const;
    /// True if the demands from the position on get their permits in time.
    bool areInTime(const std::vector<uint64_t>& order, size_t from) const;
    /// The ticket that gets permits next; `order` is not empty.
    uint64_t nextOf(const std::vector<uint64_t>& order) const;

    double limit_;
    double share_ = 1;
    double permits_;
    Instant accumulatedAt_;
    uint64_t lastTicket_ = 0;
    uint64_t grants_ = 0;
    std::map<uint64_t, PermitDemand> waiting_;
    /// Until when each process that asked counts among those that share the limit.
    std::map<std::string, Instant> askers_;
};

} // namespace endiveroad
