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

    /// Lines of all events together that are written in a second. With the cost of a line (benchmark_Logging) it bounds
    /// the processor time that logs take.
    static constexpr uint32_t maxLinesOfAllPerSecond = 1500;

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

        /// Begins a new window if the present one is over. Returns the lines that were omitted in the one before.
        uint32_t renew(Instant now);
    };

    void print(const TimelineEntry&);
    void printOmission(std::string of, uint64_t lines);
    void writeLine(const std::string&);
    /// Writes what is left of a line that has been begun. False if standard output does not take it all.
    bool finishLine();
    /// Counts a line of the event. False if it is one too many.
    bool isWithinBudget(Event);

    LogFormat format_ = LogFormat::Text;
    LogLevel lowest_ = LogLevel::Info;
    std::string node_;
    HybridClock clock_;
    std::map<Event, Budget> budgets_;
    Budget budgetOfAll_;
    /// End of a line of which a part has been written: the next line must not begin in its middle.
    std::string begun_;
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
