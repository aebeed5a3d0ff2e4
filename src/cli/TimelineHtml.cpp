#include "cli/TimelineHtml.h"

#include "io/Log.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace endiveroad::cli {

namespace {

constexpr int rowHeightPx = 18;
constexpr int columnWidthPx = 150;
constexpr int headerHeightPx = 40;

constexpr std::string_view pageHeader = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>endiveroad timeline</title><style>
body { font: 13px/18px monospace; margin: 12px; }
svg text { font: 12px monospace; }
.debug { fill: #9ab; } .info { fill: #27c; } .warning { fill: #e80; } .error { fill: #c11; }
.lane { stroke: #ccc; } .row:hover { fill: #f2f2f2; } .row { fill: transparent; }
</style></head><body>
<p>One column for each process, earliest event first; a line joins the events of one request.
<span style="color:#e80">Warning</span>, <span style="color:#c11">error</span>.</p>
)";

std::string escapeHtml(std::string_view text)
{
    std::string result;
    for (char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

std::string requestId(const TimelineEntry& entry)
{
    const auto field = std::find_if(
        entry.fields.begin(), entry.fields.end(), [](const auto& candidate) { return candidate.first == "request"; });
    return field == entry.fields.end() ? "" : field->second;
}

/// Assigns a column number to each process, in the order of their names.
std::map<std::string, int> assignColumns(const std::vector<TimelineEntry>& entries)
{
    std::map<std::string, int> columns;
    for (const TimelineEntry& entry : entries)
        columns.emplace(entry.node, 0);
    int next = 0;
    for (auto& [node, column] : columns)
        column = next++;
    return columns;
}

struct Point {
    int x = 0;
    int y = 0;
};

std::string columnHeaders(const std::map<std::string, int>& columns, int height)
{
    std::string svg;
    for (const auto& [node, column] : columns) {
        const int x = column * columnWidthPx + columnWidthPx / 2;
        svg += fmt::format("<text x=\"{}\" y=\"14\" text-anchor=\"middle\">{}</text>\n", x, escapeHtml(node));
        svg += fmt::format("<line class=\"lane\" x1=\"{0}\" x2=\"{0}\" y1=\"22\" y2=\"{1}\"/>\n", x, height);
    }
    return svg;
}

} // namespace

std::string timelineHtml(const std::vector<TimelineEntry>& entries)
{
    const auto columns = assignColumns(entries);
    const int columnsWidth = static_cast<int>(columns.size()) * columnWidthPx;
    const int height = headerHeightPx + static_cast<int>(entries.size()) * rowHeightPx;
    constexpr int textWidthPx = 1400;
    std::string rows;
    std::string links;
    std::map<std::string, Point> lastPointOfRequest;
    int y = headerHeightPx;
    for (const TimelineEntry& entry : entries) {
        const Point point { columns.at(entry.node) * columnWidthPx + columnWidthPx / 2, y };
        const std::string request = requestId(entry);
        const auto last = lastPointOfRequest.find(request);
        if (!request.empty() && last != lastPointOfRequest.end()) {
            links += fmt::format("<line stroke=\"#9c9\" x1=\"{}\" y1=\"{}\" x2=\"{}\" y2=\"{}\"/>\n", last->second.x,
                last->second.y, point.x, point.y);
        }
        lastPointOfRequest[request] = point;
        const std::string line = escapeHtml(io::toTextLine(entry));
        rows
            += fmt::format("<rect class=\"row\" x=\"0\" y=\"{}\" width=\"{}\" height=\"{}\"><title>{}</title></rect>\n",
                y - rowHeightPx / 2, columnsWidth + textWidthPx, rowHeightPx, line);
        rows += fmt::format("<circle class=\"{}\" cx=\"{}\" cy=\"{}\" r=\"5\"/><text x=\"{}\" y=\"{}\">{}</text>\n",
            levelName(eventLevel(entry.event)), point.x, point.y, columnsWidth + 10, y + 4, line);
        y += rowHeightPx;
    }
    return fmt::format("{}<svg width=\"{}\" height=\"{}\">\n{}{}{}</svg></body></html>\n", pageHeader,
        columnsWidth + textWidthPx, height, columnHeaders(columns, height), links, rows);
}

} // namespace endiveroad::cli
