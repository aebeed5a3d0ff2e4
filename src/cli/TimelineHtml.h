#pragma once

#include <endiveroad/Timeline.h>
#include <string>
#include <vector>

namespace endiveroad::cli {

/// A page without outside parts: a lane for each process, time downwards, one row for each event. The entries are in
/// their merged order.
std::string timelineHtml(const std::vector<TimelineEntry>&);

} // namespace endiveroad::cli
