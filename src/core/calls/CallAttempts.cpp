#include <endiveroad/CallAttempts.h>

namespace endiveroad {

CallAttempts::CallAttempts(Kind kind, Instant deadline)
    : kind_(kind)
    , deadline_(deadline)
{
}

std::optional<ErrorCode> CallAttempts::onFailure(AttemptFailure end, Instant now)
{
    ++attempts_;
    mayHaveRun_ = mayHaveRun_ || end == AttemptFailure::Unknown;
    if (kind_ == Kind::Keyed) {
        // Never retried: an earlier attempt may have come through another entry, so only the key's home agent knows
        // whether one has run.
        if (end == AttemptFailure::NotRun || end == AttemptFailure::DeadlinePassed)
            return end == AttemptFailure::NotRun ? ErrorCode::NotRun : ErrorCode::DeadlineExceeded;
        return ErrorCode::OutcomeUnknown;
    }
    const bool isOver = now >= deadline_ || end == AttemptFailure::DeadlinePassed || attempts_ >= maxAttempts;
    if (!isOver)
        return std::nullopt;
    if (mayHaveRun_)
        return ErrorCode::OutcomeUnknown;
    return end == AttemptFailure::DeadlinePassed ? ErrorCode::DeadlineExceeded : ErrorCode::NotRun;
}

ErrorCode CallAttempts::errorWithoutAgent() const
{
    return kind_ == Kind::Keyed || mayHaveRun_ ? ErrorCode::OutcomeUnknown : ErrorCode::NotRun;
}

} // namespace endiveroad
