#include "io/CrashDetector.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"

#include <fmt/format.h>

namespace endiveroad::io {

namespace {

/// True if the directory knows a later start at the address.
bool hasStartedAgain(const Directory& directory, const ServerStart& start)
{
    const ServerRecord* newest = directory.serverAt(start.address);
    return newest && newest->startedMs > start.startedMs;
}

/// True if another server has answered at the address since this start.
bool isReplaced(const Directory& directory, const ServerStart& start)
{
    const ServerRecord* newest = directory.serverAt(start.address);
    return newest && newest->startedMs == start.startedMs && newest->isReplaced;
}

} // namespace

std::string ServerStart::text() const
{
    return fmt::format("{}/{}", address.text(), startedMs);
}

CrashDetector::CrashDetector(HttpClient& http, DirectorySource directory, OnCrash onCrash)
    : http_(http)
    , directory_(std::move(directory))
    , onCrash_(std::move(onCrash))
{
}

asio::awaitable<void> CrashDetector::inspect(ServerAttempt attempt)
{
    removeExpired();
    Breaks breaks { now(), now() + returnTime, {} };
    const auto position = breaks_.try_emplace(attempt.start, std::move(breaks)).first;
    if (attempt.sentAt > position->second.firstAt)
        co_return;
    // What is registered there by now tells at once; a connection would reach the successor.
    if (const char* evidence = evidenceOf({ attempt }, *directory_())) {
        reportCrash(attempt, evidence);
        co_return;
    }
    const ListenerState state = co_await http_.probe(attempt.start.address, now() + probeTimeout);
    if (state == ListenerState::Refusing) {
        reportCrash(attempt, "its address refuses connections");
        co_return;
    }
    const auto open = breaks_.find(attempt.start);
    if (open != breaks_.end() && open->second.undecided.size() < maxUndecided)
        open->second.undecided.push_back({ std::move(attempt), state == ListenerState::Silent });
    // The directory may have changed during the probe.
    if (open != breaks_.end())
        decide(open->second, *directory_());
}

ServerStart CrashDetector::startAt(const Address& address) const
{
    const auto directory = directory_();
    const ServerRecord* server = directory->serverAt(address);
    return server ? ServerStart::of(*server) : ServerStart { address, 0 };
}

void CrashDetector::onDirectory(const Directory& directory)
{
    for (auto& [start, breaks] : breaks_)
        decide(breaks, directory);
    removeExpired();
}

void CrashDetector::decide(Breaks& breaks, const Directory& directory)
{
    std::erase_if(breaks.undecided, [&](const Undecided& undecided) {
        const char* evidence = evidenceOf(undecided, directory);
        if (evidence)
            reportCrash(undecided.attempt, evidence);
        return evidence != nullptr;
    });
}

void CrashDetector::onConnectionRefused(const ServerStart& start)
{
    const auto open = breaks_.find(start);
    if (open == breaks_.end())
        return;
    for (const Undecided& undecided : open->second.undecided)
        reportCrash(undecided.attempt, "its address refuses connections");
    open->second.undecided.clear();
}

void CrashDetector::removeExpired()
{
    const Instant currentTime = now();
    std::erase_if(breaks_, [currentTime](const auto& entry) { return entry.second.expiry <= currentTime; });
}

const char* CrashDetector::evidenceOf(const Undecided& undecided, const Directory& directory)
{
    const ServerStart& start = undecided.attempt.start;
    if (hasStartedAgain(directory, start))
        return "a server has started later at its address";
    if (isReplaced(directory, start))
        return "another server answers at its address";
    if (undecided.isHostSilent && !directory.serverAt(start.address))
        return "its host is silent and its registration is gone";
    return nullptr;
}

void CrashDetector::reportCrash(const ServerAttempt& attempt, const char* evidence)
{
    processMetrics().count(Counter::ServerCrashes);
    log(Event::ServerCrashed,
        { { "request", attempt.request }, { "content", attempt.content.text() }, { "server", attempt.server },
            { "evidence", evidence } });
    onCrash_(attempt);
}

} // namespace endiveroad::io
