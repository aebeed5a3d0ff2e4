#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad/UsageReport.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace endiveroad {

using Json = nlohmann::json;

namespace {

int64_t milliseconds(Duration duration)
{
    return std::max<int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(), 1);
}

} // namespace

int64_t usageWindowAt(int64_t wallMs, Duration length)
{
    return wallMs / milliseconds(length);
}

int64_t usageWindowStartMs(int64_t window, Duration length)
{
    return window * milliseconds(length);
}

void PendingReports::fix(UsageReport report)
{
    if (lastWindow_ && report.window <= *lastWindow_)
        throw std::logic_error("the report of the window is fixed already");
    lastWindow_ = report.window;
    reports_.push_back(std::move(report));
}

void PendingReports::remove(const std::set<int64_t>& windows)
{
    std::erase_if(reports_, [&windows](const UsageReport& report) { return windows.contains(report.window); });
}

std::string PendingReports::encode() const
{
    Json rows = Json::array();
    for (const UsageReport& report : reports_)
        rows.push_back({ { "window", report.window }, { "counts", report.counts } });
    Json document { { "pending", std::move(rows) } };
    if (lastWindow_)
        document["lastWindow"] = *lastWindow_;
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

PendingReports PendingReports::decode(const std::string& text)
{
    try {
        const Json document = Json::parse(text);
        PendingReports pending;
        for (const Json& row : document.at("pending"))
            pending.fix({ row.at("window").get<int64_t>(), row.at("counts").get<UsageCounts>() });
        if (document.contains("lastWindow"))
            pending.lastWindow_ = document.at("lastWindow").get<int64_t>();
        return pending;
    } catch (const std::exception& error) {
        throw FrameInvalidError(fmt::format("the pending usage reports cannot be decoded: {}", error.what()));
    }
}

} // namespace endiveroad
