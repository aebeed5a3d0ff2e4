#include <algorithm>
#include <endiveroad/ReaderElection.h>

namespace endiveroad {

ReaderElection::ReaderElection(std::optional<std::string> coordinator, Instant waitUntil)
    : coordinator_(std::move(coordinator))
    , waitUntil_(coordinator_ ? Instant::min() : waitUntil)
{
}

void ReaderElection::onFresh(const std::string& reader, Instant now)
{
    freshUntil_[reader] = now + coverage;
}

void ReaderElection::onOwnRead(Instant now)
{
    ownFreshUntil_ = now + coverage;
}

bool ReaderElection::shouldRead(Instant now) const
{
    if (now < waitUntil_)
        return false;
    return std::none_of(freshUntil_.begin(), freshUntil_.end(), [&](const auto& entry) {
        const bool goesFirst = !coordinator_ || entry.first < *coordinator_;
        return goesFirst && entry.second > now;
    });
}

bool ReaderElection::isCovered(Instant now) const
{
    return ownFreshUntil_ > now
        || std::any_of(freshUntil_.begin(), freshUntil_.end(), [now](const auto& entry) { return entry.second > now; });
}

} // namespace endiveroad
