#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <endiveroad/Directory.h>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Decides how many replicas a service is to have in each failure domain, from the demand that is seen.
namespace endiveroad {

/// A service in a failure domain.
struct ScalingSubject {
    std::string service;
    std::string failureDomain;

    auto operator<=>(const ScalingSubject&) const = default;
};

/// Demand and capacity of a service in a failure domain at one moment.
struct ScalingObservation {
    ReplicaBounds bounds;
    /// Replicas that serve.
    int32_t replicas = 0;
    /// Requests that one of them runs at once.
    int32_t slotsPerReplica = 1;
    /// Requests that run.
    double busySlots = 0;
    /// Time for which the requests that wait would occupy one slot.
    Duration waitingWork {};
    /// When the requests that wait have to be done; never if none waits.
    Instant waitingDueAt = never;

    auto operator<=>(const ScalingObservation&) const = default;
};

/// The number of replicas that a subject is to have from now on.
struct ScalingDecision {
    ScalingSubject subject;
    int32_t replicas = 0;

    auto operator<=>(const ScalingDecision&) const = default;
};

/// Load pattern: demand comes in steps of some seconds with pauses between them, and a new replica serves only after
/// its boot time. Replicas are added as soon as the work that is seen cannot be done in time without them, and removed
/// only if none of a whole period of demand has needed them.
class ReplicaScaling {
public:
    /// Share of a replica's slots that demand may occupy before another replica is needed. The rest absorbs
    /// differences between replicas.
    static constexpr double targetUtilisation = 0.85;

    /// Period of demand that is remembered while no longer one is known.
    static constexpr Duration minPeriod = std::chrono::seconds(15);

    /// Records an observation. `period` is the time between two steps of demand, as far as is known.
    void observe(const ScalingSubject&, const ScalingObservation&, Duration period, Instant now);

    /// Decisions that differ from the last confirmed or pending order of their subject.
    std::vector<ScalingDecision> decide(Instant now) const;

    /// The platform has accepted the order.
    void onAccepted(const ScalingDecision&, Instant now);

    /// It is not known whether the order was accepted, or the platform rejected it; it is repeated.
    void onUnconfirmed(const ScalingDecision&);

    /// Forgets subjects that are no longer observed.
    void retain(const std::vector<ScalingSubject>&);

private:
    /// Replicas that were needed at one moment.
    struct Need {
        Instant seenAt;
        int32_t replicas = 0;
    };

    struct Subject {
        ScalingObservation last;
        /// Needs of the last period, with falling numbers: a later, greater need replaces earlier ones.
        std::deque<Need> needs;
        /// Until then every need is remembered.
        Instant observedSince = never;
        Duration period = minPeriod;
        /// The last order that the platform accepted; nothing if there is none.
        std::optional<int32_t> ordered;
        /// No order reduces the number of replicas before this.
        Instant reduceFrom = Instant::min();
    };

    static int32_t neededReplicas(const ScalingObservation&, Instant now);
    static int32_t target(const Subject&, Instant now);

    std::map<ScalingSubject, Subject> subjects_;
};

} // namespace endiveroad
