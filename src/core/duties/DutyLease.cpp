#include <algorithm>
#include <endiveroad/DutyLease.h>

namespace endiveroad {

DutyLease::DutyLease(Duration lifetime, Instant startedAt)
    : lifetime_(lifetime)
    , acquireFrom_(startedAt + lifetime)
{
}

void DutyLease::onHolder(int64_t token, Instant now)
{
    // A late notice of an earlier holder says nothing of the present one.
    if (token < highestToken_ || token == token_)
        return;
    highestToken_ = token;
    if (isHeld())
        onLost(now);
    acquireFrom_ = std::max(acquireFrom_, now + lifetime_);
    attempts_ = 0;
}

bool DutyLease::mayAcquire(bool isCandidate, Instant now) const
{
    const Duration grace = isCandidate ? Duration::zero() : lifetime_;
    return !isHeld() && now >= acquireFrom_ + grace;
}

void DutyLease::onAttempt(Instant now)
{
    ++attempts_;
    acquireFrom_ = now + (attempts_ > quickAttempts ? slowRetryInterval : retryInterval);
}

void DutyLease::onAcquired(int64_t token, DutyTime requestedAt, Instant now)
{
    attempts_ = 0;
    // The store gives later holders higher tokens, so another one is known already.
    if (token < highestToken_)
        return;
    token_ = token;
    highestToken_ = token;
    onRenewed(requestedAt);
    actFrom_ = now + lifetime_;
}

void DutyLease::onRenewed(DutyTime sentAt)
{
    renewedAt_ = sentAt;
    renewAt_ = sentAt.instant + lifetime_ / renewalsPerLifetime;
}

void DutyLease::onLost(Instant now)
{
    token_ = 0;
    renewAt_ = never;
    actFrom_ = never;
    acquireFrom_ = std::max(acquireFrom_, now + retryInterval);
}

void DutyLease::onFenced(int64_t token, Instant now)
{
    if (token != token_)
        return;
    onLost(now);
    acquireFrom_ = std::max(acquireFrom_, now + lifetime_);
}

Duration DutyLease::remaining(DutyTime time) const
{
    if (!isHeld())
        return Duration::zero();
    const Duration wallElapsed = std::chrono::milliseconds(time.wallMs - renewedAt_.wallMs);
    const Duration elapsed = std::max(time.instant - renewedAt_.instant, wallElapsed);
    return lifetime_ - lifetime_ / marginDivisor - elapsed;
}

bool DutyLease::mayAct(DutyTime time, Duration callTime) const
{
    return isHeld() && time.instant >= actFrom_ && remaining(time) > callTime;
}

} // namespace endiveroad
