#include <algorithm>
#include <endiveroad/FailedRuns.h>

namespace endiveroad {

const FailedRuns::Record* FailedRuns::find(const std::string& item, Instant now) const
{
    const auto found = records_.find(item);
    return found == records_.end() || found->second.expiry <= now ? nullptr : &found->second;
}

bool FailedRuns::add(const FailedRun& failed, Instant now)
{
    std::erase_if(records_, [now](const auto& entry) { return entry.second.expiry <= now; });
    Record& record = records_[failed.item];
    std::set<int64_t>& runs = failed.isUnprocessable ? record.unprocessable : record.serverErrors;
    const bool isNews = runs.size() < maxRunsOfItem && runs.insert(failed.run).second;
    record.expiry = isNews || record.expiry == never ? now + lifetime : record.expiry;
    if (records_.size() > maxItems) {
        const auto first = std::min_element(records_.begin(), records_.end(),
            [](const auto& a, const auto& b) { return a.second.expiry < b.second.expiry; });
        records_.erase(first);
    }
    return isNews;
}

int32_t FailedRuns::serverErrors(const std::string& item, Instant now) const
{
    const Record* record = find(item, now);
    return record ? static_cast<int32_t>(record->serverErrors.size()) : 0;
}

bool FailedRuns::isUnprocessable(const std::string& item, Instant now) const
{
    const Record* record = find(item, now);
    return record && !record->unprocessable.empty();
}

std::vector<FailedRun> FailedRuns::all(Instant now) const
{
    std::vector<FailedRun> runs;
    for (const auto& [item, record] : records_) {
        if (record.expiry <= now)
            continue;
        for (const int64_t run : record.serverErrors)
            runs.push_back({ item, run, false });
        for (const int64_t run : record.unprocessable)
            runs.push_back({ item, run, true });
    }
    return runs;
}

} // namespace endiveroad
