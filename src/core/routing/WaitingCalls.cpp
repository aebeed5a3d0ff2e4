#include <algorithm>
#include <endiveroad/WaitingCalls.h>

namespace endiveroad {

CallTicket WaitingCalls::add(const std::string& service, int32_t priority, Instant deadline)
{
    const CallTicket ticket { priority, deadline, ++lastNumber_ };
    ticketsByService_[service].insert(ticket);
    return ticket;
}

void WaitingCalls::remove(const std::string& service, const CallTicket& ticket)
{
    const auto found = ticketsByService_.find(service);
    if (found == ticketsByService_.end())
        return;
    found->second.erase(ticket);
    if (found->second.empty())
        ticketsByService_.erase(found);
}

std::optional<CallTicket> WaitingCalls::first(const std::string& service) const
{
    const auto found = ticketsByService_.find(service);
    if (found == ticketsByService_.end())
        return std::nullopt;
    return *found->second.begin();
}

std::optional<Instant> WaitingCalls::lastDeadline(const std::string& service) const
{
    const auto found = ticketsByService_.find(service);
    if (found == ticketsByService_.end())
        return std::nullopt;
    return std::max_element(found->second.begin(), found->second.end(), [](const CallTicket& a, const CallTicket& b) {
        return a.deadline < b.deadline;
    })->deadline;
}

bool WaitingCalls::isFirst(const std::string& service, const CallTicket& ticket) const
{
    const auto leader = first(service);
    return !leader || !(*leader < ticket);
}

std::vector<CallTicket> WaitingCalls::hopeless(
    const std::string& service, const ServiceRate& rate, Instant now, std::optional<CallTicket> newcomer) const
{
    std::vector<CallTicket> tickets;
    const auto found = ticketsByService_.find(service);
    if (found == ticketsByService_.end())
        return tickets;
    Instant begin = std::max(now, rate.startAt);
    for (const CallTicket& ticket : found->second) {
        Instant latestBegin = begin;
        if (ticket == newcomer && rate.uncertainty > 0 && begin < ticket.deadline)
            latestBegin += std::chrono::duration_cast<Duration>((begin - now + rate.interval) * rate.uncertainty);
        const bool isInTime = latestBegin < ticket.deadline && rate.latency < ticket.deadline - latestBegin;
        if (isInTime)
            begin += std::min(rate.interval, ticket.deadline - begin);
        else
            tickets.push_back(ticket);
    }
    return tickets;
}

std::vector<std::string> WaitingCalls::services() const
{
    std::vector<std::string> services;
    for (const auto& [service, tickets] : ticketsByService_)
        services.push_back(service);
    return services;
}

size_t WaitingCalls::count(const std::string& service) const
{
    const auto found = ticketsByService_.find(service);
    return found == ticketsByService_.end() ? 0 : found->second.size();
}

} // namespace endiveroad
