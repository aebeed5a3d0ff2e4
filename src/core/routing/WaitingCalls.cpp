#include <algorithm>
#include <deque>
#include <endiveroad/WaitingCalls.h>
#include <fmt/format.h>
#include <iterator>
#include <tuple>

namespace endiveroad {

namespace {

/// Weight of the newest call in the share of late calls, and the least share that late calls can hope for.
constexpr double newestCallWeight = 0.1;
constexpr double leastLateShare = 0.1;

/// A call that can just meet its objective at the mean latency would be late at many servers, so a fifth of the time
/// that is left is kept in reserve.
bool canMeetObjective(const CallTicket& ticket, Instant start, Duration latency)
{
    return start <= ticket.wantedAt() && latency <= (ticket.wantedAt() - start) / 5 * 4;
}

/// The calls of each organisation in their order, by the last turn of the organisation and its name.
using OrganisationQueues = std::map<std::pair<uint64_t, std::string>, std::deque<CallTicket>>;

/// Offers one call of each organisation after the other until all have been offered. A call for which `take` returns
/// false uses no turn.
template <typename Take>
void offerInTurn(OrganisationQueues queues, Take take)
{
    while (!queues.empty()) {
        for (auto queue = queues.begin(); queue != queues.end();) {
            std::deque<CallTicket>& tickets = queue->second;
            bool isTaken = false;
            while (!tickets.empty() && !isTaken) {
                isTaken = take(tickets.front());
                tickets.pop_front();
            }
            queue = tickets.empty() ? queues.erase(queue) : std::next(queue);
        }
    }
}

} // namespace

bool WaitingCalls::Queue::canMeetObjective(const CallTicket& ticket, Instant start) const
{
    return !isByDeadline && endiveroad::canMeetObjective(ticket, start, latency);
}

uint64_t WaitingCalls::Queue::turnOf(const std::string& organisation) const
{
    const auto found = turns.find(organisation);
    return found == turns.end() ? 0 : found->second;
}

bool WaitingCalls::Queue::goesBefore(const CallTicket& ticket, const CallTicket& other, Instant now) const
{
    const auto rank = [&](const CallTicket& call) {
        const bool isLate = !canMeetObjective(call, now);
        return std::tuple(call.priority, isLate, turnOf(call.organisation), isLate ? call.deadline : call.wantedAt(),
            call.deadline, call.number);
    };
    return rank(ticket) < rank(other);
}

const WaitingCalls::Queue* WaitingCalls::find(const std::string& service) const
{
    const auto found = queues_.find(service);
    return found == queues_.end() ? nullptr : &found->second;
}

CallTicket WaitingCalls::add(const std::string& service, int32_t priority, Instant deadline, Instant objectiveAt,
    const std::string& organisation)
{
    CallTicket ticket { priority, deadline, ++lastNumber_, objectiveAt, organisation };
    queues_[service].tickets.insert(ticket);
    return ticket;
}

void WaitingCalls::remove(const std::string& service, const CallTicket& ticket)
{
    const auto found = queues_.find(service);
    if (found == queues_.end())
        return;
    found->second.tickets.erase(ticket);
    if (found->second.tickets.empty())
        queues_.erase(found);
}

void WaitingCalls::onStart(const std::string& service, const CallTicket& ticket, Instant now)
{
    const auto found = queues_.find(service);
    if (found == queues_.end())
        return;
    Queue& queue = found->second;
    queue.turns[ticket.organisation] = ++queue.lastTurn;
    const double isLate = queue.canMeetObjective(ticket, now) ? 0 : 1;
    queue.lateShare += newestCallWeight * (isLate - queue.lateShare);
}

void WaitingCalls::setRate(const std::string& service, const ServiceRate& rate)
{
    const auto found = queues_.find(service);
    if (found == queues_.end())
        return;
    found->second.latency = rate.meanLatency;
    found->second.isByDeadline = rate.uncertainty > 0;
}

std::optional<CallTicket> WaitingCalls::first(const std::string& service, Instant now) const
{
    const Queue* queue = find(service);
    if (!queue)
        return std::nullopt;
    return *std::min_element(queue->tickets.begin(), queue->tickets.end(),
        [&](const CallTicket& a, const CallTicket& b) { return queue->goesBefore(a, b, now); });
}

std::optional<Instant> WaitingCalls::lastDeadline(const std::string& service) const
{
    const Queue* queue = find(service);
    if (!queue)
        return std::nullopt;
    return std::max_element(queue->tickets.begin(), queue->tickets.end(), [](const CallTicket& a, const CallTicket& b) {
        return a.deadline < b.deadline;
    })->deadline;
}

bool WaitingCalls::isFirst(const std::string& service, const CallTicket& ticket, Instant now) const
{
    const Queue* queue = find(service);
    return !queue || std::none_of(queue->tickets.begin(), queue->tickets.end(), [&](const CallTicket& other) {
        return queue->goesBefore(other, ticket, now);
    });
}

WaitingOutlook WaitingCalls::outlook(
    const std::string& service, const ServiceRate& rate, Instant now, std::optional<CallTicket> newcomer) const
{
    WaitingOutlook result;
    result.roomAt = std::max(now, rate.startAt);
    const Queue* queue = find(service);
    if (!queue)
        return result;
    Instant& begin = result.roomAt;
    Duration interval = rate.interval;
    const auto plan = [&](const CallTicket& ticket) {
        Instant latestBegin = begin;
        if (ticket == newcomer && rate.uncertainty > 0 && begin < ticket.deadline)
            latestBegin += std::chrono::duration_cast<Duration>((begin - now + interval) * rate.uncertainty);
        const bool isInTime = latestBegin < ticket.deadline && rate.latency < ticket.deadline - latestBegin;
        if (isInTime) {
            begin += std::min(interval, ticket.deadline - begin);
            ++result.remaining;
        } else
            result.hopeless.push_back(ticket);
        return isInTime;
    };
    const auto enqueue = [queue](std::vector<CallTicket>& tickets, auto order) {
        std::sort(tickets.begin(), tickets.end(),
            [order](const CallTicket& a, const CallTicket& b) { return order(a) < order(b); });
        OrganisationQueues queues;
        for (CallTicket& ticket : tickets) {
            std::pair key(queue->turnOf(ticket.organisation), ticket.organisation);
            queues[std::move(key)].push_back(std::move(ticket));
        }
        return queues;
    };
    for (auto ticket = queue->tickets.begin(); ticket != queue->tickets.end();) {
        std::vector<CallTicket> equals;
        std::vector<CallTicket> late;
        for (const int32_t priority = ticket->priority; ticket != queue->tickets.end() && ticket->priority == priority;
             ++ticket)
            equals.push_back(*ticket);
        const auto byObjective
            = [](const CallTicket& call) { return std::tuple(call.wantedAt(), call.deadline, call.number); };
        offerInTurn(enqueue(equals, byObjective), [&](const CallTicket& call) {
            const bool isByDeadline = rate.uncertainty > 0;
            if (!isByDeadline && canMeetObjective(call, begin, std::max(rate.latency, rate.meanLatency)))
                return plan(call);
            late.push_back(call);
            return false;
        });
        const double lateInterval
            = static_cast<double>(rate.interval.count()) / std::max(queue->lateShare, leastLateShare);
        if (lateInterval < static_cast<double>(Duration::max().count()))
            interval = std::max(interval, Duration(static_cast<Duration::rep>(lateInterval)));
        const auto byDeadline = [](const CallTicket& call) { return std::tuple(call.deadline, call.number); };
        offerInTurn(enqueue(late, byDeadline), plan);
        interval = rate.interval;
    }
    return result;
}

std::vector<std::string> WaitingCalls::services() const
{
    std::vector<std::string> services;
    for (const auto& [service, queue] : queues_)
        services.push_back(service);
    return services;
}

size_t WaitingCalls::count(const std::string& service) const
{
    const Queue* queue = find(service);
    return queue ? queue->tickets.size() : 0;
}

std::string describeRejection(const WaitingOutlook& outlook, const ServiceRate& rate, Instant now)
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    // A service without a server that takes calls has no rate.
    if (rate.interval == Duration::max())
        return "the servers of the route are full: none of them takes calls";
    return fmt::format("the servers of the route are full: {} calls wait, one begins each {:.1f} ms, there is room in "
                       "{:.0f} ms",
        outlook.remaining, Milliseconds(rate.interval).count(), Milliseconds(outlook.roomAt - now).count());
}

} // namespace endiveroad
