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
    peerReadExpiries_[reader] = now + readLifetime;
}

void ReaderElection::onOwnRead(Instant now)
{
    ownReadExpiry_ = now + readLifetime;
}

bool ReaderElection::shouldRead(Instant now) const
{
    if (now < firstReadAt_)
        return false;
    return std::none_of(peerReadExpiries_.begin(), peerReadExpiries_.end(), [&](const auto& entry) {
        const bool hasPrecedence = !coordinator_ || entry.first < *coordinator_;
        return hasPrecedence && entry.second > now;
    });
}

bool ReaderElection::hasRecentRead(Instant now) const
{
    return ownReadExpiry_ > now
        || std::any_of(peerReadExpiries_.begin(), peerReadExpiries_.end(),
            [now](const auto& entry) { return entry.second > now; });
}

} // namespace endiveroad
