#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Time.h>
#include <string>

/// Trials: requests that find out whether a content crashes backend servers.
namespace endiveroad {

/// The last trial of a content, as processes tell each other of it. A process announces a trial before it sends it, so
/// that only one of several processes sends theirs and other requests leave the server.
struct CrashTrial {
    enum class Phase { Announced, Sent, Ended };

    /// Number among the trials of the content; 0 if there has been none.
    int64_t round = 0;
    Phase phase = Phase::Ended;
    /// Drawn by the process that announces it. Of several that announce the same round, the lowest ticket goes.
    uint64_t ticket = 0;
    /// Id of the server that it is for.
    std::string server;
    /// Announced: when it is due. Sent: when it was sent.
    Instant sendAt = Instant::min();
    /// Counts as ended from then on, whatever its phase.
    Instant until = Instant::min();

    auto operator<=>(const CrashTrial&) const = default;

    bool isUnderWay(Instant now) const { return phase != Phase::Ended && until > now; }

    /// True if a process that knows both keeps this one. Any two that differ in round, ticket or phase are ordered, so
    /// processes agree whatever the order of the news.
    bool supersedes(const CrashTrial&) const;

    /// True if this trial has a server for itself and the other one, of another content, has to wait or move.
    bool precedes(const CrashTrial&) const;
};

/// An end of a server under a trial.
struct FailedTrial {
    /// Name of the server start; numbered if a server ended again before its new start was known.
    std::string serverStart;
    /// Sent later than CrashRegister::freeTrialTime after the content reached the threshold.
    bool isLate = false;

    auto operator<=>(const FailedTrial&) const = default;
};

} // namespace endiveroad
