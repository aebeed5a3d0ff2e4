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

bool WaitingCalls::isFirst(const std::string& service, const CallTicket& ticket) const
{
    const auto leader = first(service);
    return !leader || !(*leader < ticket);
}

std::vector<CallTicket> WaitingCalls::hopeless(const std::string& service, const ServiceRate& rate, Instant now) const
{
    std::vector<CallTicket> tickets;
    const auto found = ticketsByService_.find(service);
    if (found == ticketsByService_.end())
        return tickets;
    Instant begin = now;
    for (const CallTicket& ticket : found->second) {
        const bool isInTime = begin < ticket.deadline && rate.latency < ticket.deadline - begin;
        if (isInTime)
            begin += std::min(rate.interval, ticket.deadline - begin);
        else
            tickets.push_back(ticket);
    }
    return tickets;
}

size_t WaitingCalls::count(const std::string& service) const
{
    const auto found = ticketsByService_.find(service);
    return found == ticketsByService_.end() ? 0 : found->second.size();
}

} // namespace endiveroad
