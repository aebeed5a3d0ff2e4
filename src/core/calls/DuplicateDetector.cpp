#include <endiveroad/DuplicateDetector.h>

#include <algorithm>

namespace endiveroad {

DuplicateDetector::Arrival DuplicateDetector::onArrival(const RequestId& id, Instant now)
{
    Sender& sender = senders_[id.entry];
    if (id.incarnation < sender.incarnation)
        return Arrival::TooOld;
    if (id.incarnation > sender.incarnation)
        sender = Sender { id.incarnation, 0, {}, {} };
    removeExpired(sender, now);
    if (id.sequence <= sender.highestForgotten)
        return Arrival::TooOld;
    if (!sender.seen.insert(id.sequence).second)
        return Arrival::Duplicate;
    sender.expiries.emplace_back(now + retention, id.sequence);
    return Arrival::First;
}

void DuplicateDetector::removeExpired(Sender& sender, Instant now)
{
    while (!sender.expiries.empty() && sender.expiries.front().first <= now) {
        const uint64_t sequence = sender.expiries.front().second;
        sender.expiries.pop_front();
        sender.seen.erase(sequence);
        sender.highestForgotten = std::max(sender.highestForgotten, sequence);
    }
}

size_t DuplicateDetector::size() const
{
    size_t total = 0;
    for (const auto& [entry, sender] : senders_)
        total += sender.seen.size();
    return total;
}

} // namespace endiveroad
