#include <algorithm>
#include <endiveroad/Admission.h>

namespace endiveroad {

Admission::Admission(int32_t slots, int32_t reservedSlots)
    : slots_(slots)
    , reservedSlots_(reservedSlots)
{
}

void Admission::setSlots(int32_t slots, int32_t reservedSlots)
{
    slots_ = slots;
    reservedSlots_ = reservedSlots;
}

int32_t Admission::freeSlots() const
{
    return std::max(slots_ - running_, 0);
}

Refusal Admission::admit(const std::string& requestId, bool isInteractive, Instant deadline, Instant now)
{
    removeExpired(now);
    Refusal refusal = Refusal::None;
    const int32_t usable = isInteractive ? slots_ : slots_ - reservedSlots_;
    const auto seen = seen_.find(requestId);
    if (seen != seen_.end())
        return seen->second.isAdmitted ? Refusal::AlreadyAdmitted : Refusal::AlreadyRefused;
    if (isDraining_)
        refusal = Refusal::Draining;
    else if (!isServerUp_)
        refusal = Refusal::ServerDown;
    else if (deadline <= now)
        refusal = Refusal::DeadlinePassed;
    else if (running_ >= usable)
        refusal = Refusal::Full;
    if (refusal != Refusal::None) {
        refuse(requestId, now);
        return refusal;
    }
    seen_[requestId] = { now + idRetention, true };
    ++running_;
    return Refusal::None;
}

void Admission::refuse(const std::string& requestId, Instant now)
{
    seen_.try_emplace(requestId, Seen { now + idRetention, false });
}

void Admission::removeExpired(Instant now)
{
    if (now < nextSweep_)
        return;
    nextSweep_ = now + idRetention / 4;
    std::erase_if(seen_, [now](const auto& entry) { return entry.second.expiry <= now; });
}

} // namespace endiveroad
