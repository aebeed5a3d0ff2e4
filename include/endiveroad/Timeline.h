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

    /// Takes over a stamp that came with a message.
    void observe(HybridStamp);

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

/// Ring of the latest events; the oldest is dropped when full.
class EventRing {
public:
    explicit EventRing(size_t capacity);

    void add(TimelineEntry);

    /// Entries with a stamp at or after the given wall time, oldest first.
    std::vector<TimelineEntry> since(int64_t wallMs) const;

private:
    size_t capacity_;
    std::deque<TimelineEntry> entries_;
};

} // namespace endiveroad
