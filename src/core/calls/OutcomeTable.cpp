#include <endiveroad/OutcomeTable.h>

#include <algorithm>

namespace endiveroad {

namespace {

/// Memory of an entry apart from its key and answer: map node, expiry and short strings stored inside them.
constexpr size_t entryOverheadBytes = 256;

/// Refused keys may use 1/refusedMemoryDivisor of the memory in addition, so that a full table can still guarantee "not
/// run".
constexpr size_t refusedMemoryDivisor = 8;

int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

size_t CallOutcome::bytes() const
{
    size_t total = body.size();
    for (const auto& [name, value] : headers)
        total += name.size() + value.size() + 2 * sizeof(std::string);
    return total;
}

OutcomeTable::OutcomeTable(int64_t startedWallMs, Instant startedAt, size_t maxBytes)
    : startedWallMs_(startedWallMs)
    , startedAt_(startedAt)
    , maxBytes_(maxBytes)
    , lowWaterMarkMs_(startedWallMs + milliseconds(clockMargin))
{
}

int64_t OutcomeTable::wallMs(Instant now) const
{
    return startedWallMs_ + milliseconds(now - startedAt_);
}

OutcomeTable::Verdict OutcomeTable::begin(const CallKey& key, int64_t uncertainUntilMs, Duration retention, Instant now)
{
    removeExpired(now);
    const auto found = entries_.find(key.text);
    if (found != entries_.end()) {
        if (found->second.fingerprint != key.fingerprint)
            return Verdict::Conflict;
        switch (found->second.state) {
        case State::Running:
            return Verdict::Wait;
        case State::Finished:
            return Verdict::Replay;
        case State::Unknown:
            return Verdict::Unknown;
        case State::Refused:
            // The caller is told "not run" again, which now covers attempts sent after the first refusal as well, so
            // the key stays blocked for another refusedKeyBlockTime.
            refuse(key.text, now);
            return Verdict::AlreadyRefused;
        }
    }
    const int64_t wall = wallMs(now);
    const int64_t createdMs = key.createdMs != 0 ? key.createdMs : wall - milliseconds(retention);
    if (createdMs > wall + milliseconds(futureTolerance))
        return Verdict::CreatedInFuture;
    if (createdMs <= std::max(lowWaterMarkMs_, uncertainUntilMs))
        return Verdict::Unknown;
    Entry entry;
    entry.fingerprint = key.fingerprint;
    entry.createdMs = createdMs;
    entry.bytes = key.text.size() * 2 + entryOverheadBytes;
    const bool isFull = bytes_ + entry.bytes > maxBytes_;
    if (isFull && bytes_ + entry.bytes > maxBytes_ + maxBytes_ / refusedMemoryDivisor)
        return Verdict::Unknown;
    bytes_ += entry.bytes;
    entries_.emplace(key.text, std::move(entry));
    if (!isFull)
        return Verdict::Run;
    refuse(key.text, now);
    return Verdict::Full;
}

void OutcomeTable::setEnded(const std::string& key, State state, Instant keepUntil)
{
    Entry& entry = entries_.at(key);
    entry.state = state;
    entry.keepUntil = keepUntil;
    expiries_.push({ keepUntil, key });
}

void OutcomeTable::finish(const std::string& key, CallOutcome outcome, Duration retention, Instant now)
{
    const size_t outcomeBytes = outcome.bytes();
    if (outcomeBytes > maxOutcomeBytes || bytes_ + outcomeBytes > maxBytes_)
        return finishUnknown(key, retention, now);
    setEnded(key, State::Finished, now + retention + futureTolerance);
    Entry& entry = entries_.at(key);
    entry.outcome = std::move(outcome);
    entry.bytes += outcomeBytes;
    bytes_ += outcomeBytes;
}

void OutcomeTable::finishUnknown(const std::string& key, Duration retention, Instant now)
{
    setEnded(key, State::Unknown, now + retention + futureTolerance);
}

void OutcomeTable::refuse(const std::string& key, Instant now)
{
    setEnded(key, State::Refused, now + refusedKeyBlockTime);
}

const CallOutcome* OutcomeTable::outcome(const std::string& key) const
{
    const auto found = entries_.find(key);
    return found != entries_.end() && found->second.state == State::Finished ? &found->second.outcome : nullptr;
}

Instant OutcomeTable::retryAt(const std::string& key, Instant now) const
{
    const auto found = entries_.find(key);
    const bool isRefused = found != entries_.end() && found->second.state == State::Refused;
    return isRefused ? std::max(now, found->second.keepUntil) : now;
}

Instant OutcomeTable::acceptableFrom(int64_t createdMs) const
{
    return startedAt_ + std::chrono::milliseconds(createdMs - startedWallMs_) - futureTolerance;
}

void OutcomeTable::removeExpired(Instant now)
{
    while (!expiries_.empty() && expiries_.top().instant <= now) {
        const auto found = entries_.find(expiries_.top().key);
        const bool isCurrent = found != entries_.end() && found->second.keepUntil == expiries_.top().instant;
        expiries_.pop();
        if (!isCurrent)
            continue;
        if (found->second.state != State::Refused)
            lowWaterMarkMs_ = std::max(lowWaterMarkMs_, found->second.createdMs);
        bytes_ -= found->second.bytes;
        entries_.erase(found);
    }
}

} // namespace endiveroad
