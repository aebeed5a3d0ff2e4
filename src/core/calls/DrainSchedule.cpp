#include <endiveroad/DrainSchedule.h>

namespace endiveroad {

DrainSchedule::DrainSchedule(Instant toldAt, Instant endsAt)
    : endsAt_(endsAt)
{
    const Duration time = endsAt - toldAt;
    connectionsUntil_ = toldAt + std::min(acceptTime, time / 2);
    streamsUntil_ = std::min(toldAt + streamTime, connectionsUntil_);
    answersDueAt_ = endsAt - std::min(answerTime, time / 4);
}

DrainSchedule DrainSchedule::within(Instant toldAt, Duration graceTime)
{
    return { toldAt, toldAt + std::max(graceTime - graceMargin, graceTime / 2) };
}

} // namespace endiveroad
