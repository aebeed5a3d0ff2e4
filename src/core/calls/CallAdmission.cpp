#include <endiveroad/CallAdmission.h>

namespace endiveroad {

using Verdict = CallDecision::Verdict;

CallAdmission::CallAdmission(
    Admission& admission, std::string self, int64_t startedWallMs, Instant startedAt, size_t maxTableBytes)
    : admission_(admission)
    , outcomes_(startedWallMs, startedAt, maxTableBytes)
    , homes_(std::move(self))
{
}

void CallAdmission::onReplicas(std::vector<std::string> names, int64_t revision, Instant now)
{
    homes_.onReplicas(std::move(names), revision, outcomes_.wallMs(now));
}

void CallAdmission::onInForceSince(int64_t revision, Instant since)
{
    homes_.onInForceSince(revision, outcomes_.wallMs(since));
}

CallDecision CallAdmission::begin(const CallMetadata& call, Instant now)
{
    if (duplicateDetector_.onArrival(call.id, now) != DuplicateDetector::Arrival::First)
        return { Verdict::Unknown, Refusal::AlreadyAdmitted, now + retryDelay };
    return resume(call, now);
}

CallDecision CallAdmission::resume(const CallMetadata& call, Instant now)
{
    return call.key ? decideKeyed(call, now) : admit(call, now);
}

CallDecision CallAdmission::decideKeyed(const CallMetadata& call, Instant now)
{
    const std::string& key = call.key->text;
    if (!homes_.isHome(key))
        return { Verdict::Unknown, Refusal::None, now + retryDelay };
    switch (outcomes_.begin(*call.key, homes_.uncertainUntil(key), retention_, now)) {
    case OutcomeTable::Verdict::Wait:
        return { Verdict::Wait, Refusal::None, never };
    case OutcomeTable::Verdict::Replay:
        return { Verdict::Replay, Refusal::None, never };
    case OutcomeTable::Verdict::Conflict:
        return { Verdict::Conflict, Refusal::None, never };
    case OutcomeTable::Verdict::CreatedInFuture:
        return { Verdict::CreatedInFuture, Refusal::None, outcomes_.acceptableFrom(call.key->createdMs) };
    case OutcomeTable::Verdict::Unknown:
        return { Verdict::Unknown, Refusal::None, never };
    case OutcomeTable::Verdict::AlreadyRefused:
        return { Verdict::NotRun, Refusal::AlreadyRefused, outcomes_.retryAt(key, now) };
    case OutcomeTable::Verdict::Full:
        return { Verdict::NotRun, Refusal::Full, outcomes_.retryAt(key, now) };
    case OutcomeTable::Verdict::Run:
        break;
    }
    CallDecision decision = admit(call, now);
    if (decision.verdict != Verdict::Run) {
        outcomes_.refuse(key, now);
        decision.retryAt = outcomes_.retryAt(key, now);
    }
    return decision;
}

CallDecision CallAdmission::admit(const CallMetadata& call, Instant now)
{
    const Refusal refusal = admission_.admit(call.id.text(), true, call.deadline, now);
    if (refusal == Refusal::None)
        return { Verdict::Run, refusal, never };
    return { Verdict::NotRun, refusal, now + retryDelay };
}

void CallAdmission::finish(const CallMetadata& call, CallOutcome outcome, Instant now)
{
    admission_.finish();
    if (call.key)
        outcomes_.finish(call.key->text, std::move(outcome), retention_, now);
}

void CallAdmission::finishUnknown(const CallMetadata& call, Instant now)
{
    admission_.finish();
    if (call.key)
        outcomes_.finishUnknown(call.key->text, retention_, now);
}

void CallAdmission::finishNotRun(const CallMetadata& call, Instant now)
{
    admission_.finish();
    if (call.key)
        outcomes_.refuse(call.key->text, now);
}

} // namespace endiveroad
