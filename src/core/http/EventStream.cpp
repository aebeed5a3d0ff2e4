#include <algorithm>
#include <charconv>
#include <endiveroad/Error.h>
#include <endiveroad/EventStream.h>
#include <fmt/format.h>

namespace endiveroad {

namespace {

/// Value of a line "name: value", or nothing if the line has another name. One space after the colon is not part of it.
std::optional<std::string_view> fieldValue(std::string_view line, std::string_view name)
{
    if (!line.starts_with(name) || line.size() <= name.size() || line[name.size()] != ':')
        return std::nullopt;
    line.remove_prefix(name.size() + 1);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}

std::optional<int64_t> toInteger(std::string_view text)
{
    int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc())
        return std::nullopt;
    return value;
}

} // namespace

std::vector<StreamEvent> EventStreamReader::feed(std::string_view piece)
{
    std::vector<StreamEvent> events;
    feed(piece, events);
    return events;
}

void EventStreamReader::feed(std::string_view piece, std::vector<StreamEvent>& events)
{
    while (!piece.empty()) {
        const size_t end = piece.find('\n');
        const std::string_view linePart = piece.substr(0, end);
        inspectedBytes_ += std::min(linePart.size() + 1, piece.size());
        line_.append(linePart);
        if (eventBytes_ + line_.size() > maxEventBytes)
            throw AnswerBrokenError(fmt::format("an event of the stream is longer than {} bytes", maxEventBytes));
        if (end == std::string_view::npos)
            break;
        piece.remove_prefix(end + 1);
        eventBytes_ += line_.size() + 1;
        processLine(events);
        line_.clear();
    }
}

void EventStreamReader::processLine(std::vector<StreamEvent>& events)
{
    if (line_.ends_with('\r'))
        line_.pop_back();
    if (line_.empty()) {
        if (hasOpenEvent_)
            events.push_back(std::move(event_));
        event_ = {};
        eventBytes_ = 0;
        wholeEventBytes_ = inspectedBytes_;
        hasOpenEvent_ = false;
        hasData_ = false;
        return;
    }
    hasOpenEvent_ = true;
    if (const auto data = fieldValue(line_, "data")) {
        if (hasData_)
            event_.data += '\n';
        event_.data += *data;
        hasData_ = true;
    } else if (const auto id = fieldValue(line_, "id")) {
        event_.id = toInteger(*id);
    } else {
        event_.otherLines.push_back(line_);
    }
}

} // namespace endiveroad
