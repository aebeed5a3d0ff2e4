#pragma once

#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <string>

/// Selects the processes that read the directory from the store and pass it on to all others, so that the number of
/// store calls stays small.
namespace endiveroad {

/// A coordinator reads unless a process with a lower name has recently reported a read; any other process reads only if
/// no process has reported a read recently. This needs no consensus: two readers at once only cost additional store
/// calls.
class ReaderElection {
public:
    /// How long after a reported read its reader counts as active. Longer than two read intervals of DirectorySync, so
    /// that a reader stays active although one of its reads is late or not reported.
    static constexpr Duration readLifetime = std::chrono::milliseconds(1300);

    /// Takes the coordinator's name, or nothing for any other process. Such a process does not read before firstReadAt,
    /// so that it can hear of a reader first.
    ReaderElection(std::optional<std::string> coordinator, Instant firstReadAt);

    bool isCoordinator() const { return coordinator_.has_value(); }

    /// Another process reported that it has just read the store.
    void onPeerRead(const std::string& reader, Instant now);

    /// This process has read the store. Does not affect shouldRead(), so that it goes on reading.
    void onOwnRead(Instant now);

    bool shouldRead(Instant now) const;

    /// True if this or another process has read the store within the last `readLifetime`.
    bool hasRecentRead(Instant now) const;

private:
    std::optional<std::string> coordinator_;
    Instant firstReadAt_;
    /// Expiry of the last read by this process.
    Instant ownReadExpiry_ = Instant::min();
    /// Expiry of the last read reported by each other process.
    std::map<std::string, Instant> peerReadExpiries_;
};

} // namespace endiveroad
