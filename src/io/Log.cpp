#include "io/Log.h"

#include "io/Clock.h"
#include "io/ProcessMetrics.h"

#include <cerrno>
#include <cstdio>
#include <ctime>
#include <endiveroad/Error.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>
#include <utility>

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

void Log::configure(LogFormat format, LogLevel minLevel, std::string node)
{
    format_ = format;
    minLevel_ = minLevel;
    node_ = std::move(node);
}

void Log::write(Event event, LogFields fields)
{
    processMetrics().count(event);
    TimelineEntry entry { clock_.tick(wallMs()), node_, event, std::move(fields) };
    if (eventLevel(event) >= minLevel_ && isWithinBudget(event))
        print(entry);
    ring_.add(std::move(entry));
}

void Log::setNonBlocking()
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

bool Log::isWithinBudget(Event event)
{
    const Instant present = now();
    Budget& budget = budgets_[event];
    if (const uint32_t omitted = budget.renew(present))
        printOmission(std::string(eventName(event)), omitted);
    if (const uint32_t omitted = totalBudget_.renew(present))
        printOmission("all", omitted);
    if (budget.lines >= maxLinesPerSecond)
        return ++budget.omitted == 0;
    if (totalBudget_.lines >= maxTotalLinesPerSecond)
        return ++totalBudget_.omitted == 0;
    ++budget.lines;
    ++totalBudget_.lines;
    return true;
}

uint32_t Log::Budget::renew(Instant now)
{
    if (now < windowEnd)
        return 0;
    windowEnd = now + std::chrono::seconds(1);
    lines = 0;
    return std::exchange(omitted, 0);
}

void Log::printOmission(std::string of, uint64_t lines)
{
    print({ clock_.tick(wallMs()), node_, Event::LinesOmitted,
        { { "of", std::move(of) }, { "lines", std::to_string(lines) } } });
}

void Log::print(const TimelineEntry& entry)
{
    if (format_ == LogFormat::Json)
        writeLine(toJsonLine(entry) + "\n");
    else
        fmt::print(stderr, "{}\n", toTextLine(entry));
}

void Log::writeLine(const std::string& line)
{
    if (!writeRest()) {
        // The log's reader is stalled; the dropped lines are reported after the next line that can be written.
        ++droppedLines_;
        return;
    }
    unwrittenRest_ = line;
    if (!writeRest() && unwrittenRest_.size() == line.size()) {
        unwrittenRest_.clear();
        ++droppedLines_;
        return;
    }
    if (droppedLines_ == 0 || !unwrittenRest_.empty())
        return;
    const uint64_t lines = std::exchange(droppedLines_, 0);
    print({ clock_.tick(wallMs()), node_, Event::LinesOmitted,
        { { "reason", "standard output was not read" }, { "lines", std::to_string(lines) } } });
}

bool Log::writeRest()
{
    size_t written = 0;
    while (written < unwrittenRest_.size()) {
        const ssize_t bytes = ::write(STDOUT_FILENO, unwrittenRest_.data() + written, unwrittenRest_.size() - written);
        if (bytes < 0 && errno == EINTR)
            continue;
        if (bytes < 0)
            break;
        written += static_cast<size_t>(bytes);
    }
    unwrittenRest_.erase(0, written);
    return unwrittenRest_.empty();
}

void log(Event event, LogFields fields)
{
    Log::instance().write(event, std::move(fields));
}

std::string toJsonLine(const TimelineEntry& entry)
{
    nlohmann::ordered_json line;
    line["time"] = utcTime(entry.timestamp.wallMs);
    line["wallMs"] = entry.timestamp.wallMs;
    line["counter"] = entry.timestamp.counter;
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
        entry.timestamp = { line.at("wallMs").get<int64_t>(), line.at("counter").get<uint32_t>() };
        entry.node = line.at("node").get<std::string>();
        entry.event = static_cast<Event>(line.at("event").get<int>());
        if (line.contains("fields")) {
            for (const auto& [name, value] : line.at("fields").items())
                entry.fields.emplace_back(name, value.get<std::string>());
        }
        return entry;
    } catch (const nlohmann::json::exception& error) {
        throw FrameInvalidError(fmt::format("a timeline entry is not valid: {}", error.what()));
    }
}

std::string toTextLine(const TimelineEntry& entry)
{
    std::string line = fmt::format("{} {:<12} {:<7} {} {}", utcTime(entry.timestamp.wallMs), entry.node,
        levelName(eventLevel(entry.event)), static_cast<int>(entry.event), eventName(entry.event));
    for (const auto& [name, value] : entry.fields)
        line += fmt::format(" {}={}", name, value);
    return line;
}

} // namespace endiveroad::io
