#include <algorithm>
#include <endiveroad/UsageCounter.h>
#include <functional>

namespace endiveroad {

Instant StartEstimate::startOf(const std::string& route, Instant sentAt, Instant answeredAt)
{
    Shortest& shortest = shortest_[route];
    if (answeredAt >= shortest.periodEnd) {
        const bool isPreviousRecent = answeredAt < shortest.periodEnd + period;
        shortest.previous = isPreviousRecent ? shortest.current : Duration::max();
        shortest.current = Duration::max();
        shortest.periodEnd = answeredAt + period;
    }
    shortest.current = std::min(shortest.current, answeredAt - sentAt);
    return std::max(sentAt, answeredAt - std::min(shortest.current, shortest.previous));
}

UsageCounter::UsageCounter(Duration length)
    : length_(length)
{
}

CountOutcome UsageCounter::count(const std::string& organisation, const std::string& request, int64_t beganMs)
{
    if (isRepetition(organisation, request))
        return CountOutcome::Repeated;
    const int64_t window = usageWindowAt(beganMs, length_);
    if (confirmed_ && window <= *confirmed_)
        return CountOutcome::Late;
    ++windows_[window][organisation];
    changed_.insert(window);
    if (windows_.size() > maxWindows) {
        changed_.erase(windows_.begin()->first);
        windows_.erase(windows_.begin());
    }
    return CountOutcome::Counted;
}

bool UsageCounter::isRepetition(const std::string& organisation, const std::string& request)
{
    const uint64_t hash = std::hash<std::string>()(organisation + "\n" + request);
    if (!known_.insert(hash).second)
        return true;
    order_.push_back(hash);
    if (order_.size() > maxRequests) {
        known_.erase(order_.front());
        order_.pop_front();
    }
    return false;
}

void UsageCounter::confirm(int64_t window)
{
    confirmed_ = std::max(confirmed_.value_or(window), window);
    windows_.erase(windows_.begin(), windows_.upper_bound(*confirmed_));
    changed_.erase(changed_.begin(), changed_.upper_bound(*confirmed_));
}

void UsageCounter::markAllChanged()
{
    for (const auto& [window, counts] : windows_)
        changed_.insert(window);
}

UsageWindows UsageCounter::takeChanged()
{
    UsageWindows taken;
    for (int64_t window : changed_) {
        const auto found = windows_.find(window);
        if (found != windows_.end())
            taken.emplace(window, found->second);
    }
    changed_.clear();
    return taken;
}

int64_t UsageLedger::add(const Source& source, int64_t window, const UsageCounts& counts)
{
    if (fixedThrough_ && window <= *fixedThrough_ - keptFixedWindows)
        return 0;
    UsageCounts& known = windows_[window][source];
    int64_t added = 0;
    for (const auto& [organisation, requests] : counts) {
        int64_t& present = known[organisation];
        added += std::max<int64_t>(requests - present, 0);
        present = std::max(present, requests);
    }
    if (windows_.size() > maxWindows)
        windows_.erase(windows_.begin());
    return isFixed(window) ? added : 0;
}

void UsageLedger::fixThrough(int64_t window)
{
    fixedThrough_ = std::max(fixedThrough_.value_or(window), window);
    windows_.erase(windows_.begin(), windows_.upper_bound(*fixedThrough_ - keptFixedWindows));
}

UsageCounts UsageLedger::sum(int64_t window) const
{
    UsageCounts sum;
    const auto found = windows_.find(window);
    if (found == windows_.end())
        return sum;
    for (const auto& [source, counts] : found->second) {
        for (const auto& [organisation, requests] : counts)
            sum[organisation] += requests;
    }
    return sum;
}

std::optional<int64_t> UsageLedger::firstOpenWindow() const
{
    const auto first = fixedThrough_ ? windows_.upper_bound(*fixedThrough_) : windows_.begin();
    return first == windows_.end() ? std::nullopt : std::optional(first->first);
}

std::map<UsageLedger::Source, UsageWindows> UsageLedger::openWindows() const
{
    std::map<Source, UsageWindows> open;
    for (const auto& [window, sources] : windows_) {
        if (isFixed(window))
            continue;
        for (const auto& [source, counts] : sources)
            open[source].emplace(window, counts);
    }
    return open;
}

} // namespace endiveroad
