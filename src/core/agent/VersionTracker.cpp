#include <algorithm>
#include <endiveroad/VersionTracker.h>

namespace endiveroad {

uint64_t VersionTracker::beginSwap()
{
    isSwapping_ = true;
    doubt();
    return ++fence_;
}

void VersionTracker::finishSwap()
{
    isSwapping_ = false;
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
    if (isSwapping_)
        return false;
    const uint64_t before = epoch_;
    const bool isSame = last_ && last_->boot == statement.boot && last_->loads == statement.loads
        && last_->version == statement.version && !statement.isLoading;
    if (!isSame)
        doubt();
    if (!statement.isLoading) {
        version_ = statement.version;
        last_ = statement;
    }
    return epoch_ != before;
}

void VersionTracker::onEngineLost()
{
    doubt();
}

} // namespace endiveroad
