#include <algorithm>
#include <endiveroad/VersionTracker.h>

namespace endiveroad {

bool VersionTracker::isInForce(WeightVersion version, int64_t order) const
{
    return order == newestOrder_ && this->version() == version;
}

bool VersionTracker::beginSwap(WeightVersion version, int64_t order)
{
    if (order < newestOrder_ || !isSettled() || isInForce(version, order))
        return false;
    newestOrder_ = order;
    isSwapping_ = true;
    return true;
}

uint64_t VersionTracker::orderSwap()
{
    doubt();
    return ++fence_;
}

void VersionTracker::doubt()
{
    ++epoch_;
    version_ = unknownVersion;
    last_.reset();
}

bool VersionTracker::onStatement(const EngineStatement& statement)
{
    fence_ = std::max(fence_, statement.fence);
    const bool isSame = last_ && last_->boot == statement.boot && last_->loads == statement.loads
        && last_->version == statement.version && !statement.isLoading;
    if (isSame)
        return true;
    doubt();
    // During a swap the engine may switch weights at any moment, so the status does not establish a version.
    if (isSwapping_ || statement.isLoading)
        return false;
    version_ = statement.version;
    last_ = statement;
    return false;
}

} // namespace endiveroad
