#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

/// What a process that owns no jobs has heard of their owners. News of several coordinators arrive in any order; the
/// revision of the record that names the owner tells which is the newest.
namespace endiveroad {

class JobOwners {
public:
    /// Maximum number of jobs; when it is reached, the next update clears all.
    static constexpr size_t maxJobs = 4096;

    /// A coordinator owns the job by a record with this revision. Older news than the known one change nothing.
    void update(const std::string& job, const std::string& owner, int64_t revision);

    /// Name of the owner; empty if it is not known.
    const std::string& owner(const std::string& job) const;

    bool contains(const std::string& job) const { return owners_.contains(job); }

    /// The owner does not answer; it is not named again before the next news that are as new.
    void forgetOwner(const std::string& job);

private:
    struct Owner {
        std::string name;
        int64_t revision = 0;

        auto operator<=>(const Owner&) const = default;
    };

    std::unordered_map<std::string, Owner> owners_;
};

} // namespace endiveroad
