#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <endiveroad/Time.h>
#include <endiveroad/UsageReport.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>

/// Usage of organisations as entries count it, and as coordinators add up what entries have counted.
namespace endiveroad {

/// Cumulative counts by window.
using UsageWindows = std::map<int64_t, UsageCounts>;

/// Estimates when a server began a call, of which only the sending and the answer are seen. Servers work on requests in
/// the order in which they come, so a call waits first and runs last: it began one running time before its answer. The
/// running time is taken to be the shortest time that a recent call of the route took.
class StartEstimate {
public:
    static constexpr Duration period = std::chrono::seconds(10);

    /// Returns an instant between the two.
    Instant startOf(const std::string& route, Instant sentAt, Instant answeredAt);

private:
    struct Shortest {
        Duration current = Duration::max();
        Duration previous = Duration::max();
        Instant periodEnd = Instant::min();
    };

    std::map<std::string, Shortest> shortest_;
};

/// Late: the report of the request's window no longer changes, so it is not counted.
enum class CountOutcome { Counted, Repeated, Late };

/// Counts requests at an entry, each of them once.
class UsageCounter {
public:
    /// Requests that are remembered; a repetition that comes later is counted again.
    static constexpr size_t maxRequests = 16384;

    /// Windows that are kept until it is known that their reports are fixed; older ones are dropped.
    static constexpr size_t maxWindows = 720;

    /// Takes the length of a window.
    explicit UsageCounter(Duration length);

    /// Counts a request that a server began to run at a wall time.
    CountOutcome count(const std::string& organisation, const std::string& request, int64_t beganMs);

    /// The reports of all windows up to this one no longer change.
    void confirm(int64_t window);

    /// All windows are to be sent again.
    void markAllChanged();

    /// Windows whose counts have changed since the last call.
    UsageWindows takeChanged();

    const UsageWindows& windows() const { return windows_; }

private:
    bool isRepetition(const std::string& organisation, const std::string& request);

    Duration length_;
    UsageWindows windows_;
    std::set<int64_t> changed_;
    std::optional<int64_t> confirmed_;
    /// Hashes of the requests, and their order.
    std::unordered_set<uint64_t> known_;
    std::deque<uint64_t> order_;
};

/// What entries have counted, as a coordinator knows it.
class UsageLedger {
public:
    /// Windows that are kept after their reports were fixed, to tell how many requests came too late for them.
    static constexpr int64_t keptFixedWindows = 12;

    /// Windows that are kept while no report is fixed; older ones are dropped.
    static constexpr size_t maxWindows = 720;

    /// Name and incarnation of an entry.
    using Source = std::pair<std::string, int64_t>;

    /// Takes cumulative counts of an entry. Notices may arrive in any order: counts only grow. Returns the number of
    /// requests that are new to this ledger and too late for their report.
    int64_t add(const Source&, int64_t window, const UsageCounts&);

    /// The reports of all windows up to this one no longer change.
    void fixThrough(int64_t window);

    /// Counts of a window over all entries.
    UsageCounts sum(int64_t window) const;

    /// First window with counts whose report is not fixed.
    std::optional<int64_t> firstOpenWindow() const;

    /// Counts of the windows whose reports are not fixed, by entry.
    std::map<Source, UsageWindows> openWindows() const;

private:
    bool isFixed(int64_t window) const { return fixedThrough_ && window <= *fixedThrough_; }

    std::map<int64_t, std::map<Source, UsageCounts>> windows_;
    std::optional<int64_t> fixedThrough_;
};

} // namespace endiveroad
