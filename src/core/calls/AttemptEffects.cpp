#include <endiveroad/AttemptEffects.h>

namespace endiveroad {

bool isRefusal(ErrorCode code) noexcept
{
    // A list of the refusals, so that a code that is added later leaves the outcome open.
    switch (code) {
    case ErrorCode::NotRun:
    case ErrorCode::NotReady:
    case ErrorCode::PoisonRequest:
    case ErrorCode::ProcessStopping:
    case ErrorCode::StoreUnavailable:
    case ErrorCode::PeerUnavailable:
    case ErrorCode::ServerUnavailable:
    case ErrorCode::AccessRefused:
    case ErrorCode::RequestUnsendable:
        return true;
    default:
        return false;
    }
}

void AttemptEffects::onFailure(const Error& error)
{
    mayHaveTakenEffect_ = mayHaveTakenEffect_ || !isRefusal(error.code());
    reason_ = error.what();
}

void AttemptEffects::onNothingTried(const std::string& reason)
{
    if (reason_.empty())
        reason_ = reason;
}

} // namespace endiveroad
