#include <algorithm>
#include <array>
#include <endiveroad/Error.h>
#include <endiveroad/RequestDiagnosis.h>
#include <fmt/format.h>
#include <map>
#include <set>

namespace endiveroad {

namespace {

std::string fieldValue(const TimelineEntry& entry, std::string_view name)
{
    for (const auto& [key, value] : entry.fields) {
        if (key == name)
            return value;
    }
    return {};
}

/// True for events of a job that affect all of its items.
bool isJobWideEvent(Event event)
{
    constexpr std::array events { Event::BatchJobAccepted, Event::BatchJobRefused, Event::BatchJobClaimed,
        Event::BatchJobLost, Event::BatchJobEnded, Event::ListingDelayed };
    return std::find(events.begin(), events.end(), event) != events.end();
}

const TimelineEntry* findLast(const std::vector<TimelineEntry>& lines, Event event)
{
    const auto found = std::find_if(
        lines.rbegin(), lines.rend(), [event](const TimelineEntry& entry) { return entry.event == event; });
    return found == lines.rend() ? nullptr : &*found;
}

size_t countEvents(const std::vector<TimelineEntry>& lines, Event event)
{
    return static_cast<size_t>(std::count_if(
        lines.begin(), lines.end(), [event](const TimelineEntry& entry) { return entry.event == event; }));
}

void setErrorCause(RequestDiagnosis& diagnosis, const TimelineEntry& line)
{
    const ErrorCode code = codeFromText(fieldValue(line, "code"));
    const std::string reason = fieldValue(line, "reason");
    const size_t failedAttempts = countEvents(diagnosis.lines, Event::CallAttemptFailed);
    diagnosis.isExplained = true;
    switch (code) {
    case ErrorCode::RouteUnknown:
    case ErrorCode::BadRequest:
    case ErrorCode::BatchJobUnknown:
        diagnosis.responsibleParty = ResponsibleParty::Caller;
        break;
    case ErrorCode::StoreUnavailable:
        diagnosis.responsibleParty = ResponsibleParty::Store;
        break;
    case ErrorCode::PoisonRequest:
        diagnosis.responsibleParty = ResponsibleParty::Replica;
        break;
    case ErrorCode::NotReady:
        diagnosis.responsibleParty = ResponsibleParty::System;
        break;
    default:
        diagnosis.responsibleParty = failedAttempts > 0 || code == ErrorCode::DeadlineUnknown
            ? ResponsibleParty::Replica
            : ResponsibleParty::System;
    }
    diagnosis.cause = fmt::format("{} answered {} ({}) after {} failed attempts: {}", line.node, httpStatus(code),
        codeText(code), failedAttempts, reason);
}

void setTerminationCause(RequestDiagnosis& diagnosis, const TimelineEntry& line)
{
    diagnosis.isExplained = true;
    diagnosis.responsibleParty = ResponsibleParty::Replica;
    diagnosis.cause = fmt::format("{} gave the item up: {}", line.node, fieldValue(line, "reason"));
}

/// Sets the cause of a delay of a job or an item. If there are several, the rarest and most severe kind is named.
void setDelayCause(RequestDiagnosis& diagnosis)
{
    if (const TimelineEntry* line = findLast(diagnosis.lines, Event::ListingDelayed)) {
        diagnosis.responsibleParty = ResponsibleParty::Store;
        diagnosis.cause = fmt::format("results waited {} times for the store: {}",
            countEvents(diagnosis.lines, Event::ListingDelayed), fieldValue(*line, "reason"));
    } else if (const TimelineEntry* claim = findLast(diagnosis.lines, Event::BatchJobClaimed)) {
        diagnosis.responsibleParty = ResponsibleParty::System;
        diagnosis.cause
            = fmt::format("the owner {} was lost; {} took the job over", fieldValue(*claim, "from"), claim->node);
    } else if (const TimelineEntry* moved = findLast(diagnosis.lines, Event::ItemMoved)) {
        diagnosis.responsibleParty = ResponsibleParty::Replica;
        diagnosis.cause = fmt::format("{} runs were withdrawn, the last one from {}: {}",
            countEvents(diagnosis.lines, Event::ItemMoved), fieldValue(*moved, "agent"), fieldValue(*moved, "reason"));
    } else if (const TimelineEntry* refused = findLast(diagnosis.lines, Event::ItemRefused)) {
        diagnosis.responsibleParty = ResponsibleParty::System;
        diagnosis.cause = fmt::format("{} starts were refused: {}", countEvents(diagnosis.lines, Event::ItemRefused),
            fieldValue(*refused, "reason"));
    }
}

void setCause(RequestDiagnosis& diagnosis)
{
    if (const TimelineEntry* refused = findLast(diagnosis.lines, Event::BatchJobRefused))
        return setErrorCause(diagnosis, *refused);
    if (const TimelineEntry* givenUp = findLast(diagnosis.lines, Event::CallGivenUp))
        return setErrorCause(diagnosis, *givenUp);
    if (const TimelineEntry* terminated = findLast(diagnosis.lines, Event::ItemTerminated))
        return setTerminationCause(diagnosis, *terminated);
    setDelayCause(diagnosis);
    const bool hasEnd = findLast(diagnosis.lines, Event::CallAnswered)
        || findLast(diagnosis.lines, Event::BatchJobEnded) || findLast(diagnosis.lines, Event::ItemScored)
        || findLast(diagnosis.lines, Event::ResultsListed);
    diagnosis.isExplained = hasEnd || !diagnosis.cause.empty();
}

} // namespace

std::string_view responsiblePartyName(ResponsibleParty party)
{
    constexpr std::array names { "nobody", "caller", "replica", "store", "system" };
    return names[static_cast<size_t>(party)];
}

LogIndex::LogIndex(std::vector<TimelineEntry> entries)
    : entries_(std::move(entries))
{
    for (size_t i = 0; i < entries_.size(); ++i) {
        std::set<std::string_view> named;
        for (const auto& [name, value] : entries_[i].fields) {
            const bool isId = name == "request" || name == "item" || name == "job";
            if (isId && named.insert(value).second)
                lineIndicesById_[value].push_back(i);
        }
    }
}

RequestDiagnosis LogIndex::diagnose(const std::string& id) const
{
    RequestDiagnosis diagnosis;
    const auto namingLines = lineIndicesById_.find(id);
    if (namingLines == lineIndicesById_.end())
        return diagnosis;
    std::set<size_t> selected(namingLines->second.begin(), namingLines->second.end());
    std::set<std::string> jobs;
    for (size_t position : namingLines->second)
        jobs.insert(fieldValue(entries_[position], "job"));
    for (const std::string& job : jobs) {
        const auto jobLines = lineIndicesById_.find(job);
        for (size_t position : jobLines == lineIndicesById_.end() ? std::vector<size_t>() : jobLines->second) {
            const TimelineEntry& entry = entries_[position];
            if (isJobWideEvent(entry.event) && fieldValue(entry, "job") == job)
                selected.insert(position);
        }
    }
    for (size_t position : selected)
        diagnosis.lines.push_back(entries_[position]);
    std::stable_sort(diagnosis.lines.begin(), diagnosis.lines.end(),
        [](const TimelineEntry& a, const TimelineEntry& b) { return a.timestamp < b.timestamp; });
    setCause(diagnosis);
    return diagnosis;
}

std::vector<std::string> LogIndex::failedIds() const
{
    const std::map<Event, std::string_view> idFields { { Event::CallGivenUp, "request" },
        { Event::BatchJobRefused, "job" }, { Event::BatchReadFailed, "job" }, { Event::ItemTerminated, "item" } };
    std::vector<std::string> ids;
    std::set<std::string> seen;
    for (const TimelineEntry& entry : entries_) {
        const auto field = idFields.find(entry.event);
        const std::string id = field == idFields.end() ? std::string() : fieldValue(entry, field->second);
        if (!id.empty() && seen.insert(id).second)
            ids.push_back(id);
    }
    return ids;
}

RequestDiagnosis diagnoseRequest(const std::vector<TimelineEntry>& entries, const std::string& id)
{
    return LogIndex(entries).diagnose(id);
}

} // namespace endiveroad
