#pragma once

#include <endiveroad/Timeline.h>
#include <string>
#include <vector>

namespace endiveroad::cli {

/// Formats entries as a self-contained HTML page with a column for each process and a row for each event, the earliest
/// first. The entries must be in the order of mergeTimelines().
std::string timelineHtml(const std::vector<TimelineEntry>&);

} // namespace endiveroad::cli
