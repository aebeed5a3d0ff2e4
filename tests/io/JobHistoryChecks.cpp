#include "JobHistoryProcess.h"

#include <nlohmann/json.hpp>
#include <sstream>

/// The properties that a JobHistory checks, after each step and at its end.
namespace endiveroad::io::test {

using namespace std::chrono_literals;

namespace {

std::vector<std::string> linesOf(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

} // namespace

std::vector<std::string> JobHistory::durableResults(const std::string& job) const
{
    std::vector<std::string> lines;
    for (const Document& document : contents_.list("endiveroad/results/" + job + "/").documents) {
        for (const nlohmann::json& row : nlohmann::json::parse(document.value))
            lines.push_back(row.at("item").get<std::string>() + "=" + row.at("text").get<std::string>());
    }
    return lines;
}

/// Stored results never change. New ones are only appended, each item is listed at most once, and nothing is appended
/// after a caller was told that the job has ended. An accepted job is in the store.
void JobHistory::checkStore()
{
    for (auto& [id, job] : jobs_) {
        const std::vector<std::string> present = durableResults(id);
        if (present.size() < job.results.size() || !std::equal(job.results.begin(), job.results.end(), present.begin()))
            reportViolation(id + ": a stored result changed or is gone");
        if (job.isEndAnswered && present.size() > job.results.size())
            reportViolation(id + ": results listed after the caller was told of the end");
        std::set<std::string> items;
        for (const std::string& line : present) {
            if (!items.insert(line.substr(0, line.find('='))).second)
                reportViolation(id + ": an item is listed twice");
        }
        job.results = present;
        if (job.isAccepted && !contents_.read("endiveroad/jobs/" + id))
            reportViolation(id + ": accepted, but not in the store");
    }
}

void JobHistory::checkPage(const std::string& id, size_t first, const std::string& page, size_t knownResults)
{
    Job& job = jobs_[id];
    const std::vector<std::string> lines = linesOf(page);
    if (first + lines.size() < knownResults)
        reportViolation(id + ": a result that had been read is missing");
    if (!lines.empty()) {
        size_t& read = job.read[time_.now()];
        read = std::max(read, first + lines.size());
    }
    for (size_t i = 0; i < lines.size(); ++i) {
        if (first + i >= job.results.size())
            reportViolation(id + ": a result was returned before it was stored");
        else if (job.results[first + i] != lines[i])
            reportViolation(id + ": a returned result differs from the stored one");
    }
}

/// Ends all faults and lets the coordinators finish their jobs.
void JobHistory::finishWithoutFaults()
{
    faultPercent_ = 0;
    reconnectAll();
    // Long enough for delayed calls to take effect in the store before the final check.
    for (int round = 0; round < 24; ++round) {
        for (size_t i = 0; i < coordinators; ++i) {
            resume(i);
            if (processes_[i])
                takeOver(i, false);
        }
        for (int turn = 0; turn < 4; ++turn) {
            finishItem();
            advance(150ms);
        }
    }
}

void JobHistory::checkFinalState()
{
    for (const auto& [id, job] : jobs_) {
        if (!job.isAccepted)
            continue;
        const auto record = contents_.read("endiveroad/jobs/" + id);
        // A former owner that has nothing left to list may not have noticed its loss. It may answer reads and can
        // change nothing, so only owners with the record's present revision count.
        size_t owners = 0;
        for (const ProcessPtr& process : processes_) {
            const auto owned = process->owner.jobs().find(id);
            const bool isOwner = record && owned != process->owner.jobs().end() && !owned->second->job.isEnded()
                && owned->second->job.revision() == record->revision;
            owners += isOwner ? 1 : 0;
        }
        const bool isEnded = record && nlohmann::json::parse(record->value).at("isEnded").get<bool>();
        if (isEnded && !job.isEndAsked)
            reportViolation(id + ": ended without a request");
        if (job.isEndAnswered && !isEnded)
            reportViolation(id + ": a caller was told of the end, but the record is not ended");
        if (!isEnded && owners != 1)
            reportViolation(fmt::format("{}: {} coordinators own it with the revision of its record", id, owners));
        if (!isEnded && job.results.size() != job.items)
            reportViolation(fmt::format("{}: {} of {} items are listed", id, job.results.size(), job.items));
    }
}

} // namespace endiveroad::io::test
