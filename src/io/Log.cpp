#include "io/Log.h"

#include "io/Clock.h"
#include "io/ProcessMetrics.h"

#include <cstdio>
#include <ctime>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endiveroad::io {

namespace {

std::string utcTime(int64_t wallMs)
{
    const std::time_t seconds = wallMs / 1000;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", parts.tm_year + 1900, parts.tm_mon + 1,
        parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec, wallMs % 1000);
}

} // namespace

Log& Log::instance()
{
    static Log log;
    return log;
}

void Log::configure(LogFormat format, LogLevel lowest, std::string node)
{
    format_ = format;
    lowest_ = lowest;
    node_ = std::move(node);
}

void Log::write(Event event, LogFields fields)
{
    processMetrics().count(event);
    TimelineEntry entry { clock_.tick(wallMs()), node_, event, std::move(fields) };
    if (eventLevel(event) >= lowest_) {
        const std::string line = format_ == LogFormat::Json ? toJsonLine(entry) : toTextLine(entry);
        fmt::print(stderr, "{}\n", line);
    }
    ring_.add(std::move(entry));
}

void log(Event event, LogFields fields)
{
    Log::instance().write(event, std::move(fields));
}

std::string toJsonLine(const TimelineEntry& entry)
{
    nlohmann::ordered_json line;
    line["time"] = utcTime(entry.stamp.wallMs);
    line["wallMs"] = entry.stamp.wallMs;
    line["counter"] = entry.stamp.counter;
    line["node"] = entry.node;
    line["level"] = levelName(eventLevel(entry.event));
    line["event"] = static_cast<int>(entry.event);
    line["name"] = eventName(entry.event);
    for (const auto& [name, value] : entry.fields)
        line["fields"][name] = value;
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

TimelineEntry fromJsonLine(std::string_view text)
{
    try {
        const auto line = nlohmann::ordered_json::parse(text);
        TimelineEntry entry;
        entry.stamp = { line.at("wallMs").get<int64_t>(), line.at("counter").get<uint32_t>() };
        entry.node = line.at("node").get<std::string>();
        entry.event = static_cast<Event>(line.at("event").get<int>());
        if (line.contains("fields")) {
            for (const auto& [name, value] : line.at("fields").items())
                entry.fields.emplace_back(name, value.get<std::string>());
        }
        return entry;
    } catch (const nlohmann::json::exception& error) {
        throw FrameInvalidError(fmt::format("a line of the time line cannot be read: {}", error.what()));
    }
}

std::string toTextLine(const TimelineEntry& entry)
{
    std::string line = fmt::format("{} {:<12} {:<7} {} {}", utcTime(entry.stamp.wallMs), entry.node,
        levelName(eventLevel(entry.event)), static_cast<int>(entry.event), eventName(entry.event));
    for (const auto& [name, value] : entry.fields)
        line += fmt::format(" {}={}", name, value);
    return line;
}

} // namespace endiveroad::io
