#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Sample.h>
#include <optional>
#include <string>

namespace endiveroad {

/// Which weight version the engine runs, as far as the engine itself has stated it. A stream opened under one epoch
/// yields attributable tokens only while that epoch lasts; ordering a swap, losing the engine or seeing that it loaded
/// weights by itself begins a new epoch.
class VersionTracker {
public:
    /// What the engine states of itself.
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

    /// Begins a swap: until finishSwap() no version is known. Returns the fencing number of the order.
    uint64_t beginSwap();

    /// Ends a swap; the version stays unknown until the next statement.
    void finishSwap();

    /// Takes the engine's statement, asked for after the call began. Returns true if the epoch changed.
    bool onStatement(const EngineStatement&);

    /// The engine does not answer.
    void onEngineLost();

private:
    void doubt();

    WeightVersion version_ = unknownVersion;
    uint64_t epoch_ = 1;
    uint64_t fence_ = 0;
    bool isSwapping_ = false;
    std::optional<EngineStatement> last_;
};

} // namespace endiveroad
