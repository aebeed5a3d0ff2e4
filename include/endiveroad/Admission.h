#pragma once

#include <cstdint>
#include <endiveroad/Time.h>
#include <string>
#include <unordered_map>

namespace endiveroad {

/// Why an agent does not begin a request.
enum class Refusal {
    None,
    Full,
    Draining,
    ServerDown,
    RefusedBefore,
    /// A copy of a request that was admitted: it says nothing about whether the first runs.
    AdmittedBefore,
    DeadlinePassed,
    VersionUnsuitable,
};

/// Admission of work to the backend server. Request ids are remembered, so that a copy of a request neither runs after
/// its refusal was told nor runs a second time.
class Admission {
public:
    /// Longest time that a copy of a request may be under way.
    static constexpr Duration idRetention = std::chrono::minutes(2);

    Admission(int32_t slots, int32_t reservedSlots);

    void setSlots(int32_t slots, int32_t reservedSlots);
    void setDraining(bool isDraining) { isDraining_ = isDraining; }
    void setServerUp(bool isUp) { isServerUp_ = isUp; }

    /// Admits the request or refuses it for good. Interactive requests may use the reserved slots.
    Refusal admit(const std::string& requestId, bool isInteractive, Instant deadline, Instant now);

    /// Refuses an id without asking for a slot.
    void refuse(const std::string& requestId, Instant now);

    void finish() { --running_; }

    int32_t running() const { return running_; }
    int32_t freeSlots() const;
    bool isDraining() const { return isDraining_; }
    bool isServerUp() const { return isServerUp_; }

private:
    void forgetOld(Instant now);

    int32_t slots_;
    int32_t reservedSlots_;
    int32_t running_ = 0;
    bool isDraining_ = false;
    bool isServerUp_ = false;
    struct Seen {
        Instant expiry;
        bool isAdmitted = false;
    };

    std::unordered_map<std::string, Seen> seen_;
    Instant nextSweep_ = Instant::min();
};

} // namespace endiveroad
