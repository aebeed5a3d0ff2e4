#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Incremental parser for text/event-stream bodies (server-sent events).
namespace endiveroad {

struct StreamEvent {
    /// Empty if the event has no id or the id is not a number.
    std::optional<int64_t> id;
    /// The event's data lines, joined with line feeds.
    std::string data;
    /// Lines with other fields, unchanged.
    std::vector<std::string> otherLines;

    auto operator<=>(const StreamEvent&) const = default;
};

class EventStreamReader {
public:
    /// Longest event, with the lines that belong to no field.
    static constexpr size_t maxEventBytes = 1U << 20;

    /// Parses the next bytes of the body, any number of them, and returns the events that they complete.
    /// Throws AnswerBrokenError if an event is too long.
    std::vector<StreamEvent> feed(std::string_view piece);

    /// The same, with the events appended to `events`. Those before an event that is too long are appended as well.
    void feed(std::string_view piece, std::vector<StreamEvent>& events);

    /// True if the bytes so far end within an event.
    bool hasIncompleteEvent() const { return !line_.empty() || hasOpenEvent_; }

    /// Bytes up to the end of the last whole event, or of the last empty line.
    uint64_t wholeEventBytes() const { return wholeEventBytes_; }

    /// Bytes that were looked at. Each byte of the stream is looked at once.
    uint64_t inspectedBytes() const { return inspectedBytes_; }

private:
    void processLine(std::vector<StreamEvent>& events);

    std::string line_;
    uint64_t inspectedBytes_ = 0;
    uint64_t wholeEventBytes_ = 0;
    StreamEvent event_;
    /// Bytes of the event's whole lines.
    size_t eventBytes_ = 0;
    /// At least one whole line of event_ has been parsed.
    bool hasOpenEvent_ = false;
    /// At least one of the lines is a data line, so that the next one is joined with a line feed.
    bool hasData_ = false;
};

} // namespace endiveroad
