#include <algorithm>
#include <endiveroad/VersionTracker.h>

namespace endiveroad {

bool VersionTracker::isCurrent(WeightVersion version, int64_t order) const
{
    return order == newestOrder_ && this->version() == version;
}

std::string VersionTracker::software() const
{
    if (!lastStatus_)
        return {};
    return lastStatus_->software.empty() ? "boot " + lastStatus_->boot : "version " + lastStatus_->software;
}

bool VersionTracker::beginSwap(WeightVersion version, int64_t order)
{
    if (order < newestOrder_ || !isReadyToSwap() || isCurrent(version, order))
        return false;
    newestOrder_ = order;
    isSwapping_ = true;
    return true;
}

uint64_t VersionTracker::startLoad()
{
    endEpoch();
    return ++fence_;
}

void VersionTracker::endEpoch()
{
    ++epoch_;
    version_ = unknownVersion;
    lastStatus_.reset();
}

bool VersionTracker::onStatus(const EngineStatus& status)
{
    fence_ = std::max(fence_, status.fence);
    const bool isSame = lastStatus_ && lastStatus_->boot == status.boot && lastStatus_->loads == status.loads
        && lastStatus_->version == status.version && !status.isLoading;
    if (isSame)
        return true;
    endEpoch();
    // During a swap the engine may switch weights at any moment, so the status does not establish a version.
    if (isSwapping_ || status.isLoading)
        return false;
    version_ = status.version;
    lastStatus_ = status;
    return false;
}

} // namespace endiveroad
