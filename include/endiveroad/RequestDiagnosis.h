#pragma once

#include <compare>
#include <endiveroad/Timeline.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Finds out from the log lines (TimelineEntry) of all processes how one request, item or batch job ended and why it
/// failed.
namespace endiveroad {

/// The party that has to act on a failure.
enum class ResponsibleParty { Nobody, Caller, Replica, Store, System };

std::string_view responsiblePartyName(ResponsibleParty);

/// The log lines of one request, item or batch job, and the cause of its failure or delay.
struct RequestDiagnosis {
    /// Ordered by timestamp.
    std::vector<TimelineEntry> lines;
    ResponsibleParty responsibleParty = ResponsibleParty::Nobody;
    /// One sentence; empty if the lines show neither a failure nor a delay.
    std::string cause;
    /// True if the lines show how the request ended or what went wrong.
    bool isExplained = false;

    auto operator<=>(const RequestDiagnosis&) const = default;
};

/// Index of the log lines of all processes by the request, item and job ids that they name.
class LogIndex {
public:
    explicit LogIndex(std::vector<TimelineEntry>);

    /// Selects the lines that name the id, and the lines that affect all items of its job. Derives the cause of a
    /// failure or delay from them. The result has no lines if none names the id.
    RequestDiagnosis diagnose(const std::string& id) const;

    /// Ids of all requests, jobs and items that were refused, abandoned or terminated, and of jobs whose results could
    /// not be read, according to the lines. Each id is listed once, in the order of the lines.
    std::vector<std::string> failedIds() const;

private:
    std::vector<TimelineEntry> entries_;
    /// Indices in entries_ of the lines that name a request, item or job.
    std::map<std::string, std::vector<size_t>> lineIndicesById_;
};

/// Indexes the entries and diagnoses a single id. To look up several ids, use one LogIndex.
RequestDiagnosis diagnoseRequest(const std::vector<TimelineEntry>&, const std::string& id);

} // namespace endiveroad
