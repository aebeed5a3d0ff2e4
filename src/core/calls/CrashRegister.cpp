#include <algorithm>
#include <endiveroad/CrashRegister.h>

namespace endiveroad {

Duration CrashRegister::blockAfter(size_t crashes)
{
    if (crashes < blockThreshold)
        return Duration::zero();
    Duration block = firstBlock;
    for (size_t i = blockThreshold; i < crashes && block < longestBlock; ++i)
        block *= 2;
    return std::min(block, longestBlock);
}

Instant CrashRegister::blockedUntil(const ContentId& content) const
{
    const auto found = entries_.find(content);
    return found != entries_.end() && hasBlock(found->second) ? found->second.record.blockedUntil : Instant::min();
}

bool CrashRegister::hasBlock(const Entry& entry) const
{
    return entry.isBlockFinal || unexplainedCrashes(entry.record) >= blockThreshold;
}

void CrashRegister::settleBlocks(Instant now)
{
    for (auto& [content, entry] : entries_) {
        if (entry.isBlockFinal || entry.record.crashedServers.size() < blockThreshold)
            continue;
        if (entry.settledAt == never)
            entry.settledAt = now + settleTime;
        entry.isBlockFinal = now >= entry.settledAt && hasBlock(entry);
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

CrashAdmission CrashRegister::admit(const ContentId& content, Instant now)
{
    const auto found = entries_.find(content);
    if (found == entries_.end())
        return CrashAdmission::Admitted;
    settleBlocks(now);
    if (!hasBlock(found->second))
        return CrashAdmission::Admitted;
    CrashRecord& record = found->second.record;
    if (record.blockedUntil > now)
        return CrashAdmission::Blocked;
    record.blockedUntil = now + trialTime;
    return CrashAdmission::Trial;
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

bool CrashRegister::hasOtherSuspect(const ContentId& content, const std::string& server) const
{
    const auto found = running_.find(server);
    return found != running_.end()
        && std::any_of(found->second.begin(), found->second.end(),
            [&](const ContentId& other) { return other != content && isSuspect(other); });
}

bool CrashRegister::onCrash(const ContentId& content, const std::string& serverStart, Instant now)
{
    if (wasAnsweredLately(content, now))
        return false;
    Entry& entry = entries_[content];
    entry.record.content = content;
    if (!entry.record.crashedServers.insert(serverStart).second)
        return false;
    const Duration block = blockAfter(entry.record.crashedServers.size());
    if (block > Duration::zero())
        entry.record.blockedUntil = std::max(entry.record.blockedUntil, now + block);
    entry.expiry = now + recordLifetime;
    removeExpired(now);
    settleBlocks(now);
    return true;
}

bool CrashRegister::onAnswered(const ContentId& content, Instant now)
{
    rememberAnswer(content, now);
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
    entry.record.blockedUntil = Instant::min();
    entry.settledAt = never;
    entry.isBlockFinal = false;
}

CrashMerge CrashRegister::merge(const CrashRecord& other, Instant now)
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
        record.blockedUntil = std::max(record.blockedUntil, other.blockedUntil);
    }
    const bool isChanged = record.generation != before.generation || record.crashedServers != before.crashedServers
        || record.blockedUntil > before.blockedUntil + mergeTolerance;
    if (!isChanged) {
        record.blockedUntil = before.blockedUntil;
        return CrashMerge::Unchanged;
    }
    const bool isVoid = !record.crashedServers.empty() && wasAnsweredLately(record.content, now);
    if (isVoid)
        clear(entry);
    entry.expiry = now + recordLifetime;
    removeExpired(now);
    settleBlocks(now);
    return isVoid ? CrashMerge::Voided : CrashMerge::Changed;
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

bool CrashRegister::wasAnsweredLately(const ContentId& content, Instant now) const
{
    const auto found = answerPositions_.find(content);
    return found != answerPositions_.end() && found->second->expiry > now;
}

void CrashRegister::rememberAnswer(const ContentId& content, Instant now)
{
    const auto found = answerPositions_.find(content);
    if (found != answerPositions_.end())
        answers_.erase(found->second);
    answers_.push_back({ content, now + answerLifetime });
    answerPositions_[content] = std::prev(answers_.end());
    while (answers_.size() > maxAnswers || answers_.front().expiry <= now) {
        answerPositions_.erase(answers_.front().content);
        answers_.pop_front();
    }
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
