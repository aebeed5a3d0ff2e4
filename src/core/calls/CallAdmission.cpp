#include <endiveroad/CallAdmission.h>

namespace endiveroad {

using Verdict = CallDecision::Verdict;

CallAdmission::CallAdmission(
    Admission& admission, std::string self, int64_t startedWallMs, Instant startedAt, size_t maxOutcomeBytes)
    : admission_(admission)
    , outcomes_(startedWallMs, startedAt, maxOutcomeBytes)
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

CallDecision CallAdmission::begin(const CallDemand& demand, Instant now)
{
    if (window_.onArrival(demand.id, now) != RequestWindow::Arrival::First)
        return { Verdict::Unknown, Refusal::AdmittedBefore, now + retryDelay };
    return resume(demand, now);
}

CallDecision CallAdmission::resume(const CallDemand& demand, Instant now)
{
    return demand.key ? decideKeyed(demand, now) : admit(demand, now);
}

CallDecision CallAdmission::decideKeyed(const CallDemand& demand, Instant now)
{
    const std::string& key = demand.key->text;
    if (!homes_.isHome(key))
        return { Verdict::Unknown, Refusal::None, now + retryDelay };
    switch (outcomes_.begin(*demand.key, homes_.doubtfulBefore(key), retention_, now)) {
    case OutcomeTable::Verdict::Wait:
        return { Verdict::Wait, Refusal::None, never };
    case OutcomeTable::Verdict::Replay:
        return { Verdict::Replay, Refusal::None, never };
    case OutcomeTable::Verdict::Conflict:
        return { Verdict::Conflict, Refusal::None, never };
    case OutcomeTable::Verdict::TooNew:
        return { Verdict::TooNew, Refusal::None, outcomes_.takenAt(demand.key->createdMs) };
    case OutcomeTable::Verdict::Unknown:
        return { Verdict::Unknown, Refusal::None, never };
    case OutcomeTable::Verdict::RefusedBefore:
        return { Verdict::NotRun, Refusal::RefusedBefore, outcomes_.retryAt(key, now) };
    case OutcomeTable::Verdict::Full:
        return { Verdict::NotRun, Refusal::Full, outcomes_.retryAt(key, now) };
    case OutcomeTable::Verdict::Run:
        break;
    }
    CallDecision decision = admit(demand, now);
    if (decision.verdict != Verdict::Run) {
        outcomes_.refuse(key, now);
        decision.retryAt = outcomes_.retryAt(key, now);
    }
    return decision;
}

CallDecision CallAdmission::admit(const CallDemand& demand, Instant now)
{
    const Refusal refusal = admission_.admit(demand.id.text(), true, demand.deadline, now);
    if (refusal == Refusal::None)
        return { Verdict::Run, refusal, never };
    return { Verdict::NotRun, refusal, now + retryDelay };
}

void CallAdmission::finish(const CallDemand& demand, CallOutcome outcome, Instant now)
{
    admission_.finish();
    if (demand.key)
        outcomes_.finish(demand.key->text, std::move(outcome), retention_, now);
}

void CallAdmission::finishUnknown(const CallDemand& demand, Instant now)
{
    admission_.finish();
    if (demand.key)
        outcomes_.finishUnknown(demand.key->text, retention_, now);
}

void CallAdmission::finishNotRun(const CallDemand& demand, Instant now)
{
    admission_.finish();
    if (demand.key)
        outcomes_.refuse(demand.key->text, now);
}

} // namespace endiveroad
