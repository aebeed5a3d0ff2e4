#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Reader for text/event-stream bodies that arrive in pieces of any size.
namespace endiveroad {

struct StreamEvent {
    /// Nothing if the event has no id that is a number.
    std::optional<int64_t> id;
    /// Data lines, separated by line feeds.
    std::string data;
    /// Lines with other fields, as they came.
    std::vector<std::string> otherLines;

    auto operator<=>(const StreamEvent&) const = default;
};

class EventStreamReader {
public:
    /// Takes a piece and returns the events that it completes.
    std::vector<StreamEvent> feed(std::string_view piece);

    /// True if bytes of an event have come whose end has not.
    bool isInsideEvent() const { return !line_.empty() || isStarted_; }

private:
    void takeLine(std::vector<StreamEvent>& events);

    std::string line_;
    StreamEvent event_;
    bool isStarted_ = false;
    bool hasData_ = false;
};

} // namespace endiveroad
