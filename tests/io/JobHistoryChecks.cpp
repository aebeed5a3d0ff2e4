#include "JobHistoryProcess.h"

#include <nlohmann/json.hpp>
#include <sstream>

/// What must hold in a JobHistory, at each step and at its end.
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

/// What was durable stays as it is; results come only behind it, each item once, and none behind an answered end.
void JobHistory::checkStore()
{
    for (auto& [id, job] : jobs_) {
        const std::vector<std::string> present = durableResults(id);
        if (present.size() < job.results.size() || !std::equal(job.results.begin(), job.results.end(), present.begin()))
            violate(id + ": a position changed");
        if (job.isEndAnswered && present.size() > job.results.size())
            violate(id + ": listed after the end was answered");
        std::set<std::string> items;
        for (const std::string& line : present) {
            if (!items.insert(line.substr(0, line.find('='))).second)
                violate(id + ": an item is listed twice");
        }
        job.results = present;
        if (job.isAccepted && !contents_.read("endiveroad/jobs/" + id))
            violate(id + ": accepted, but not durable");
    }
}

void JobHistory::checkPage(const std::string& id, size_t first, const std::string& page)
{
    const Job& job = jobs_[id];
    const std::vector<std::string> lines = linesOf(page);
    for (size_t i = 0; i < lines.size(); ++i) {
        if (first + i >= job.results.size())
            violate(id + ": told before it was durable");
        else if (job.results[first + i] != lines[i])
            violate(id + ": told otherwise than it stands");
    }
}

/// All troubles end; processes do what theirs do at rest.
void JobHistory::settle()
{
    faultPercent_ = 0;
    cuts_.clear();
    // What is still under way to the store arrives before the end is judged.
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

void JobHistory::checkEnd()
{
    for (const auto& [id, job] : jobs_) {
        if (!job.isAccepted)
            continue;
        const auto record = contents_.read("endiveroad/jobs/" + id);
        // An owner of the past that has nothing left to list may still answer reads; it can change nothing.
        size_t owners = 0;
        for (const ProcessPtr& process : processes_) {
            const auto owned = process->owner.jobs().find(id);
            const bool isOwner = record && owned != process->owner.jobs().end() && !owned->second->job.isEnded()
                && owned->second->job.revision() == record->revision;
            owners += isOwner ? 1 : 0;
        }
        const bool isEnded = record && nlohmann::json::parse(record->value).at("isEnded").get<bool>();
        if (isEnded && !job.isEndAsked)
            violate(id + ": ended, though nobody asked for it");
        if (job.isEndAnswered && !isEnded)
            violate(id + ": the end was answered and does not last");
        if (!isEnded && owners != 1)
            violate(fmt::format("{}: {} coordinators own it by its record", id, owners));
        if (!isEnded && job.results.size() != job.items)
            violate(fmt::format("{}: {} of {} items are listed", id, job.results.size(), job.items));
    }
}

} // namespace endiveroad::io::test
