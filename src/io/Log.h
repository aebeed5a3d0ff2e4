#pragma once

#include <endiveroad/Event.h>
#include <endiveroad/Timeline.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Structured logs to standard error, and the process's ring of events for the time line.
namespace endiveroad::io {

enum class LogFormat { Text, Json };

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// One per process. Not thread-safe: a process has a single I/O thread.
class Log {
public:
    static constexpr size_t ringCapacity = 20000;

    static Log& instance();

    void configure(LogFormat, LogLevel lowest, std::string node);

    /// Records an event in the ring and writes it out if its level is not below the lowest.
    void write(Event, LogFields);

    const EventRing& ring() const { return ring_; }
    HybridClock& clock() { return clock_; }
    const std::string& node() const { return node_; }

private:
    LogFormat format_ = LogFormat::Text;
    LogLevel lowest_ = LogLevel::Info;
    std::string node_;
    HybridClock clock_;
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
