#pragma once

#include <cstdint>
#include <endiveroad/VersionTracker.h>
#include <map>
#include <string>
#include <vector>

/// Simulated engine. Each token is one character that shows the weight version that generated it.
namespace simulation {

inline char tokenOf(endiveroad::WeightVersion version)
{
    return static_cast<char>('0' + version);
}

struct LoadOrder {
    endiveroad::WeightVersion version = 0;
    uint64_t fence = 0;
};

class Engine {
public:
    struct Stream {
        /// Tokens not yet generated.
        uint32_t tokensLeft = 0;
        std::string unread;
    };

    explicit Engine(bool honoursFencing)
        : honoursFencing_(honoursFencing)
    {
    }

    endiveroad::VersionTracker::EngineStatus status() const
    {
        return { std::to_string(boot_), loads_, !loading_.empty(), version_, fence_ };
    }

    /// Loses all streams and loads, and starts with the given weights.
    void restart(endiveroad::WeightVersion version)
    {
        ++boot_;
        loads_ = 0;
        fence_ = 0;
        version_ = version;
        loading_.clear();
        streams.clear();
    }

    /// Returns false if the order is refused because its fencing token is not higher than the last one.
    bool beginLoad(const LoadOrder& order)
    {
        if (honoursFencing_ && order.fence <= fence_)
            return false;
        fence_ = std::max(fence_, order.fence);
        ++loads_;
        loading_.push_back(order);
        return true;
    }

    /// Switches to the new weights while the load still runs.
    void switchWeights()
    {
        if (!loading_.empty())
            version_ = loading_.front().version;
    }

    /// Ends the oldest load. A load that fails half-way leaves the version unchanged.
    void endLoad(bool hasFailed)
    {
        if (loading_.empty())
            return;
        if (!hasFailed)
            version_ = loading_.front().version;
        loading_.erase(loading_.begin());
    }

    void makeToken(Stream& stream) const
    {
        if (stream.tokensLeft == 0)
            return;
        --stream.tokensLeft;
        stream.unread += tokenOf(version_);
    }

    std::map<uint64_t, Stream> streams;

private:
    bool honoursFencing_;
    uint64_t boot_ = 1;
    uint64_t loads_ = 0;
    uint64_t fence_ = 0;
    endiveroad::WeightVersion version_ = 0;
    std::vector<LoadOrder> loading_;
};

} // namespace simulation
