#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <endiveroad/Event.h>
#include <string>
#include <utility>
#include <vector>

/// The time line: numbered events stamped by a hybrid logical clock, kept in a bounded ring in every process.
namespace endiveroad {

/// Stamp of a hybrid logical clock: wall time in ms, then a counter that orders events within it.
struct HybridStamp {
    int64_t wallMs = 0;
    uint32_t counter = 0;

    auto operator<=>(const HybridStamp&) const = default;
};

/// Hybrid logical clock: stamps never go back, and follow every stamp seen from another process.
class HybridClock {
public:
    /// Stamp of a local event.
    HybridStamp tick(int64_t wallMs);

    /// Stamp that goes with a message: at or after every event so far.
    HybridStamp last() const { return last_; }

    /// Takes over a stamp that came with a message, so that later events here are ordered after it. Returns false and
    /// leaves it out if it is further ahead of the local wall clock than maxAheadMs, since one wrong clock would
    /// otherwise set all others wrong.
    bool observe(HybridStamp, int64_t wallMs);

    static constexpr int64_t maxAheadMs = 60'000;

private:
    HybridStamp last_;
};

/// One event of one process. Fields hold ids and counts, never bodies or keys.
struct TimelineEntry {
    HybridStamp stamp;
    std::string node;
    Event event = Event::ProcessStarted;
    std::vector<std::pair<std::string, std::string>> fields;

    auto operator<=>(const TimelineEntry&) const = default;
};

/// Which events of a process are wanted.
struct TimelineQuery {
    static constexpr uint64_t defaultLimit = 2000;

    /// Only events from this wall time on, in ms.
    int64_t sinceWallMs = 0;
    /// Only events of this job; empty for all.
    std::string job;
    /// Only events of this request, or of the sample whose attempts' ids begin with it; empty for all.
    std::string request;
    /// Most events that one process answers with.
    uint64_t limit = defaultLimit;

    auto operator<=>(const TimelineQuery&) const = default;

    bool isWanted(const TimelineEntry&) const;
};

/// One order over the events of several processes: by stamp, then by process. Each process's own order is kept.
std::vector<TimelineEntry> mergeTimelines(std::vector<std::vector<TimelineEntry>>);

/// Ring of the latest events; the oldest is dropped when full.
class EventRing {
public:
    explicit EventRing(size_t capacity);

    void add(TimelineEntry);

    /// Entries that the query wants, oldest first; the latest ones if there are more than its limit.
    std::vector<TimelineEntry> find(const TimelineQuery&) const;

private:
    size_t capacity_;
    std::deque<TimelineEntry> entries_;
};

} // namespace endiveroad
