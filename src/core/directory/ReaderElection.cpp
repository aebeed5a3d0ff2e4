#include <algorithm>
#include <endiveroad/ReaderElection.h>

namespace endiveroad {

ReaderElection::ReaderElection(std::optional<std::string> coordinator, Instant firstReadAt)
    : coordinator_(std::move(coordinator))
    , firstReadAt_(coordinator_ ? Instant::min() : firstReadAt)
{
}

void ReaderElection::onPeerRead(const std::string& reader, Instant now)
{
    freshUntil_[reader] = now + readLifetime;
}

void ReaderElection::onOwnRead(Instant now)
{
    ownFreshUntil_ = now + readLifetime;
}

bool ReaderElection::shouldRead(Instant now) const
{
    if (now < firstReadAt_)
        return false;
    return std::none_of(freshUntil_.begin(), freshUntil_.end(), [&](const auto& entry) {
        const bool hasPrecedence = !coordinator_ || entry.first < *coordinator_;
        return hasPrecedence && entry.second > now;
    });
}

bool ReaderElection::hasRecentRead(Instant now) const
{
    return ownFreshUntil_ > now
        || std::any_of(freshUntil_.begin(), freshUntil_.end(), [now](const auto& entry) { return entry.second > now; });
}

} // namespace endiveroad
