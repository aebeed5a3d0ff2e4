#include <algorithm>
#include <endiveroad/CrashRegister.h>

namespace endiveroad {

namespace {

/// Stands in the name of a failed trial before its number if the server start was known to have ended before.
constexpr char repeatMark = '+';

} // namespace

Duration CrashRegister::blockOf(const CrashRecord& record, bool isLate) const
{
    const auto lengthIn = [](const auto& blocks, size_t failures) {
        return blocks[std::clamp<size_t>(failures, 1, blocks.size()) - 1];
    };
    if (record.kind == ContentKind::Call)
        return lengthIn(callBlocks, countedFailures(record));
    const auto late = std::count_if(record.failedTrials.begin(), record.failedTrials.end(),
        [](const FailedTrial& failed) { return failed.isLate; });
    return isLate ? lengthIn(lateOwedBlocks, static_cast<size_t>(late)) : lengthIn(owedBlocks, countedFailures(record));
}

Instant CrashRegister::blockedUntil(const ContentId& content) const
{
    const auto found = entries_.find(content);
    if (found == entries_.end() || !hasBlock(found->second))
        return Instant::min();
    const Entry& entry = found->second;
    const CrashTrial& trial = entry.record.trial;
    const Instant trialEnd = trial.phase == CrashTrial::Phase::Ended ? Instant::min() : trial.until;
    return isProven(entry) ? std::max(trialEnd, entry.record.blockedUntil) : trialEnd;
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
    return countedFailures(entry.record) > 0;
}

size_t CrashRegister::countedFailures(const CrashRecord& record) const
{
    const auto excused = std::count_if(record.failedTrials.begin(), record.failedTrials.end(),
        [&](const FailedTrial& failed) { return !failed.isLate && hadOtherCause(record.content, failed); });
    return record.failedTrials.size() - std::min(static_cast<size_t>(excused), maxExcusedTrials);
}

bool CrashRegister::hadOtherCause(const ContentId& content, const FailedTrial& failed) const
{
    const std::string serverStart = failed.serverStart.substr(0, failed.serverStart.find(repeatMark));
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
        return entry.first != content && entry.second.record.crashedServers.contains(serverStart);
    });
}

bool CrashRegister::wasTrial(const Entry& entry, Instant sentAt) const
{
    return sentAt > entry.trialsSince && hasBlock(entry);
}

bool CrashRegister::endsTrial(const Entry& entry, Instant sentAt)
{
    const CrashTrial& trial = entry.record.trial;
    // Of another process, the time of sending is known only to within the time of transmission.
    const Duration tolerance = trial.ticket == entry.ownTicket ? Duration::zero() : mergeTolerance;
    return trial.phase == CrashTrial::Phase::Sent && sentAt >= trial.sendAt - tolerance;
}

bool CrashRegister::isAnnouncedHere(const Entry& entry)
{
    const CrashTrial& trial = entry.record.trial;
    return trial.phase == CrashTrial::Phase::Announced && trial.ticket == entry.ownTicket;
}

bool CrashRegister::isServerTaken(const ContentId& content, const std::string& server, Instant now) const
{
    const auto found = entries_.find(content);
    const CrashTrial own = found == entries_.end() ? CrashTrial() : found->second.record.trial;
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
        const CrashTrial& other = entry.second.record.trial;
        return entry.first != content && other.isUnderWay(now) && other.server == server && other.precedes(own);
    });
}

void CrashRegister::settleBlocks(Instant now)
{
    for (auto& [content, entry] : entries_) {
        if (entry.record.crashedServers.size() < blockThreshold)
            continue;
        if (entry.record.thresholdAt == never)
            entry.record.thresholdAt = now;
        if (entry.isBlockFinal)
            continue;
        if (!hasBlock(entry))
            entry.trialsSince = never;
        else if (entry.trialsSince == never)
            entry.trialsSince = now;
        entry.isBlockFinal = entry.trialsSince != never && now >= entry.trialsSince + settleTime;
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

CrashAdmission CrashRegister::admit(const ContentId& content, const std::string& server, uint64_t ticket, Instant now)
{
    const auto found = entries_.find(content);
    if (found == entries_.end())
        return CrashAdmission::Admitted;
    settleBlocks(now);
    Entry& entry = found->second;
    if (!hasBlock(entry))
        return CrashAdmission::Admitted;
    const CrashAdmission refusal = isProven(entry) ? CrashAdmission::Blocked : CrashAdmission::Pending;
    if (refusal == CrashAdmission::Blocked && entry.record.blockedUntil > now)
        return refusal;
    CrashTrial& trial = entry.record.trial;
    const bool isUnderWay = trial.isUnderWay(now);
    if (!isUnderWay || (isAnnouncedHere(entry) && trial.server != server)) {
        const Instant sendAt = now + announceTime;
        trial = { trial.round + 1, CrashTrial::Phase::Announced, ticket, server, sendAt, sendAt + announceGrace };
        entry.ownTicket = ticket;
        return CrashAdmission::Announced;
    }
    if (!isAnnouncedHere(entry) || trial.sendAt > now)
        return refusal;
    if (isServerTaken(content, server, now)) {
        trial.phase = CrashTrial::Phase::Ended;
        return refusal;
    }
    trial.phase = CrashTrial::Phase::Sent;
    trial.sendAt = now;
    trial.until = now + trialTime;
    return CrashAdmission::Trial;
}

std::optional<CrashTrial> CrashRegister::ownAnnouncement(const ContentId& content, Instant now) const
{
    const auto found = entries_.find(content);
    if (found == entries_.end() || !isAnnouncedHere(found->second) || !found->second.record.trial.isUnderWay(now))
        return std::nullopt;
    return found->second.record.trial;
}

bool CrashRegister::onNotRun(const ContentId& content, Instant sentAt, bool wasReceived, Instant now)
{
    const auto found = entries_.find(content);
    if (found == entries_.end() || !wasTrial(found->second, sentAt))
        return false;
    Entry& entry = found->second;
    const bool isFree = !isProven(entry) && now < entry.record.thresholdAt + freeTrialTime;
    const bool isRepeated = !wasReceived || isFree;
    if (!isRepeated || entry.record.trial.phase != CrashTrial::Phase::Sent)
        return false;
    entry.record.trial.phase = CrashTrial::Phase::Ended;
    return true;
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
        if (other != content && entry.record.trial.isUnderWay(now))
            servers.insert(entry.record.trial.server);
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
    const bool isNew = record.crashedServers.insert(server).second;
    const bool isTrialOver = endsTrial(entry, report.sentAt);
    if (isTrialOver)
        record.trial.phase = CrashTrial::Phase::Ended;
    if (!isNew)
        return isTrialOver;
    if (isFailedTrial) {
        const bool isLate = report.sentAt >= record.thresholdAt + freeTrialTime;
        record.failedTrials.insert({ server, isLate });
        record.blockedUntil = std::max(record.blockedUntil, now + blockOf(record, isLate));
    }
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
    entry.record.trial = {};
    entry.record.thresholdAt = never;
    entry.record.blockedUntil = Instant::min();
    entry.trialsSince = never;
    entry.isBlockFinal = false;
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
        record.failedTrials.insert(other.failedTrials.begin(), other.failedTrials.end());
        if (other.trial.supersedes(record.trial))
            record.trial = other.trial;
        record.thresholdAt = std::min(record.thresholdAt, other.thresholdAt);
        record.blockedUntil = std::max(record.blockedUntil, other.blockedUntil);
        record.kind = std::max(record.kind, other.kind);
    }
    const bool isChanged = record.generation != before.generation || record.crashedServers != before.crashedServers
        || record.failedTrials != before.failedTrials || record.kind != before.kind
        || record.blockedUntil > before.blockedUntil + mergeTolerance || record.trial.supersedes(before.trial);
    if (!isChanged) {
        record.blockedUntil = before.blockedUntil;
        return false;
    }
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
