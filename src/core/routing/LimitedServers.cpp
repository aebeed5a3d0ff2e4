#include <algorithm>
#include <endiveroad/LimitedServers.h>

namespace endiveroad {

namespace {

bool isLaterStart(const Directory& directory, const std::string& id, int64_t startedMs)
{
    const auto server = directory.servers.find(id);
    return server != directory.servers.end() && server->second.startedMs > startedMs;
}

} // namespace

const LimitedServers::Record* LimitedServers::find(const ServerIncarnation& server) const
{
    const auto found = records_.find(server.id);
    return found == records_.end() || found->second.startedMs != server.startedMs ? nullptr : &found->second;
}

LimitedServers::Record* LimitedServers::find(const ServerIncarnation& server)
{
    const auto found = records_.find(server.id);
    return found == records_.end() || found->second.startedMs != server.startedMs ? nullptr : &found->second;
}

LimitedServers::Record& LimitedServers::insert(const ServerIncarnation& server, double limit, Instant now)
{
    Record& record = records_[server.id];
    record = Record {};
    record.startedMs = server.startedMs;
    record.limit = limit;
    record.expiry = now + recordLifetime;
    if (records_.size() > maxRecords) {
        const auto first = std::min_element(records_.begin(), records_.end(),
            [](const auto& a, const auto& b) { return a.second.expiry < b.second.expiry; });
        if (first->first != server.id)
            records_.erase(first);
    }
    return record;
}

std::optional<LimitRecord> LimitedServers::onAnswer(
    const ServerIncarnation& server, std::optional<double> limit, std::optional<LimitNumber> permitNumber, Instant now)
{
    if (server.id.empty())
        return std::nullopt;
    Record* known = find(server);
    if (!known) {
        const auto other = records_.find(server.id);
        const bool isOlder = other != records_.end() && other->second.startedMs > server.startedMs;
        if (!limit || isOlder)
            return std::nullopt;
        insert(server, *limit, now);
        return LimitRecord { server, limit, {} };
    }
    known->expiry = now + recordLifetime;
    if (limit) {
        // An answer to a request that was permitted before the last change may be older than that.
        const bool isOutdated = *limit > known->limit && permitNumber != known->number;
        if (*limit == known->limit || isOutdated)
            return std::nullopt;
        known->limit = *limit;
        return LimitRecord { server, limit, known->number };
    }
    if (permitNumber != known->number)
        return std::nullopt;
    records_.erase(server.id);
    return LimitRecord { server, std::nullopt, *permitNumber };
}

bool LimitedServers::onRecord(const LimitRecord& news, Instant now)
{
    Record* known = find(news.server);
    if (!news.limit) {
        const bool isNewer = known && known->number.issuer == news.number.issuer && known->number > news.number;
        const bool isEnd = known && !isNewer;
        if (isEnd)
            records_.erase(news.server.id);
        return isEnd;
    }
    const auto other = records_.find(news.server.id);
    if (!known && other != records_.end() && other->second.startedMs > news.server.startedMs)
        return false;
    const bool isNew = !known;
    if (isNew)
        known = &insert(news.server, *news.limit, now);
    known->limit = *news.limit;
    known->number = news.number;
    known->expiry = now + recordLifetime;
    return isNew;
}

std::optional<LimitRecord> LimitedServers::record(const ServerIncarnation& server) const
{
    const Record* known = find(server);
    if (!known)
        return std::nullopt;
    return LimitRecord { server, known->limit, known->number };
}

void LimitedServers::onGrant(const ServerIncarnation& server, int32_t count, Duration interval, Instant now)
{
    Record* known = find(server);
    if (!known)
        return;
    known->permits.insert(known->permits.end(), static_cast<size_t>(std::max(count, 0)), now + permitLifetime);
    known->interval = interval;
    known->nextAt = Instant::min();
    known->expiry = now + recordLifetime;
}

void LimitedServers::onDenied(const ServerIncarnation& server, Instant retryAt, Duration interval)
{
    if (Record* known = find(server)) {
        known->nextAt = retryAt;
        known->interval = interval;
    }
}

size_t LimitedServers::permits(const ServerIncarnation& server, Instant now) const
{
    const Record* known = find(server);
    if (!known)
        return 0;
    return static_cast<size_t>(
        std::count_if(known->permits.begin(), known->permits.end(), [now](Instant expiry) { return expiry > now; }));
}

bool LimitedServers::mayTake(const ServerIncarnation& server, Instant now) const
{
    return !isLimited(server) || permits(server, now) > 0;
}

std::optional<LimitNumber> LimitedServers::take(const ServerIncarnation& server, Instant now)
{
    Record* known = find(server);
    if (!known)
        return std::nullopt;
    while (!known->permits.empty() && known->permits.front() <= now)
        known->permits.pop_front();
    if (known->permits.empty())
        return std::nullopt;
    known->permits.pop_front();
    while (!known->uses.empty() && known->uses.front() + usePeriod <= now)
        known->uses.pop_front();
    known->uses.push_back(now);
    return known->number;
}

size_t LimitedServers::recentUses(const ServerIncarnation& server, Instant now) const
{
    const Record* known = find(server);
    if (!known)
        return 0;
    return static_cast<size_t>(
        std::count_if(known->uses.begin(), known->uses.end(), [now](Instant at) { return at + usePeriod > now; }));
}

PermitOutlook LimitedServers::outlook(const ServerIncarnation& server, Instant now) const
{
    const Record* known = find(server);
    if (!known)
        return {};
    const bool hasPermit = permits(server, now) > 0;
    const double rate = std::max(known->limit, PermitQueue::leastRate);
    const auto wholeInterval = std::chrono::ceil<Duration>(std::chrono::duration<double>(1 / rate));
    return { hasPermit ? Instant::min() : known->nextAt, std::max(known->interval, wholeInterval) };
}

void LimitedServers::retain(const Directory& directory, Instant now)
{
    std::erase_if(records_, [&](const auto& entry) {
        return entry.second.expiry <= now || isLaterStart(directory, entry.first, entry.second.startedMs);
    });
}

std::vector<LimitRecord> LimitedServers::all() const
{
    std::vector<LimitRecord> records;
    for (const auto& [id, record] : records_)
        records.push_back({ { id, record.startedMs }, record.limit, record.number });
    return records;
}

PermitIssuer::Issue& PermitIssuer::issueOf(const ServerIncarnation& server)
{
    Issue& issue = issues_[server.id];
    if (issue.startedMs < server.startedMs) {
        issue = Issue {};
        issue.startedMs = server.startedMs;
    }
    return issue;
}

std::optional<LimitRecord> PermitIssuer::onHeard(const LimitRecord& heard, Instant now)
{
    Issue& issue = issueOf(heard.server);
    if (issue.startedMs != heard.server.startedMs)
        return std::nullopt;
    if (!heard.limit) {
        if (!issue.queue || issue.number != heard.number)
            return std::nullopt;
        issue.queue.reset();
        issue.endedAt = now;
        return record(heard.server);
    }
    if (issue.queue && issue.queue->limit() == *heard.limit)
        return std::nullopt;
    const bool isNew = !issue.queue;
    if (!isNew && *heard.limit > issue.queue->limit() && heard.number != issue.number)
        return std::nullopt;
    ++lastNumber_.sequence;
    issue.number = lastNumber_;
    if (isNew)
        // Another issuer may have issued permits until now if the limit has a number already.
        issue.queue.emplace(*heard.limit, heard.number.issuer == 0 ? 1.0 : 0.0, now);
    else
        issue.queue->setLimit(*heard.limit, now);
    return isNew ? std::optional(record(heard.server)) : std::nullopt;
}

std::optional<LimitRecord> PermitIssuer::onAsked(const LimitRecord& known, Instant now)
{
    Issue& issue = issueOf(known.server);
    const bool isOfThisIssuer = known.number.issuer == lastNumber_.issuer;
    const bool isEndKnown = isOfThisIssuer ? known.number <= issue.number : now < issue.endedAt + endSpreadTime;
    const bool isEnded = issue.endedAt != Instant::min() && isEndKnown;
    if (issue.queue || isEnded || !known.limit)
        return std::nullopt;
    return onHeard(known, now);
}

PermitQueue* PermitIssuer::queue(const ServerIncarnation& server)
{
    const auto issue = issues_.find(server.id);
    const bool isKnown = issue != issues_.end() && issue->second.startedMs == server.startedMs;
    return isKnown && issue->second.queue ? &*issue->second.queue : nullptr;
}

LimitRecord PermitIssuer::record(const ServerIncarnation& server) const
{
    const auto issue = issues_.find(server.id);
    if (issue == issues_.end() || issue->second.startedMs != server.startedMs)
        return { server, std::nullopt, {} };
    const auto& queue = issue->second.queue;
    return { server, queue ? std::optional(queue->limit()) : std::nullopt, issue->second.number };
}

void PermitIssuer::retain(const Directory& directory)
{
    std::erase_if(
        issues_, [&](const auto& entry) { return isLaterStart(directory, entry.first, entry.second.startedMs); });
}

} // namespace endiveroad
