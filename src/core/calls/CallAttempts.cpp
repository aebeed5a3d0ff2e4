#include <endiveroad/CallAttempts.h>

namespace endiveroad {

CallAttempts::CallAttempts(Kind kind, Instant deadline)
    : kind_(kind)
    , deadline_(deadline)
{
}

std::optional<ErrorCode> CallAttempts::onEnd(AttemptEnd end, Instant now)
{
    ++attempts_;
    isMaybeRun_ = isMaybeRun_ || end == AttemptEnd::Unknown;
    if (kind_ == Kind::Keyed) {
        // Never retried: an earlier attempt may have come through another entry, so only the key's home agent knows
        // whether one has run.
        if (end == AttemptEnd::NotRun || end == AttemptEnd::DeadlinePassed)
            return end == AttemptEnd::NotRun ? ErrorCode::NotRun : ErrorCode::DeadlineExceeded;
        return ErrorCode::OutcomeUnknown;
    }
    const bool isOver = now >= deadline_ || end == AttemptEnd::DeadlinePassed || attempts_ >= maxAttempts;
    if (!isOver)
        return std::nullopt;
    if (isMaybeRun_)
        return ErrorCode::OutcomeUnknown;
    return end == AttemptEnd::DeadlinePassed ? ErrorCode::DeadlineExceeded : ErrorCode::NotRun;
}

ErrorCode CallAttempts::onNoAgent() const
{
    return kind_ == Kind::Keyed || isMaybeRun_ ? ErrorCode::OutcomeUnknown : ErrorCode::NotRun;
}

} // namespace endiveroad
