#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Sample.h>
#include <optional>
#include <string>

namespace endiveroad {

/// Weight version of the agent's engine, the backend server that the agent forwards requests to. It is known only from
/// the engine's own status. An epoch is a period in which the engine is known to have loaded nothing. Tokens of a
/// stream get a weight version only if a status requested after the last of them shows that the epoch in which the
/// stream was opened still lasts. A new epoch starts when a load order is about to be sent, when the engine is lost,
/// and with each status that shows a load, a restart or another version, or that no earlier status of the epoch can be
/// compared with.
class VersionTracker {
public:
    /// Status reported by the engine. Invariant: within one boot, loads grows by one at the start of each load.
    struct EngineStatus {
        /// Identifies one run of the engine's process; changes with each start.
        std::string boot;
        uint64_t loads = 0;
        bool isLoading = false;
        WeightVersion version = unknownVersion;
        /// Highest fencing token that the engine has accepted; 0 if it reports none.
        uint64_t fence = 0;
        /// Version of its software; empty if it reports none.
        std::string software {};

        auto operator<=>(const EngineStatus&) const = default;
    };

    /// Version that a stream opened now runs under; unknownVersion during a swap or without a valid status.
    WeightVersion version() const { return isSwapping_ ? unknownVersion : version_; }
    uint64_t epoch() const { return epoch_; }

    /// The engine's software in this epoch; empty while its version is unknown. Of engines that do not report their
    /// software, each start is software of its own.
    std::string software() const;

    bool isSwapping() const { return isSwapping_; }

    /// True if the engine's last status showed no load in progress and nothing has invalidated it since. A swap
    /// waits for this, because an engine that still loads would run the new load only after the current one.
    bool isReadyToSwap() const { return !isSwapping_ && lastStatus_.has_value(); }

    /// Begins a swap: the streams are stopped, the versions of their tokens are confirmed, then the new weights are
    /// loaded. From now on no stream may be opened or read further. The epoch still lasts, so that a status
    /// requested after this call can confirm the version of the tokens read so far. Returns false and changes nothing
    /// if the order (PolicyState::order) is lower than that of an earlier swap, if isCurrent() is true already, or if
    /// isReadyToSwap() is false.
    bool beginSwap(WeightVersion version, int64_t order);

    /// True if this is the order of the newest swap and the engine runs its version.
    bool isCurrent(WeightVersion version, int64_t order) const;

    /// Ends the epoch, because the load order is about to be sent to the engine. Returns that order's fencing token,
    /// which is higher than all earlier ones and than that in the engine's status. Precondition: isSwapping().
    uint64_t startLoad();

    /// Ends the swap; the version stays unknown until the next status.
    void finishSwap() { isSwapping_ = false; }

    /// Processes the engine's status. Returns true if the epoch still lasts, which confirms the version of all tokens
    /// that were read in this epoch before the status was requested.
    bool onStatus(const EngineStatus&);

    /// Ends the epoch, because the engine does not answer.
    void onEngineLost() { endEpoch(); }

private:
    void endEpoch();

    WeightVersion version_ = unknownVersion;
    uint64_t epoch_ = 1;
    uint64_t fence_ = 0;
    bool isSwapping_ = false;
    int64_t newestOrder_ = -1;
    std::optional<EngineStatus> lastStatus_;
};

} // namespace endiveroad
