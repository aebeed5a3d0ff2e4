#include <endiveroad/VmRetirement.h>

#include <utility>

namespace endiveroad {

VmRetirement::VmRetirement(std::string name)
    : name_(std::move(name))
{
}

void VmRetirement::onRequest(std::optional<int64_t> revision)
{
    const bool isAnother = revision != request_;
    request_ = revision;
    // The report completed the earlier request only. next() tells the others that this coordinator stays.
    if (isAnother && phase_ == Phase::Reported)
        phase_ = Phase::HandingOver;
}

void VmRetirement::onReported()
{
    phase_ = Phase::Reported;
}

RetirementAction VmRetirement::next(const std::vector<SuccessorState>& others, size_t openJobs, Instant now)
{
    if (phase_ == Phase::Reported)
        return RetirementAction::None;
    successor_ = isRequested() ? chooseSuccessor(others) : std::string();
    if (successor_.empty())
        return stay();
    if (phase_ == Phase::Staying) {
        phase_ = Phase::HandingOver;
        handoverEnd_ = now + handoverTime;
        return RetirementAction::AnnounceLeaving;
    }
    const bool isDone = openJobs == 0 || now >= handoverEnd_;
    return isDone ? RetirementAction::Report : RetirementAction::None;
}

std::string VmRetirement::chooseSuccessor(const std::vector<SuccessorState>& others) const
{
    const SuccessorState* best = nullptr;
    for (const SuccessorState& other : others) {
        const bool mayCountOn = other.isReady && (!other.isRetiring || other.name > name_);
        if (!mayCountOn)
            continue;
        const bool isBetter
            = !best || std::pair(other.isRetiring, other.name) < std::pair(best->isRetiring, best->name);
        if (isBetter)
            best = &other;
    }
    return best ? best->name : std::string();
}

RetirementAction VmRetirement::stay()
{
    if (phase_ == Phase::Staying)
        return RetirementAction::None;
    phase_ = Phase::Staying;
    return RetirementAction::AnnounceReturn;
}

} // namespace endiveroad
