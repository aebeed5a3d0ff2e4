#include <catch2/catch.hpp>
#include <endiveroad/DutyLease.h>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Duration lifetime = 3s;

/// A time at which both clocks of the process agree.
DutyTime at(Duration elapsed)
{
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
    return { Instant(elapsed), 1'000'000 + wall.count() };
}

/// Requested at 10 s, acquired at 10.1 s.
DutyLease heldLease()
{
    DutyLease lease(lifetime, Instant(0s));
    lease.onAcquired(7, at(10s), Instant(10100ms));
    return lease;
}

} // namespace

TEST_CASE("the duties are acquired by the candidate after a lifetime without a holder", "[duties]")
{
    DutyLease lease(lifetime, Instant(0s));
    CHECK_FALSE(lease.mayAcquire(true, Instant(2999ms)));
    CHECK(lease.mayAcquire(true, Instant(3s)));
    lease.onHolder(5, Instant(4s));
    CHECK_FALSE(lease.mayAcquire(true, Instant(6999ms)));
    CHECK(lease.mayAcquire(true, Instant(7s)));
    // In case that the candidate cannot.
    CHECK_FALSE(lease.mayAcquire(false, Instant(9999ms)));
    CHECK(lease.mayAcquire(false, Instant(10s)));
}

// Guards against a call of the store for each step of a process that hears nothing of the present holder.
TEST_CASE("attempts to acquire the duties become rare while another process holds them", "[duties]")
{
    DutyLease lease(lifetime, Instant(0s));
    Instant now(3s);
    int attempts = 0;
    for (; now < Instant(33s); now += 10ms) {
        if (!lease.mayAcquire(true, now))
            continue;
        lease.onAttempt(now);
        ++attempts;
    }
    CHECK(attempts <= 40);
    CHECK(attempts >= 30);
}

TEST_CASE("a new holder acts only a lifetime after it acquired the duties", "[duties]")
{
    DutyLease lease = heldLease();
    CHECK(lease.token() == 7);
    lease.onRenewed(at(13s));
    CHECK_FALSE(lease.mayAct(at(13099ms), 1s));
    CHECK(lease.mayAct(at(13100ms), 1s));
}

TEST_CASE("a lease counts from the sending of its renewal, less a margin", "[duties]")
{
    DutyLease lease = heldLease();
    CHECK(lease.isRenewalDue(Instant(10600ms)));
    CHECK_FALSE(lease.isRenewalDue(Instant(10599ms)));
    lease.onRenewed(at(14s));
    CHECK(lease.remaining(at(14s)) == 2700ms);
    CHECK(lease.mayAct(at(15s), 1699ms));
    // A call that may end after the lease must not begin.
    CHECK_FALSE(lease.mayAct(at(15s), 1700ms));
    CHECK(lease.remaining(at(17s)) <= 0s);
}

// Guards against a holder that believes in its lease after its VM was suspended, which its monotonic clock hides.
TEST_CASE("time for which a VM was suspended counts against the lease", "[duties]")
{
    DutyLease lease = heldLease();
    lease.onRenewed(at(14s));
    DutyTime resumed = at(14100ms);
    resumed.wallMs += 5000;
    CHECK_FALSE(lease.mayAct(resumed, 0s));
    // A wall clock that was set back hides nothing, since the monotonic one goes on.
    DutyTime setBack = at(17s);
    setBack.wallMs -= 60'000;
    CHECK_FALSE(lease.mayAct(setBack, 0s));
}

// Guards against further calls under a token that the platform has rejected.
TEST_CASE("a holder that was fenced stops at once and waits before it tries again", "[duties]")
{
    DutyLease lease = heldLease();
    lease.onRenewed(at(14s));
    lease.onFenced(6, Instant(14s));
    CHECK(lease.isHeld());
    lease.onFenced(7, Instant(14s));
    CHECK_FALSE(lease.isHeld());
    CHECK_FALSE(lease.mayAct(at(14s), 0s));
    CHECK_FALSE(lease.mayAcquire(true, Instant(16999ms)));
    CHECK(lease.mayAcquire(true, Instant(17s)));
}

TEST_CASE("a holder yields to one with a higher token only", "[duties]")
{
    DutyLease lease = heldLease();
    lease.onHolder(6, Instant(11s));
    CHECK(lease.isHeld());
    lease.onHolder(8, Instant(11s));
    CHECK_FALSE(lease.isHeld());
    CHECK(lease.token() == 0);
}

TEST_CASE("a lost lease may be acquired again under another token", "[duties]")
{
    DutyLease lease = heldLease();
    lease.onLost(Instant(11s));
    CHECK_FALSE(lease.mayAct(at(14s), 0s));
    CHECK(lease.mayAcquire(true, Instant(11200ms)));
    lease.onAcquired(9, at(12s), Instant(12s));
    lease.onRenewed(at(14s));
    CHECK_FALSE(lease.mayAct(at(14999ms), 0s));
    CHECK(lease.mayAct(at(15s), 0s));
}
