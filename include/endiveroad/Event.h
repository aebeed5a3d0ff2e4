#pragma once

#include <string_view>

/// Numbered events. Each log line is one, and so is each line of the timeline over all processes (EventCodes.def,
/// docs/EVENTS.md).
namespace endiveroad {

enum class LogLevel { Debug, Info, Warning, Error };

/// All events; the value is the event's number.
enum class Event {
#define EVENT(type, number, level, meaning) type = number,
#include <endiveroad/EventCodes.def>
#undef EVENT
};

/// Name of an event as written in logs.
std::string_view eventName(Event) noexcept;

/// Level at which an event is logged.
LogLevel eventLevel(Event) noexcept;

/// One-sentence meaning, as in docs/EVENTS.md.
std::string_view eventMeaning(Event) noexcept;

/// Lower-case name of a level.
std::string_view levelName(LogLevel) noexcept;

} // namespace endiveroad
