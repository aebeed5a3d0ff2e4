#include <algorithm>
#include <endiveroad/RetryBudget.h>

namespace endiveroad {

void RetryBudget::onFirstAttempt()
{
    repeats_ = std::min(most, repeats_ + share);
}

void RetryBudget::onRepeat()
{
    repeats_ = std::max(0.0, repeats_ - 1);
}

void RetryBudget::onWaiting(Instant now)
{
    overloadedUntil_ = now + overloadTime;
}

bool RetryBudget::mayHedge(size_t waitingCalls, Instant now) const
{
    if (waitingCalls > 0)
        return false;
    return now >= overloadedUntil_ || repeats_ >= 1;
}

} // namespace endiveroad
