#include "io/hosted/UsageReporter.h"

#include "io/Clock.h"
#include "io/ProcessMetrics.h"

#include <algorithm>

namespace endiveroad::io {

wire::UsageNotice toWire(const std::string& entry, int64_t incarnation, const UsageWindows& windows)
{
    wire::UsageNotice notice;
    notice.entry = entry;
    notice.incarnation = incarnation;
    for (const auto& [window, counts] : windows) {
        wire::UsageWindow row;
        row.window = window;
        for (const auto& [organisation, requests] : counts) {
            wire::OrganisationUsage usage;
            usage.organisation = organisation;
            usage.requests = requests;
            row.counts.push_back(std::move(usage));
        }
        notice.windows.push_back(std::move(row));
    }
    return notice;
}

UsageReporter::UsageReporter(
    asio::io_context& context, std::string name, int64_t incarnation, Duration window, UsagePeers& peers)
    : name_(std::move(name))
    , incarnation_(incarnation)
    , peers_(peers)
    , counter_(window)
    , changed_(context)
{
}

void UsageReporter::onCallAnswered(const RouteDeclaration& route, const ReplicaRequest& request, Instant sentAt)
{
    // Calls without an organisation tell the running time as well.
    onBegun(request, startEstimate_.startOf(route.name, sentAt, now()));
}

void UsageReporter::onBegun(const ReplicaRequest& request, Instant beganAt)
{
    if (request.organisation.empty())
        return;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now() - beganAt);
    const CountOutcome outcome = counter_.count(request.organisation, request.id, wallMs() - elapsed.count());
    if (outcome == CountOutcome::Counted)
        processMetrics().count(Counter::UsageRequests);
    if (outcome == CountOutcome::Late)
        processMetrics().count(Counter::UsageRequestsLate);
}

void UsageReporter::onHolder(const wire::DutyHolderNotice& notice)
{
    counter_.confirm(notice.reportedWindow);
    if (notice.fencingToken <= holderToken_)
        return;
    holder_ = notice.holder;
    holderToken_ = notice.fencingToken;
    counter_.markAllChanged();
    changed_.notifyAll();
}

void UsageReporter::onCoordinatorUp(const std::string& coordinator)
{
    const std::vector<std::string> names = receivers();
    if (std::find(names.begin(), names.end(), coordinator) == names.end())
        return;
    counter_.markAllChanged();
    changed_.notifyAll();
}

asio::awaitable<void> UsageReporter::run()
{
    while (true) {
        send();
        co_await changed_.wait(now() + sendInterval);
    }
}

std::vector<std::string> UsageReporter::receivers() const
{
    std::vector<std::string> names = peers_.coordinators();
    std::sort(names.begin(), names.end());
    const auto holder = std::find(names.begin(), names.end(), holder_);
    if (holder != names.end())
        std::rotate(names.begin(), holder, names.end());
    constexpr size_t maxReceivers = 2;
    names.resize(std::min(names.size(), maxReceivers));
    return names;
}

void UsageReporter::send()
{
    std::vector<std::string> names = receivers();
    // Without a receiver all that has changed stays so.
    if (names.empty())
        return;
    if (names != lastReceivers_)
        counter_.markAllChanged();
    lastReceivers_ = std::move(names);
    const UsageWindows windows = counter_.takeChanged();
    if (windows.empty())
        return;
    const wire::UsageNotice notice = toWire(name_, incarnation_, windows);
    for (const std::string& name : lastReceivers_)
        peers_.sendUsage(name, notice);
}

} // namespace endiveroad::io
