#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <endiveroad/Event.h>
#include <string>
#include <utility>
#include <vector>

/// The timeline: numbered events (EventCodes.def) with timestamps of a hybrid logical clock. Every process keeps its
/// latest events in a bounded ring buffer.
namespace endiveroad {

/// Timestamp of a hybrid logical clock: wall time in ms, and a counter that orders events with equal wall times.
struct HybridTimestamp {
    int64_t wallMs = 0;
    uint32_t counter = 0;

    auto operator<=>(const HybridTimestamp&) const = default;
};

/// Hybrid logical clock: each local event gets a later timestamp than all earlier local events and than all timestamps
/// accepted from other processes, also when the wall clock steps back.
class HybridClock {
public:
    /// Advances the clock for a local event and returns the timestamp of the event.
    HybridTimestamp tick(int64_t wallMs);

    /// The timestamp to send with a message: the latest one issued or accepted so far.
    HybridTimestamp last() const { return last_; }

    /// Accepts the timestamp of a received message, so that later local events get later timestamps. Returns false and
    /// ignores a timestamp that is more than maxAheadMs ahead of the local wall clock; otherwise one process with a
    /// wrong clock would push the clocks of all others ahead.
    bool observe(HybridTimestamp, int64_t wallMs);

    static constexpr int64_t maxAheadMs = 60'000;

private:
    HybridTimestamp last_;
};

/// One event of one process. Fields hold ids and counts, never message bodies or secret keys.
struct TimelineEntry {
    HybridTimestamp timestamp;
    std::string node;
    Event event = Event::ProcessStarted;
    std::vector<std::pair<std::string, std::string>> fields;

    auto operator<=>(const TimelineEntry&) const = default;
};

/// Selects events of a process.
struct TimelineQuery {
    static constexpr uint64_t defaultLimit = 2000;

    /// Only events at or after this wall time, in ms since 1970.
    int64_t sinceWallMs = 0;
    /// Only events of this job; empty for all.
    std::string job;
    /// Only events of this request; empty for all. The id of a sample selects all of its attempts, whose ids start with
    /// the sample's id and a slash.
    std::string request;
    /// Maximum number of events that one process returns.
    uint64_t limit = defaultLimit;

    auto operator<=>(const TimelineQuery&) const = default;

    bool isWanted(const TimelineEntry&) const;
};

/// Merges the events of several processes, ordered by timestamp and then by process name. Events of one process with
/// equal timestamps keep their order.
std::vector<TimelineEntry> mergeTimelines(std::vector<std::vector<TimelineEntry>>);

/// Ring buffer of the latest events. When it is full, a new event replaces the oldest one.
class EventRing {
public:
    explicit EventRing(size_t capacity);

    void add(TimelineEntry);

    /// Returns the entries that match the query, oldest first. If there are more than its limit, returns the latest.
    std::vector<TimelineEntry> find(const TimelineQuery&) const;

private:
    size_t capacity_;
    std::deque<TimelineEntry> entries_;
};

} // namespace endiveroad
