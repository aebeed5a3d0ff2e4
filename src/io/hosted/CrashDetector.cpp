#include "io/hosted/CrashDetector.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"

#include <fmt/format.h>

namespace endiveroad::io {

CrashDetector::CrashDetector(HttpClient& http, DirectorySource directory, OnCrash onCrash)
    : http_(http)
    , directory_(std::move(directory))
    , onCrash_(std::move(onCrash))
{
}

asio::awaitable<void> CrashDetector::inspect(UnansweredRequest request)
{
    const auto directory = directory_();
    const ServerRecord* server = directory->serverAt(request.address);
    const int64_t startedMs = server ? server->startedMs : 0;
    const ListenerState state = co_await http_.probe(request.address, now() + probeTimeout);
    if (state == ListenerState::Refusing)
        reportCrash(request, startedMs, "its address refuses connections");
    else if (startedMs > 0 && undecided_.size() < maxUndecided)
        undecided_.push_back({ std::move(request), startedMs, now() + returnTime });
}

void CrashDetector::onDirectory(const Directory& directory)
{
    const Instant currentTime = now();
    std::erase_if(undecided_, [&](const Undecided& undecided) {
        const ServerRecord* current = directory.serverAt(undecided.request.address);
        const bool hasStartedAgain = current && current->startedMs > undecided.startedMs;
        if (hasStartedAgain)
            reportCrash(undecided.request, undecided.startedMs, "a server has started later at its address");
        return hasStartedAgain || undecided.expiry <= currentTime;
    });
}

void CrashDetector::reportCrash(const UnansweredRequest& request, int64_t startedMs, const char* evidence)
{
    processMetrics().count(Counter::ServerCrashes);
    log(Event::ServerCrashed,
        { { "request", request.request }, { "content", request.content.text() }, { "server", request.server },
            { "evidence", evidence } });
    onCrash_(request, fmt::format("{}/{}", request.server, startedMs));
}

} // namespace endiveroad::io
