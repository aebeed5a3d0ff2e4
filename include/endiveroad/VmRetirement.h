#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <endiveroad/Time.h>
#include <optional>
#include <string>
#include <vector>

/// Decides when a coordinator whose VM the operator retires may go. The platform removes a VM as soon as it is reported
/// as completed, so a coordinator hands its work over first, and one that has no successor stays.
namespace endiveroad {

/// What one coordinator knows of another that could take its work over.
struct SuccessorState {
    std::string name;
    /// Its own VM is being retired as well.
    bool isRetiring = false;
    /// It works, and can do so without the coordinator that goes.
    bool isReady = false;

    auto operator<=>(const SuccessorState&) const = default;
};

/// What the coordinator has to do next.
enum class RetirementAction {
    None,
    /// Tell the others that this coordinator is leaving, so that they take its jobs over.
    AnnounceLeaving,
    /// Tell the others that it goes on working.
    AnnounceReturn,
    /// Report the VM as completed, on condition that the successor is still registered.
    Report,
};

class VmRetirement {
public:
    /// Time for a successor to take the open jobs over. Those that are left then are found in the store once this
    /// coordinator is gone.
    static constexpr Duration handoverTime = std::chrono::milliseconds(2500);

    /// Takes the coordinator's name.
    explicit VmRetirement(std::string name);

    /// Revision of the operator's request to retire this VM, or nothing if there is none. A request that was completed
    /// under an earlier process counts as none.
    void onRequest(std::optional<int64_t> revision);

    /// The store has the report that completes the present request.
    void onReported();

    /// Takes the other coordinators that this one is connected to, and the number of open jobs that it owns.
    RetirementAction next(const std::vector<SuccessorState>& others, size_t openJobs, Instant now);

    bool isRequested() const { return request_.has_value(); }

    /// From the announcement on, other coordinators do this one's work.
    bool isLeaving() const { return phase_ != Phase::Staying; }

    bool isReported() const { return phase_ == Phase::Reported; }

    /// True while the VM has to stay because no other coordinator can do its work.
    bool isHeld() const { return isRequested() && phase_ == Phase::Staying; }

    /// The coordinator that takes the work over; empty while there is none.
    const std::string& successor() const { return successor_; }

private:
    enum class Phase { Staying, HandingOver, Reported };

    /// The coordinator to count on; empty if there is none. Of two that retire only the one whose name sorts first may
    /// count on the other, so that they never go together.
    std::string chooseSuccessor(const std::vector<SuccessorState>& others) const;

    RetirementAction stay();

    std::string name_;
    std::optional<int64_t> request_;
    Phase phase_ = Phase::Staying;
    std::string successor_;
    Instant handoverEnd_ = Instant::min();
};

} // namespace endiveroad
