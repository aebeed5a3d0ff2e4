#include <algorithm>
#include <cmath>
#include <endiveroad/ReplicaScaling.h>

namespace endiveroad {

namespace {

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

int32_t clampToBounds(int32_t replicas, const ReplicaBounds& bounds)
{
    return std::max(bounds.min, std::min(replicas, bounds.max));
}

} // namespace

int32_t ReplicaScaling::neededReplicas(const ScalingObservation& observation, Instant now)
{
    double slots = observation.busySlots;
    if (observation.waitingDueAt != never && observation.waitingWork > Duration::zero()) {
        // Work that is due before a new replica serves is spread over the boot time: a replica that is ordered for it
        // would come too late to do it faster.
        const Duration left = std::max(observation.waitingDueAt - now, observation.bounds.bootTime);
        const double available = std::max(seconds(left), 1.0);
        slots += seconds(observation.waitingWork) / available;
    }
    const double slotsPerReplica = std::max(observation.slotsPerReplica, 1);
    return static_cast<int32_t>(std::ceil(slots / (slotsPerReplica * targetUtilisation)));
}

void ReplicaScaling::observe(
    const ScalingSubject& name, const ScalingObservation& observation, Duration period, Instant now)
{
    Subject& subject = subjects_[name];
    subject.last = observation;
    subject.period = std::max(period, minPeriod);
    if (subject.observedSince == never)
        subject.observedSince = now;
    const int32_t needed = neededReplicas(observation, now);
    while (!subject.needs.empty() && subject.needs.back().replicas <= needed)
        subject.needs.pop_back();
    subject.needs.push_back({ now, needed });
    while (subject.needs.front().seenAt + subject.period < now)
        subject.needs.pop_front();
}

int32_t ReplicaScaling::target(const Subject& subject, Instant now)
{
    const ReplicaBounds& bounds = subject.last.bounds;
    const int32_t current = clampToBounds(subject.ordered.value_or(subject.last.replicas), bounds);
    const int32_t needed = clampToBounds(subject.needs.front().replicas, bounds);
    if (needed >= current)
        return needed;
    const bool isPeriodSeen = now >= subject.observedSince + subject.period;
    return isPeriodSeen && now >= subject.reduceFrom ? needed : current;
}

std::vector<ScalingDecision> ReplicaScaling::decide(Instant now) const
{
    std::vector<ScalingDecision> decisions;
    for (const auto& [name, subject] : subjects_) {
        const int32_t replicas = target(subject, now);
        const bool isInForce = subject.ordered ? *subject.ordered == replicas : subject.last.replicas == replicas;
        if (!isInForce)
            decisions.push_back({ name, replicas });
    }
    return decisions;
}

void ReplicaScaling::onAccepted(const ScalingDecision& decision, Instant now)
{
    const auto found = subjects_.find(decision.subject);
    if (found == subjects_.end())
        return;
    Subject& subject = found->second;
    const bool isIncrease = decision.replicas > subject.ordered.value_or(subject.last.replicas);
    subject.ordered = decision.replicas;
    // A new replica is kept for its boot time and a whole period of demand at least.
    if (isIncrease)
        subject.reduceFrom = now + subject.last.bounds.bootTime + subject.period;
}

void ReplicaScaling::onUnconfirmed(const ScalingDecision& decision)
{
    const auto found = subjects_.find(decision.subject);
    // The order may still take effect, so that the number in force is not known.
    if (found != subjects_.end() && found->second.ordered == decision.replicas)
        found->second.ordered.reset();
}

void ReplicaScaling::retain(const std::vector<ScalingSubject>& observed)
{
    std::erase_if(subjects_, [&observed](const auto& entry) {
        return std::find(observed.begin(), observed.end(), entry.first) == observed.end();
    });
}

} // namespace endiveroad
