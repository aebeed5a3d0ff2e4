#pragma once

#include <compare>
#include <endiveroad/Timeline.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// What became of one request, item or batch job, told from the log lines of all processes.
namespace endiveroad {

/// Who has to act on a failure.
enum class Blame { Nobody, Caller, Replica, Store, System };

std::string_view blameName(Blame);

struct RequestStory {
    /// Lines that concern the request, in the order of the processes' clocks.
    std::vector<TimelineEntry> lines;
    Blame blame = Blame::Nobody;
    /// One sentence; empty if nothing went wrong.
    std::string cause;
    /// False if the lines do not tell how the request ended.
    bool isExplained = false;

    auto operator<=>(const RequestStory&) const = default;
};

/// Log lines of all processes, found by the ids that they name.
class LogIndex {
public:
    explicit LogIndex(std::vector<TimelineEntry>);

    /// Selects the lines of an id, and for an item those of its job that bear on all items, and names the cause of a
    /// failure.
    RequestStory story(const std::string& id) const;

    /// Ids of all requests, jobs and items that the lines say were refused, given up or terminated, in the order of the
    /// lines, each once.
    std::vector<std::string> failed() const;

private:
    std::vector<TimelineEntry> entries_;
    /// Positions of the lines that name a request, item or job.
    std::map<std::string, std::vector<size_t>> byId_;
};

/// The story of a single id.
RequestStory tellStory(const std::vector<TimelineEntry>&, const std::string& id);

} // namespace endiveroad
