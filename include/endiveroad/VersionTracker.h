#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Sample.h>
#include <optional>
#include <string>

namespace endiveroad {

/// Which weight version the engine runs, as far as the engine itself has stated it. A stream opened under one epoch
/// yields attributable tokens only if the engine states after the last of them that it has loaded nothing since; any
/// other statement, a swap order and the loss of the engine begin a new epoch.
class VersionTracker {
public:
    /// What the engine states of itself. Invariant: within one boot, loads grows by one at the start of each load.
    struct EngineStatement {
        std::string boot;
        uint64_t loads = 0;
        bool isLoading = false;
        WeightVersion version = unknownVersion;
        uint64_t fence = 0;

        auto operator<=>(const EngineStatement&) const = default;
    };

    /// Version that streams opened now will run under; unknownVersion during a swap or doubt.
    WeightVersion version() const { return isSwapping_ ? unknownVersion : version_; }
    uint64_t epoch() const { return epoch_; }
    bool isSwapping() const { return isSwapping_; }

    /// True if the engine's last statement was of weights at rest. An order given to an engine that still loads would
    /// only be followed by the next, so orders wait for this.
    bool isSettled() const { return !isSwapping_ && last_.has_value(); }

    /// Announces a swap: no stream may be opened and none may read further tokens. The epoch still lasts, so that a
    /// statement asked for after this call proves the tokens read so far. Returns false, and changes nothing, if the
    /// order is older than one given before, if it is the newest and its version is in force, or if the engine is not
    /// settled.
    bool beginSwap(WeightVersion version, int64_t order);

    /// True if the version is in force by the newest order.
    bool isInForce(WeightVersion version, int64_t order) const;

    /// Ends the epoch, because the order is given now. Returns its fencing number. Precondition: isSwapping().
    uint64_t orderSwap();

    /// Ends a swap; the version stays unknown until the next statement.
    void finishSwap() { isSwapping_ = false; }

    /// Takes the engine's statement. Returns true if the epoch lasts, which proves all tokens that were read in this
    /// epoch before the statement was asked for.
    bool onStatement(const EngineStatement&);

    /// The engine does not answer: ends the epoch.
    void onEngineLost() { doubt(); }

private:
    void doubt();

    WeightVersion version_ = unknownVersion;
    uint64_t epoch_ = 1;
    uint64_t fence_ = 0;
    bool isSwapping_ = false;
    int64_t newestOrder_ = -1;
    std::optional<EngineStatement> last_;
};

} // namespace endiveroad
