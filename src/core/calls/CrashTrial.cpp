#include <endiveroad/CrashTrial.h>

namespace endiveroad {

bool CrashTrial::supersedes(const CrashTrial& other) const
{
    if (round != other.round)
        return round > other.round;
    const bool wasSent = phase != Phase::Announced;
    const bool wasOtherSent = other.phase != Phase::Announced;
    if (wasSent != wasOtherSent)
        return wasSent;
    if (ticket != other.ticket)
        return ticket < other.ticket;
    return phase > other.phase;
}

bool CrashTrial::precedes(const CrashTrial& other) const
{
    const bool isSent = phase == Phase::Sent;
    const bool isOtherSent = other.phase == Phase::Sent;
    return isSent != isOtherSent ? isSent : ticket < other.ticket;
}

} // namespace endiveroad
