#pragma once

#include <endiveroad/EventStream.h>
#include <optional>
#include <string>

/// Bytes of an event stream that are passed on event by event.
namespace endiveroad {

/// Whole events of a stream, as they came.
struct WholeEvents {
    /// Also empty lines and comments between the events.
    std::string bytes;
    /// Number of events with an id or data.
    size_t count = 0;
    /// Of the last event that has an id.
    std::optional<int64_t> lastId;

    auto operator<=>(const WholeEvents&) const = default;
};

/// Holds the bytes of a stream until the events that they belong to are whole. Each byte is looked at once, so that a
/// server whose event never ends costs no more than one whose events do.
class EventStreamBuffer {
public:
    /// Throws AnswerBrokenError if an event is too long (EventStreamReader::maxEventBytes). The whole events before it
    /// can still be taken.
    void append(std::string_view piece);

    /// Removes the whole events and returns them; their bytes are empty if there is none.
    WholeEvents takeWhole();

    /// Bytes that are held.
    size_t size() const { return bytes_.size(); }
    bool isEmpty() const { return bytes_.empty(); }

    /// Bytes that were looked at since the start of the stream.
    uint64_t inspectedBytes() const { return reader_.inspectedBytes(); }

private:
    void addWhole(const std::vector<StreamEvent>&);

    EventStreamReader reader_;
    std::string bytes_;
    /// Bytes that were taken since the start of the stream.
    uint64_t takenBytes_ = 0;
    /// Of the whole events that are held.
    size_t count_ = 0;
    std::optional<int64_t> lastId_;
};

} // namespace endiveroad
