#include <algorithm>
#include <endiveroad/CrashRegister.h>

namespace endiveroad {

namespace {

/// Stands in the name of a failed trial before its number if the server start was known to have ended before.
constexpr char repeatMark = '+';

} // namespace

Duration CrashRegister::blockAfter(size_t failures, ContentKind kind)
{
    const auto lengthIn
        = [failures](const auto& blocks) { return blocks[std::clamp<size_t>(failures, 1, blocks.size()) - 1]; };
    return kind == ContentKind::Owed ? lengthIn(owedBlocks) : lengthIn(callBlocks);
}

Instant CrashRegister::blockedUntil(const ContentId& content) const
{
    const auto found = entries_.find(content);
    if (found == entries_.end() || !hasBlock(found->second))
        return Instant::min();
    const Entry& entry = found->second;
    Instant end = entry.record.trialUntil;
    if (entry.nextTrialAt != never)
        end = std::max(end, entry.nextTrialAt);
    return isProven(entry) ? std::max(end, entry.record.blockedUntil) : end;
}

bool CrashRegister::isPending(const ContentId& content) const
{
    const auto found = entries_.find(content);
    return found != entries_.end() && hasBlock(found->second) && !isProven(found->second);
}

bool CrashRegister::hasBlock(const Entry& entry) const
{
    return entry.isBlockFinal || unexplainedCrashes(entry.record) >= blockThreshold;
}

bool CrashRegister::isProven(const Entry& entry) const
{
    return entry.isProofFinal || countedFailures(entry.record) > 0;
}

size_t CrashRegister::countedFailures(const CrashRecord& record) const
{
    return static_cast<size_t>(std::count_if(record.failedTrials.begin(), record.failedTrials.end(),
        [&](const std::string& server) { return !hadOtherCause(record.content, server); }));
}

bool CrashRegister::hadOtherCause(const ContentId& content, const std::string& failedTrial) const
{
    const std::string serverStart = failedTrial.substr(0, failedTrial.find(repeatMark));
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
        const std::set<std::string>& crashes = entry.second.record.crashedServers;
        return entry.first != content && crashes.size() >= blockThreshold && crashes.contains(serverStart);
    });
}

bool CrashRegister::wasTrial(const Entry& entry, Instant sentAt) const
{
    return sentAt >= entry.trialsSince && hasBlock(entry);
}

void CrashRegister::settleBlocks(Instant now)
{
    for (auto& [content, entry] : entries_) {
        if (entry.isBlockFinal || entry.record.crashedServers.size() < blockThreshold)
            continue;
        if (!hasBlock(entry))
            entry.trialsSince = never;
        else if (entry.trialsSince == never)
            entry.trialsSince = now;
        entry.isBlockFinal = entry.trialsSince != never && now >= entry.trialsSince + settleTime;
    }
    for (auto& [content, entry] : entries_) {
        if (entry.isProofFinal || entry.record.failedTrials.empty())
            continue;
        if (!isProven(entry))
            entry.provenSince = never;
        else if (entry.provenSince == never)
            entry.provenSince = now;
        entry.isProofFinal = entry.provenSince != never && now >= entry.provenSince + settleTime;
    }
}

size_t CrashRegister::unexplainedCrashes(const CrashRecord& record) const
{
    const std::set<std::string>& crashes = record.crashedServers;
    if (crashes.size() < blockThreshold)
        return crashes.size();
    std::set<std::string> unexplained = crashes;
    for (const auto& [content, entry] : entries_) {
        if (entry.record.crashedServers.size() <= crashes.size())
            continue;
        for (const std::string& server : entry.record.crashedServers)
            unexplained.erase(server);
    }
    return unexplained.size();
}

bool CrashRegister::isSuspect(const ContentId& content) const
{
    const auto found = entries_.find(content);
    return found != entries_.end() && found->second.record.crashedServers.size() >= suspectThreshold;
}

CrashAdmission CrashRegister::admit(
    const ContentId& content, const std::string& server, Duration trialDelay, Instant now)
{
    const auto found = entries_.find(content);
    if (found == entries_.end())
        return CrashAdmission::Admitted;
    settleBlocks(now);
    Entry& entry = found->second;
    if (!hasBlock(entry))
        return CrashAdmission::Admitted;
    CrashRecord& record = entry.record;
    const CrashAdmission refusal = isProven(entry) ? CrashAdmission::Blocked : CrashAdmission::Pending;
    const bool isBlocked = refusal == CrashAdmission::Blocked && record.blockedUntil > now;
    if (isBlocked || record.trialUntil > now)
        return refusal;
    if (entry.nextTrialAt == never)
        entry.nextTrialAt = now + trialDelay;
    if (entry.nextTrialAt > now)
        return refusal;
    entry.nextTrialAt = never;
    record.trialUntil = now + (record.kind == ContentKind::Owed ? owedTrialTime : trialTime);
    record.trialServer = server;
    return CrashAdmission::Trial;
}

void CrashRegister::onNotRun(const ContentId& content, Instant sentAt, bool wasReceived, Instant now)
{
    const auto found = entries_.find(content);
    if (found == entries_.end() || !wasTrial(found->second, sentAt))
        return;
    const bool isFree = !isProven(found->second) && now < found->second.trialsSince + freeTrialTime;
    if (!wasReceived || isFree)
        found->second.record.trialUntil = now;
}

void CrashRegister::onStart(const ContentId& content, const std::string& server)
{
    running_[server].insert(content);
}

void CrashRegister::onEnd(const ContentId& content, const std::string& server)
{
    const auto found = running_.find(server);
    if (found == running_.end())
        return;
    const auto position = found->second.find(content);
    if (position != found->second.end())
        found->second.erase(position);
    if (found->second.empty())
        running_.erase(found);
}

std::set<std::string> CrashRegister::serversWithOtherSuspects(const ContentId& content) const
{
    std::set<std::string> servers;
    for (const auto& [server, contents] : running_) {
        if (hasOtherSuspect(content, server))
            servers.insert(server);
    }
    return servers;
}

std::set<std::string> CrashRegister::serversWithOtherTrials(const ContentId& content, Instant now) const
{
    std::set<std::string> servers;
    for (const auto& [other, entry] : entries_) {
        if (other != content && entry.record.trialUntil > now)
            servers.insert(entry.record.trialServer);
    }
    return servers;
}

bool CrashRegister::hasOtherSuspect(const ContentId& content, const std::string& server) const
{
    const auto found = running_.find(server);
    return found != running_.end()
        && std::any_of(found->second.begin(), found->second.end(),
            [&](const ContentId& other) { return other != content && isSuspect(other); });
}

bool CrashRegister::onCrash(const CrashReport& report, Instant now)
{
    Entry& entry = entries_[report.content];
    CrashRecord& record = entry.record;
    record.content = report.content;
    record.kind = std::max(record.kind, report.kind);
    const bool isFailedTrial = wasTrial(entry, report.sentAt);
    std::string server = report.serverStart;
    // Only one process sends a trial, so this is another end of a server whose new start is not known yet.
    if (isFailedTrial && record.crashedServers.contains(server))
        server += repeatMark + std::to_string(record.failedTrials.size() + 1);
    if (!record.crashedServers.insert(server).second)
        return false;
    if (isFailedTrial) {
        record.failedTrials.insert(server);
        record.trialUntil = now;
        const Duration block = blockAfter(countedFailures(record), record.kind);
        record.blockedUntil = std::max(record.blockedUntil, now + block);
    }
    entry.nextTrialAt = never;
    entry.expiry = now + recordLifetime;
    removeExpired(now);
    settleBlocks(now);
    return true;
}

bool CrashRegister::onAnswered(const ContentId& content)
{
    const auto found = entries_.find(content);
    if (found == entries_.end() || found->second.record.crashedServers.empty())
        return false;
    clear(found->second);
    return true;
}

void CrashRegister::clear(Entry& entry)
{
    ++entry.record.generation;
    entry.record.crashedServers.clear();
    entry.record.failedTrials.clear();
    entry.record.trialUntil = Instant::min();
    entry.record.trialServer.clear();
    entry.record.blockedUntil = Instant::min();
    entry.provenSince = never;
    entry.isProofFinal = false;
    entry.trialsSince = never;
    entry.isBlockFinal = false;
    entry.nextTrialAt = never;
}

bool CrashRegister::merge(const CrashRecord& other, Instant now)
{
    Entry& entry = entries_[other.content];
    const CrashRecord before = entry.record;
    CrashRecord& record = entry.record;
    record.content = other.content;
    if (other.generation > record.generation) {
        clear(entry);
        record = other;
    } else if (other.generation == record.generation) {
        record.crashedServers.insert(other.crashedServers.begin(), other.crashedServers.end());
        // A trial that failed is over.
        const size_t failures = record.failedTrials.size();
        record.failedTrials.insert(other.failedTrials.begin(), other.failedTrials.end());
        const bool hasNewFailure = record.failedTrials.size() > failures;
        if (hasNewFailure || other.trialUntil > record.trialUntil) {
            record.trialUntil = other.trialUntil;
            record.trialServer = other.trialServer;
        }
        record.blockedUntil = std::max(record.blockedUntil, other.blockedUntil);
        record.kind = std::max(record.kind, other.kind);
    }
    const bool isChanged = record.generation != before.generation || record.crashedServers != before.crashedServers
        || record.failedTrials != before.failedTrials || record.kind != before.kind
        || record.blockedUntil > before.blockedUntil + mergeTolerance
        || record.trialUntil > before.trialUntil + mergeTolerance;
    if (!isChanged) {
        record.blockedUntil = before.blockedUntil;
        record.trialUntil = before.trialUntil;
        record.trialServer = before.trialServer;
        return false;
    }
    entry.nextTrialAt = never;
    entry.expiry = now + recordLifetime;
    removeExpired(now);
    settleBlocks(now);
    return true;
}

CrashRecord CrashRegister::record(const ContentId& content) const
{
    const auto found = entries_.find(content);
    if (found != entries_.end())
        return found->second.record;
    CrashRecord none;
    none.content = content;
    return none;
}

std::vector<CrashRecord> CrashRegister::records() const
{
    std::vector<CrashRecord> records;
    for (const auto& [content, entry] : entries_)
        records.push_back(entry.record);
    return records;
}

size_t CrashRegister::blockedCount(Instant now) const
{
    return static_cast<size_t>(std::count_if(
        entries_.begin(), entries_.end(), [&](const auto& entry) { return blockedUntil(entry.first) > now; }));
}

void CrashRegister::removeExpired(Instant now)
{
    std::erase_if(entries_, [now](const auto& entry) { return entry.second.expiry <= now; });
    while (entries_.size() > maxRecords) {
        const auto oldest = std::min_element(entries_.begin(), entries_.end(),
            [](const auto& a, const auto& b) { return a.second.expiry < b.second.expiry; });
        entries_.erase(oldest);
    }
}

} // namespace endiveroad
