#include <endiveroad/Timeline.h>

#include <algorithm>

namespace endiveroad {

HybridStamp HybridClock::tick(int64_t wallMs)
{
    if (wallMs > last_.wallMs)
        last_ = { wallMs, 0 };
    else
        ++last_.counter;
    return last_;
}

void HybridClock::observe(HybridStamp stamp)
{
    last_ = std::max(last_, stamp);
}

EventRing::EventRing(size_t capacity)
    : capacity_(capacity)
{
}

void EventRing::add(TimelineEntry entry)
{
    if (entries_.size() == capacity_)
        entries_.pop_front();
    entries_.push_back(std::move(entry));
}

std::vector<TimelineEntry> EventRing::since(int64_t wallMs) const
{
    std::vector<TimelineEntry> result;
    std::copy_if(entries_.begin(), entries_.end(), std::back_inserter(result),
        [&](const TimelineEntry& entry) { return entry.stamp.wallMs >= wallMs; });
    return result;
}

} // namespace endiveroad
