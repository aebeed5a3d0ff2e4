#include <endiveroad/OutcomeTable.h>

namespace endiveroad {

OutcomeTable::OutcomeTable(int64_t startedWallMs, Duration clockMargin)
    : startedWallMs_(startedWallMs)
    , clockMarginMs_(std::chrono::duration_cast<std::chrono::milliseconds>(clockMargin).count())
{
}

OutcomeTable::Verdict OutcomeTable::begin(const std::string& key, uint64_t fingerprint, int64_t keyCreatedWallMs,
    int64_t nowWallMs, Duration retention, Instant now)
{
    expire(now);
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        if (found->second.fingerprint != fingerprint)
            return Verdict::Conflict;
        switch (found->second.state) {
        case State::Running:
            return Verdict::Wait;
        case State::Finished:
            return Verdict::Replay;
        case State::Unknown:
            return Verdict::Unknown;
        }
    }
    const int64_t oldestMadeAt = keyCreatedWallMs != 0
        ? keyCreatedWallMs
        : nowWallMs - std::chrono::duration_cast<std::chrono::milliseconds>(retention).count();
    if (oldestMadeAt < startedWallMs_ + clockMarginMs_)
        return Verdict::Unknown;
    entries_.emplace(key, Entry { State::Running, fingerprint, never, {} });
    return Verdict::Run;
}

void OutcomeTable::finish(const std::string& key, CallOutcome outcome, Instant keepUntil)
{
    Entry& entry = entries_.at(key);
    entry.state = State::Finished;
    entry.outcome = std::move(outcome);
    entry.keepUntil = keepUntil;
}

void OutcomeTable::finishUnknown(const std::string& key, Instant keepUntil)
{
    Entry& entry = entries_.at(key);
    entry.state = State::Unknown;
    entry.keepUntil = keepUntil;
}

void OutcomeTable::withdraw(const std::string& key)
{
    entries_.erase(key);
}

const CallOutcome* OutcomeTable::outcome(const std::string& key) const
{
    const auto found = entries_.find(key);
    return found != entries_.end() && found->second.state == State::Finished ? &found->second.outcome : nullptr;
}

bool OutcomeTable::isRunning(const std::string& key) const
{
    const auto found = entries_.find(key);
    return found != entries_.end() && found->second.state == State::Running;
}

void OutcomeTable::expire(Instant now)
{
    std::erase_if(entries_, [now](const auto& entry) { return entry.second.keepUntil <= now; });
}

} // namespace endiveroad
