#include <endiveroad/Timeline.h>

#include <algorithm>
#include <initializer_list>
#include <tuple>

namespace endiveroad {

namespace {

/// True if a field with one of the names has the wanted value or, with isPrefixEnough, a value that starts with the
/// wanted value and a slash.
bool hasField(const TimelineEntry& entry, std::initializer_list<std::string_view> names, const std::string& wanted,
    bool isPrefixEnough)
{
    return std::any_of(entry.fields.begin(), entry.fields.end(), [&](const auto& field) {
        if (std::find(names.begin(), names.end(), field.first) == names.end())
            return false;
        return field.second == wanted || (isPrefixEnough && field.second.starts_with(wanted + "/"));
    });
}

} // namespace

HybridTimestamp HybridClock::tick(int64_t wallMs)
{
    if (wallMs > last_.wallMs)
        last_ = { wallMs, 0 };
    else
        ++last_.counter;
    return last_;
}

bool HybridClock::observe(HybridTimestamp timestamp, int64_t wallMs)
{
    if (timestamp.wallMs > wallMs + maxAheadMs)
        return false;
    last_ = std::max(last_, timestamp);
    return true;
}

bool TimelineQuery::isWanted(const TimelineEntry& entry) const
{
    if (entry.timestamp.wallMs < sinceWallMs)
        return false;
    if (!request.empty() && !hasField(entry, { "request", "callerRequest" }, request, true))
        return false;
    return job.empty() || hasField(entry, { "job" }, job, false) || hasField(entry, { "request" }, job, true);
}

std::vector<TimelineEntry> mergeTimelines(std::vector<std::vector<TimelineEntry>> parts)
{
    std::vector<TimelineEntry> merged;
    for (std::vector<TimelineEntry>& part : parts)
        std::move(part.begin(), part.end(), std::back_inserter(merged));
    std::stable_sort(merged.begin(), merged.end(), [](const TimelineEntry& a, const TimelineEntry& b) {
        return std::tie(a.timestamp, a.node) < std::tie(b.timestamp, b.node);
    });
    return merged;
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

std::vector<TimelineEntry> EventRing::find(const TimelineQuery& query) const
{
    std::vector<TimelineEntry> result;
    for (auto entry = entries_.rbegin(); entry != entries_.rend() && result.size() < query.limit; ++entry) {
        if (query.isWanted(*entry))
            result.push_back(*entry);
    }
    std::reverse(result.begin(), result.end());
    return result;
}

} // namespace endiveroad
