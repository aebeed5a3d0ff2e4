#pragma once

#include <cstdint>
#include <endiveroad/Time.h>
#include <string>
#include <unordered_map>

namespace endiveroad {

/// Why an agent refuses a request.
enum class Refusal {
    None,
    /// All slots that the request may use are taken, or the OutcomeTable has no memory for the key of the call.
    Full,
    Draining,
    ServerDown,
    /// The id, or the idempotency key of the call, was refused earlier and is still remembered (Admission::idRetention,
    /// OutcomeTable::refusedKeyBlockTime).
    AlreadyRefused,
    /// Admission: the id was admitted earlier. CallAdmission: the id arrived earlier or is too old to tell. Says
    /// nothing about whether the first copy runs.
    AlreadyAdmitted,
    DeadlinePassed,
    /// The backend server serves no weight version that the request accepts.
    VersionUnsuitable,
};

/// Limits how many requests an agent runs on its backend server at a time. Remembers each request id for idRetention,
/// so that a duplicate that arrives late neither runs after the sender was told of a refusal nor runs a second time.
class Admission {
public:
    /// Shortest time for which an id is remembered. Must exceed the longest time that a duplicate of a request may be
    /// in transit, since an id that is no longer remembered counts as new.
    static constexpr Duration idRetention = std::chrono::minutes(2);

    Admission(int32_t slots, int32_t reservedSlots);

    void setSlots(int32_t slots, int32_t reservedSlots);
    void setDraining(bool isDraining) { isDraining_ = isDraining; }
    void setServerUp(bool isUp) { isServerUp_ = isUp; }

    /// Takes a slot for the request, or refuses its id for idRetention. Only interactive requests (calls, as opposed to
    /// rollouts) may use the reserved slots.
    Refusal admit(const std::string& requestId, bool isInteractive, Instant deadline, Instant now);

    /// Refuses an id unless it was seen before. Needs no slot.
    void refuse(const std::string& requestId, Instant now);

    /// Gives back the slot of an admitted request.
    void finish() { --running_; }

    int32_t running() const { return running_; }
    /// Includes the reserved slots.
    int32_t freeSlots() const;
    bool isDraining() const { return isDraining_; }
    bool isServerUp() const { return isServerUp_; }

private:
    void removeExpired(Instant now);

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
