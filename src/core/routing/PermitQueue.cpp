#include <algorithm>
#include <cmath>
#include <endiveroad/PermitQueue.h>
#include <iterator>

namespace endiveroad {

namespace {

using Seconds = std::chrono::duration<double>;

/// Longest wait that is worked out, so that tiny rates give no overflow.
constexpr Duration longestWait = std::chrono::hours(1);

Duration toDuration(double seconds)
{
    const double longest = Seconds(longestWait).count();
    return std::chrono::ceil<Duration>(Seconds(std::clamp(seconds, 0.0, longest)));
}

} // namespace

PermitQueue::PermitQueue(double limit, double permits, Instant now)
    : limit_(limit)
    , permits_(permits)
    , accumulatedAt_(now)
{
}

double PermitQueue::rate() const
{
    return std::max(limit_, leastRate) * share_;
}

void PermitQueue::setLimit(double limit, Instant now)
{
    accumulate(now);
    limit_ = limit;
}

void PermitQueue::accumulate(Instant now)
{
    const double most = std::max(1.0, rate() * Seconds(burstTime).count());
    const double elapsed = Seconds(std::max(now - accumulatedAt_, Duration::zero())).count();
    permits_ = std::min(most, permits_ + rate() * elapsed);
    accumulatedAt_ = now;
    std::erase_if(askers_, [now](const auto& entry) { return entry.second <= now; });
}

void PermitQueue::setShare(double share, Instant now)
{
    accumulate(now);
    share_ = share;
}

uint64_t PermitQueue::add(PermitDemand demand, Instant now)
{
    askers_[demand.process] = now + askerLifetime;
    waiting_.emplace(++lastTicket_, std::move(demand));
    return lastTicket_;
}

bool PermitQueue::areInTime(const std::vector<uint64_t>& order, size_t from) const
{
    double permits = 0;
    for (size_t i = 0; i < order.size(); ++i) {
        const PermitDemand& demand = waiting_.at(order[i]);
        permits += permitsFor(demand);
        if (i >= from && permitAt(permits) > demand.latestStart)
            return false;
    }
    return true;
}

std::vector<uint64_t> PermitQueue::schedule() const
{
    std::vector<Place> order;
    for (const auto& [ticket, demand] : waiting_) {
        const double permits = permitsFor(demand);
        size_t position = positionOf(demand, permits, order);
        const double before = position > 0 ? order[position - 1].permitsUpTo : 0;
        order.insert(order.begin() + static_cast<std::ptrdiff_t>(position), { ticket, &demand, before + permits });
        while (++position < order.size())
            order[position].permitsUpTo += permits;
    }
    std::vector<uint64_t> tickets;
    tickets.reserve(order.size());
    for (const Place& place : order)
        tickets.push_back(place.ticket);
    return tickets;
}

size_t PermitQueue::positionOf(const PermitDemand& demand, double permits, const std::vector<Place>& order) const
{
    const auto lessUrgent = std::find_if(
        order.begin(), order.end(), [&demand](const Place& place) { return place.demand->priority > demand.priority; });
    // Behind the last of the less urgent ones that would come too late if this one went before it.
    for (auto place = order.end(); place != lessUrgent; --place) {
        const Place& last = *std::prev(place);
        if (permitAt(last.permitsUpTo + permits) > last.demand->latestStart)
            return static_cast<size_t>(place - order.begin());
    }
    return static_cast<size_t>(lessUrgent - order.begin());
}

uint64_t PermitQueue::nextOf(const std::vector<uint64_t>& order) const
{
    const bool isOldestDue = grants_ % oldestFirstInterval == oldestFirstInterval - 1;
    if (!isOldestDue)
        return order.front();
    const uint64_t oldest = *std::min_element(order.begin(), order.end());
    std::vector<uint64_t> oldestFirst { oldest };
    std::copy_if(order.begin(), order.end(), std::back_inserter(oldestFirst),
        [oldest](uint64_t ticket) { return ticket != oldest; });
    return areInTime(oldestFirst, 1) ? oldest : order.front();
}

double PermitQueue::permitsFor(const PermitDemand& demand) const
{
    const double batch = std::floor(rate() * Seconds(batchTime).count());
    return std::clamp<double>(demand.count, 1, std::max(batch, 1.0));
}

Instant PermitQueue::permitAt(double permits) const
{
    return accumulatedAt_ + toDuration((permits - permits_) / rate());
}

std::vector<PermitDecision> PermitQueue::decide(Instant now)
{
    accumulate(now);
    std::vector<PermitDecision> decisions;
    std::vector<uint64_t> inTime;
    double permits = 0;
    for (const uint64_t ticket : schedule()) {
        const double wanted = permitsFor(waiting_.at(ticket));
        const Instant startAt = permitAt(permits + wanted);
        if (startAt <= waiting_.at(ticket).latestStart) {
            permits += wanted;
            inTime.push_back(ticket);
            continue;
        }
        decisions.push_back({ ticket, 0, startAt });
        waiting_.erase(ticket);
    }
    while (!inTime.empty()) {
        const uint64_t ticket = nextOf(inTime);
        const PermitDemand& demand = waiting_.at(ticket);
        if (permits_ < permitsFor(demand))
            break;
        const int32_t count = std::clamp(demand.count, 1, static_cast<int32_t>(std::min(permits_, 1e6)));
        askers_[demand.process] = now + askerLifetime;
        ++grants_;
        permits_ -= count;
        decisions.push_back({ ticket, count, now });
        waiting_.erase(ticket);
        std::erase(inTime, ticket);
    }
    return decisions;
}

Instant PermitQueue::nextDecisionAt() const
{
    return waiting_.empty() ? never : permitAt(permitsFor(waiting_.at(nextOf(schedule()))));
}

size_t PermitQueue::askers(Instant now) const
{
    return static_cast<size_t>(
        std::count_if(askers_.begin(), askers_.end(), [now](const auto& entry) { return entry.second > now; }));
}

Duration PermitQueue::intervalOfProcess(Instant now) const
{
    return toDuration(static_cast<double>(std::max<size_t>(askers(now), 1)) / rate());
}

} // namespace endiveroad
