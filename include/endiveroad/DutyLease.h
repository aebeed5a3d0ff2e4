#pragma once

#include <cstdint>
#include <endiveroad/Time.h>

/// Decides when a process holds the duties towards the platform and may act on them. The lease itself is in the store;
/// a holder acts only while no other process can have acquired it.
namespace endiveroad {

/// The time on both clocks of a process. The monotonic clock does not count the time for which a VM is suspended, and
/// the wall clock may be set.
struct DutyTime {
    Instant instant;
    int64_t wallMs = 0;
};

class DutyLease {
public:
    /// Renewals in each lifetime of the lease.
    static constexpr int renewalsPerLifetime = 5;

    /// Part of the lifetime by which the holder considers the lease ended earlier than the store does.
    static constexpr int marginDivisor = 10;

    /// Attempts to acquire the lease follow at retryInterval, and after quickAttempts at slowRetryInterval: then
    /// another process holds it whose notices do not arrive here.
    static constexpr Duration retryInterval = std::chrono::milliseconds(200);
    static constexpr Duration slowRetryInterval = std::chrono::seconds(1);
    static constexpr int quickAttempts = 10;

    /// Takes the lifetime of the lease.
    DutyLease(Duration lifetime, Instant startedAt);

    /// Another process says that it holds the duties under this token.
    void onHolder(int64_t token, Instant now);

    /// True if the process should try to acquire the lease: it is the candidate, and has heard of no holder for a
    /// lifetime of the lease. Any other process waits one lifetime more, in case the candidate cannot acquire it.
    bool mayAcquire(bool isCandidate, Instant now) const;

    /// An attempt to acquire the lease begins.
    void onAttempt(Instant now);

    /// The lease was acquired. Takes the time before the lease was requested.
    void onAcquired(int64_t token, DutyTime requestedAt, Instant now);

    /// A renewal succeeded that was sent at this time.
    void onRenewed(DutyTime sentAt);

    /// The store no longer has the lease, or the process has ended it.
    void onLost(Instant now);

    /// The platform has seen a higher fencing token than this one.
    void onFenced(int64_t token, Instant now);

    /// The process has the lease as far as it knows. It may have ended meanwhile, see mayAct().
    bool isHeld() const { return token_ != 0; }

    /// Fencing token; 0 while the lease is not held.
    int64_t token() const { return token_; }

    bool isRenewalDue(Instant now) const { return isHeld() && now >= renewAt_; }

    /// Time for which no other process can acquire the lease; zero or less if one may have done so.
    Duration remaining(DutyTime) const;

    /// True if a call may be sent that ends within `callTime`. False for a lifetime after the lease was acquired, so
    /// that calls of an earlier holder have ended, and holders that take turns do not act in quick succession.
    bool mayAct(DutyTime, Duration callTime) const;

private:
    Duration lifetime_;
    int64_t token_ = 0;
    /// Time before the last successful renewal.
    DutyTime renewedAt_;
    Instant renewAt_ = never;
    Instant actFrom_ = never;
    /// Earliest time of the next attempt, as a holder may be there until then.
    Instant acquireFrom_;
    /// Attempts since a holder was last heard of.
    int attempts_ = 0;
    int64_t highestToken_ = 0;
};

} // namespace endiveroad
