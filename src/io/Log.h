#pragma once

#include <endiveroad/Event.h>
#include <endiveroad/Time.h>
#include <endiveroad/Timeline.h>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Structured log, and the process's ring buffer of events for the `timeline` command. JSON lines go to standard
/// output, text lines to standard error.
namespace endiveroad::io {

enum class LogFormat { Text, Json };

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// One per process. Not thread-safe: a process has a single I/O thread.
class Log {
public:
    static constexpr size_t ringCapacity = 20000;

    static Log& instance();

    /// Most lines of one event that are written per second. Further ones are omitted; the next line of the event
    /// after that second is preceded by a LinesOmitted line with their number, which no limit applies to.
    static constexpr uint32_t maxLinesPerSecond = 150;

    /// Most lines of all events together that are written per second. With the cost of a line (benchmark_Logging) this
    /// bounds the CPU time spent on logging.
    static constexpr uint32_t maxTotalLinesPerSecond = 1500;

    void configure(LogFormat, LogLevel minLevel, std::string node);

    /// Makes standard output non-blocking: if its reader is too slow, lines are dropped and counted instead of blocking
    /// the process. Has no effect on text lines, which go to standard error.
    void setNonBlocking();

    /// Records an event in the ring buffer, and writes a line if its level is at least the configured one and the
    /// limits on lines per second permit it.
    void write(Event, LogFields);

    const EventRing& ring() const { return ring_; }
    HybridClock& clock() { return clock_; }
    const std::string& node() const { return node_; }

private:
    struct Budget {
        Instant windowEnd = Instant::min();
        uint32_t lines = 0;
        uint32_t omitted = 0;

        /// Starts a new window if the current one has ended. Returns the number of lines omitted in the ended window.
        uint32_t renew(Instant now);
    };

    void print(const TimelineEntry&);
    void printOmission(std::string of, uint64_t lines);
    void writeLine(const std::string&);
    /// Writes the rest of a partly written line. Returns false if standard output does not accept all of it.
    bool writeRest();
    /// Counts a line of the event. Returns false if it exceeds a limit and is to be omitted.
    bool isWithinBudget(Event);

    LogFormat format_ = LogFormat::Text;
    LogLevel minLevel_ = LogLevel::Info;
    std::string node_;
    HybridClock clock_;
    std::map<Event, Budget> budgets_;
    Budget totalBudget_;
    /// The unwritten rest of a partly written line, which must be written before the next line starts.
    std::string unwrittenRest_;
    uint64_t droppedLines_ = 0;
    EventRing ring_ { ringCapacity };
};

/// Shorthand for Log::instance().write().
void log(Event, LogFields fields = {});

/// Formats an entry as a line of JSON, as printed by `timeline --json` and in JSON logs.
std::string toJsonLine(const TimelineEntry&);

/// Parses the output of toJsonLine(). Throws FrameInvalidError.
TimelineEntry fromJsonLine(std::string_view);

/// Formats an entry as a line of plain text.
std::string toTextLine(const TimelineEntry&);

} // namespace endiveroad::io
