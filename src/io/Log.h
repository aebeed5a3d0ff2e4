#pragma once

#include <endiveroad/Event.h>
#include <endiveroad/Time.h>
#include <endiveroad/Timeline.h>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Structured logs, and the process's ring of events for the time line. JSON lines go to standard output, lines for
/// people to standard error.
namespace endiveroad::io {

enum class LogFormat { Text, Json };

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// One per process. Not thread-safe: a process has a single I/O thread.
class Log {
public:
    static constexpr size_t ringCapacity = 20000;

    static Log& instance();

    /// Lines of one event that are written in a second; further ones are counted and named by LinesOmitted.
    static constexpr uint32_t maxLinesPerSecond = 150;

    void configure(LogFormat, LogLevel lowest, std::string node);

    /// Makes standard output drop lines that its reader is too slow for, in place of holding the process up.
    void neverBlock();

    /// Records an event in the ring and writes it out if its level is not below the lowest.
    void write(Event, LogFields);

    const EventRing& ring() const { return ring_; }
    HybridClock& clock() { return clock_; }
    const std::string& node() const { return node_; }

private:
    struct Budget {
        Instant windowEnd = Instant::min();
        uint32_t lines = 0;
        uint32_t omitted = 0;
    };

    void print(const TimelineEntry&);
    void writeLine(const std::string&);
    /// Counts a line of the event. False if it is one too many.
    bool isWithinBudget(Event);

    LogFormat format_ = LogFormat::Text;
    LogLevel lowest_ = LogLevel::Info;
    std::string node_;
    HybridClock clock_;
    std::map<Event, Budget> budgets_;
    uint64_t unread_ = 0;
    EventRing ring_ { ringCapacity };
};

/// Shorthand for Log::instance().write().
void log(Event, LogFields fields = {});

/// One entry as a line of JSON, as `timeline --json` and JSON logs print it.
std::string toJsonLine(const TimelineEntry&);

/// Reads toJsonLine(). Throws FrameInvalidError.
TimelineEntry fromJsonLine(std::string_view);

/// One entry as a line for people.
std::string toTextLine(const TimelineEntry&);

} // namespace endiveroad::io
