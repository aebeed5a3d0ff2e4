#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Time.h>
#include <map>
#include <set>
#include <string>
#include <vector>

/// Failed runs of items, whichever job and coordinator they ran for. The limit on them holds for an item, which may
/// change owners and come again in later jobs.
namespace endiveroad {

/// A run that a replica answered with status 500, or with 422: the item can never be done.
struct FailedRun {
    std::string item;
    /// Number of the run; no two runs of an item have the same.
    int64_t run = 0;
    bool isUnprocessable = false;

    auto operator<=>(const FailedRun&) const = default;
};

/// What a coordinator knows. Records of several coordinators merge by union, so that a report that comes twice counts
/// once.
class FailedRuns {
public:
    /// Time for which an item is remembered after its last failure.
    static constexpr Duration lifetime = std::chrono::minutes(10);

    /// Beyond this number of items, those that expire first are forgotten.
    static constexpr size_t maxItems = 4096;

    /// Runs counted for an item; more make no difference.
    static constexpr size_t maxRunsOfItem = 64;

    /// Returns whether the run was not known.
    bool add(const FailedRun&, Instant now);

    /// Number of runs of the item that were answered with 500.
    int32_t serverErrors(const std::string& item, Instant now) const;

    /// True if a run of the item was answered with 422.
    bool isUnprocessable(const std::string& item, Instant now) const;

    /// Ordered by item and run.
    std::vector<FailedRun> all(Instant now) const;

private:
    struct Record {
        std::set<int64_t> serverErrors;
        std::set<int64_t> unprocessable;
        Instant expiry = never;
    };

    const Record* find(const std::string& item, Instant now) const;

    /// By item id.
    std::map<std::string, Record> records_;
};

} // namespace endiveroad
