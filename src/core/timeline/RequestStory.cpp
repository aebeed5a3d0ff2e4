#include <algorithm>
#include <array>
#include <endiveroad/Error.h>
#include <endiveroad/RequestStory.h>
#include <fmt/format.h>
#include <map>
#include <set>

namespace endiveroad {

namespace {

std::string fieldOf(const TimelineEntry& entry, std::string_view name)
{
    for (const auto& [key, value] : entry.fields) {
        if (key == name)
            return value;
    }
    return {};
}

/// True for events of a job that affect all of its items.
bool isOfWholeJob(Event event)
{
    constexpr std::array events { Event::BatchJobAccepted, Event::BatchJobRefused, Event::BatchJobClaimed,
        Event::BatchJobLost, Event::BatchJobEnded, Event::ListingDelayed };
    return std::find(events.begin(), events.end(), event) != events.end();
}

const TimelineEntry* lastOf(const std::vector<TimelineEntry>& lines, Event event)
{
    const auto found = std::find_if(
        lines.rbegin(), lines.rend(), [event](const TimelineEntry& entry) { return entry.event == event; });
    return found == lines.rend() ? nullptr : &*found;
}

size_t countOf(const std::vector<TimelineEntry>& lines, Event event)
{
    return static_cast<size_t>(std::count_if(
        lines.begin(), lines.end(), [event](const TimelineEntry& entry) { return entry.event == event; }));
}

void explainRefusal(RequestStory& story, const TimelineEntry& line)
{
    const ErrorCode code = codeFromText(fieldOf(line, "code"));
    const std::string reason = fieldOf(line, "reason");
    const size_t failedAttempts = countOf(story.lines, Event::CallAttemptFailed);
    story.isExplained = true;
    switch (code) {
    case ErrorCode::RouteUnknown:
    case ErrorCode::BadRequest:
    case ErrorCode::BatchJobUnknown:
        story.blame = Blame::Caller;
        break;
    case ErrorCode::StoreUnavailable:
        story.blame = Blame::Store;
        break;
    case ErrorCode::NotReady:
        story.blame = Blame::System;
        break;
    default:
        story.blame = failedAttempts > 0 || code == ErrorCode::DeadlineUnknown ? Blame::Replica : Blame::System;
    }
    story.cause = fmt::format("{} answered {} ({}) after {} failed attempts: {}", line.node, httpStatus(code),
        codeText(code), failedAttempts, reason);
}

void explainTermination(RequestStory& story, const TimelineEntry& line)
{
    story.isExplained = true;
    story.blame = Blame::Replica;
    story.cause = fmt::format("{} gave the item up: {}", line.node, fieldOf(line, "reason"));
}

/// Sets the cause of a delay of a job or an item. If there are several, the rarest and most severe kind is named.
void explainDelay(RequestStory& story)
{
    if (const TimelineEntry* line = lastOf(story.lines, Event::ListingDelayed)) {
        story.blame = Blame::Store;
        story.cause = fmt::format("results waited {} times for the store: {}",
            countOf(story.lines, Event::ListingDelayed), fieldOf(*line, "reason"));
    } else if (const TimelineEntry* claim = lastOf(story.lines, Event::BatchJobClaimed)) {
        story.blame = Blame::System;
        story.cause = fmt::format("the owner {} was lost; {} took the job over", fieldOf(*claim, "from"), claim->node);
    } else if (const TimelineEntry* moved = lastOf(story.lines, Event::ItemMoved)) {
        story.blame = Blame::Replica;
        story.cause = fmt::format("{} runs were withdrawn, the last one from {}: {}",
            countOf(story.lines, Event::ItemMoved), fieldOf(*moved, "agent"), fieldOf(*moved, "reason"));
    } else if (const TimelineEntry* refused = lastOf(story.lines, Event::ItemRefused)) {
        story.blame = Blame::System;
        story.cause = fmt::format(
            "{} starts were refused: {}", countOf(story.lines, Event::ItemRefused), fieldOf(*refused, "reason"));
    }
}

void explain(RequestStory& story)
{
    if (const TimelineEntry* refused = lastOf(story.lines, Event::BatchJobRefused))
        return explainRefusal(story, *refused);
    if (const TimelineEntry* givenUp = lastOf(story.lines, Event::CallGivenUp))
        return explainRefusal(story, *givenUp);
    if (const TimelineEntry* terminated = lastOf(story.lines, Event::ItemTerminated))
        return explainTermination(story, *terminated);
    explainDelay(story);
    const bool hasEnd = lastOf(story.lines, Event::CallAnswered) || lastOf(story.lines, Event::BatchJobEnded)
        || lastOf(story.lines, Event::ItemScored) || lastOf(story.lines, Event::ResultsListed);
    story.isExplained = hasEnd || !story.cause.empty();
}

} // namespace

std::string_view blameName(Blame blame)
{
    constexpr std::array names { "nobody", "caller", "replica", "store", "system" };
    return names[static_cast<size_t>(blame)];
}

LogIndex::LogIndex(std::vector<TimelineEntry> entries)
    : entries_(std::move(entries))
{
    for (size_t i = 0; i < entries_.size(); ++i) {
        std::set<std::string_view> named;
        for (const auto& [name, value] : entries_[i].fields) {
            const bool isId = name == "request" || name == "item" || name == "job";
            if (isId && named.insert(value).second)
                byId_[value].push_back(i);
        }
    }
}

RequestStory LogIndex::story(const std::string& id) const
{
    RequestStory story;
    const auto own = byId_.find(id);
    if (own == byId_.end())
        return story;
    std::set<size_t> chosen(own->second.begin(), own->second.end());
    std::set<std::string> jobs;
    for (size_t position : own->second)
        jobs.insert(fieldOf(entries_[position], "job"));
    for (const std::string& job : jobs) {
        const auto ofJob = byId_.find(job);
        for (size_t position : ofJob == byId_.end() ? std::vector<size_t>() : ofJob->second) {
            const TimelineEntry& entry = entries_[position];
            if (isOfWholeJob(entry.event) && fieldOf(entry, "job") == job)
                chosen.insert(position);
        }
    }
    for (size_t position : chosen)
        story.lines.push_back(entries_[position]);
    std::stable_sort(story.lines.begin(), story.lines.end(),
        [](const TimelineEntry& a, const TimelineEntry& b) { return a.stamp < b.stamp; });
    explain(story);
    return story;
}

std::vector<std::string> LogIndex::failed() const
{
    const std::map<Event, std::string_view> idFields { { Event::CallGivenUp, "request" },
        { Event::BatchJobRefused, "job" }, { Event::BatchReadFailed, "job" }, { Event::ItemTerminated, "item" } };
    std::vector<std::string> ids;
    std::set<std::string> known;
    for (const TimelineEntry& entry : entries_) {
        const auto field = idFields.find(entry.event);
        const std::string id = field == idFields.end() ? std::string() : fieldOf(entry, field->second);
        if (!id.empty() && known.insert(id).second)
            ids.push_back(id);
    }
    return ids;
}

RequestStory tellStory(const std::vector<TimelineEntry>& entries, const std::string& id)
{
    return LogIndex(entries).story(id);
}

} // namespace endiveroad
