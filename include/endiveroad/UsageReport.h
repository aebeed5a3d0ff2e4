#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Reports of usage by organisation, each of one window of wall time.
namespace endiveroad {

/// Number of requests by organisation.
using UsageCounts = std::map<std::string, int64_t>;

/// Usage of one window, to be reported once and never with other counts.
struct UsageReport {
    int64_t window = 0;
    /// Requests that backend servers began to run in the window.
    UsageCounts counts;

    auto operator<=>(const UsageReport&) const = default;
};

/// Window k covers the wall time from k to k + 1 window lengths after 1970.
int64_t usageWindowAt(int64_t wallMs, Duration length);
int64_t usageWindowStartMs(int64_t window, Duration length);

/// The reports that can no longer change and are not known to be carried out, and how far reports are fixed. Its text
/// form is stored before a report is sent, so that every later holder of the duty sends the same counts.
class PendingReports {
public:
    /// Nothing if no report has been fixed yet.
    std::optional<int64_t> lastWindow() const { return lastWindow_; }

    /// Oldest first.
    const std::vector<UsageReport>& reports() const { return reports_; }

    /// Adds the report of a window later than all before.
    void fix(UsageReport);

    /// Drops reports that the platform has carried out.
    void remove(const std::set<int64_t>& windows);

    std::string encode() const;

    /// Throws FrameInvalidError.
    static PendingReports decode(const std::string& text);

    auto operator<=>(const PendingReports&) const = default;

private:
    std::optional<int64_t> lastWindow_;
    std::vector<UsageReport> reports_;
};

} // namespace endiveroad
