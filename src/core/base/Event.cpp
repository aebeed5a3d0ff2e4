#include <endiveroad/Event.h>

namespace endiveroad {

std::string_view eventName(Event event) noexcept
{
    switch (event) {
#define EVENT(type, number, level, meaning)                                                                            \
    case Event::type:                                                                                                  \
        return #type;
#include <endiveroad/EventCodes.def>
#undef EVENT
    }
    return "Unknown";
}

LogLevel eventLevel(Event event) noexcept
{
    switch (event) {
#define EVENT(type, number, level, meaning)                                                                            \
    case Event::type:                                                                                                  \
        return LogLevel::level;
#include <endiveroad/EventCodes.def>
#undef EVENT
    }
    return LogLevel::Error;
}

std::string_view eventMeaning(Event event) noexcept
{
    switch (event) {
#define EVENT(type, number, level, meaning)                                                                            \
    case Event::type:                                                                                                  \
        return meaning;
#include <endiveroad/EventCodes.def>
#undef EVENT
    }
    return "";
}

std::string_view levelName(LogLevel level) noexcept
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

} // namespace endiveroad
