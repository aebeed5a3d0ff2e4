#include "io/CrashGuard.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"
#include "wire/Codec.h"

#include <algorithm>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

int64_t millisecondsUntil(Instant instant)
{
    const Instant currentTime = now();
    if (instant <= currentTime)
        return 0;
    return std::chrono::duration_cast<std::chrono::milliseconds>(instant - currentTime).count();
}

/// The past if the time is not positive.
Instant instantAfter(int64_t milliseconds, Duration longest)
{
    const std::chrono::milliseconds time(milliseconds);
    return time.count() > 0 ? now() + std::min<Duration>(time, longest) : Instant::min();
}

wire::CrashRecord toWire(const CrashRecord& record)
{
    wire::CrashRecord encoded;
    encoded.contentHigh = static_cast<int64_t>(record.content.high);
    encoded.contentLow = static_cast<int64_t>(record.content.low);
    encoded.generation = record.generation;
    encoded.crashedServers.assign(record.crashedServers.begin(), record.crashedServers.end());
    encoded.failedTrials.assign(record.failedTrials.begin(), record.failedTrials.end());
    encoded.blockedForMs = millisecondsUntil(record.blockedUntil);
    encoded.trialForMs = millisecondsUntil(record.trialUntil);
    encoded.trialServer = record.trialServer;
    encoded.isOwed = record.kind == ContentKind::Owed;
    return encoded;
}

CrashRecord fromWire(const wire::CrashRecord& encoded)
{
    CrashRecord record;
    record.content = { static_cast<uint64_t>(encoded.contentHigh), static_cast<uint64_t>(encoded.contentLow) };
    record.generation = encoded.generation;
    record.crashedServers = { encoded.crashedServers.begin(), encoded.crashedServers.end() };
    record.failedTrials = { encoded.failedTrials.begin(), encoded.failedTrials.end() };
    record.kind = encoded.isOwed ? ContentKind::Owed : ContentKind::Call;
    record.blockedUntil = instantAfter(encoded.blockedForMs, CrashRegister::longestBlock);
    record.trialUntil = instantAfter(encoded.trialForMs, CrashRegister::trialTime);
    record.trialServer = encoded.trialServer;
    return record;
}

} // namespace

ContentBlockedError::ContentBlockedError(const ContentId& content, Instant retryAt)
    : PoisonRequestError(fmt::format("servers have ended under content {}", content.text()))
    , retryAt_(retryAt)
{
}

CrashGuard::CrashGuard(
    HttpClient& http, CrashDetector::DirectorySource directory, CrashListener& listener, uint64_t seed)
    : listener_(listener)
    , detector_(http, std::move(directory), [this](const ServerAttempt& attempt) { onCrash(attempt); })
    , random_(static_cast<uint32_t>(seed) | 1U)
{
}

bool CrashGuard::admit(const ContentId& content, const std::string& server, ContentKind kind)
{
    std::uniform_int_distribution<Duration::rep> anyDelay(0, maxTrialDelay.count());
    const Duration delay = kind == ContentKind::Owed ? Duration::zero() : Duration(anyDelay(random_));
    const CrashAdmission admission = register_.admit(content, server, delay, now());
    if (admission == CrashAdmission::Trial) {
        log(Event::ContentTried, { { "content", content.text() }, { "server", server } });
        publish(content);
    }
    return admission == CrashAdmission::Admitted || admission == CrashAdmission::Trial;
}

asio::awaitable<bool> CrashGuard::admitUntil(ContentId content, std::string server, Instant deadline, ContentKind kind)
{
    while (!admit(content, server, kind)) {
        if (!isPending(content) || now() >= deadline)
            co_return false;
        co_await sleepFor(trialCheckInterval);
    }
    co_return true;
}

std::optional<Instant> CrashGuard::blockedUntil(const ContentId& content) const
{
    const Instant end = register_.blockedUntil(content);
    if (end <= now() || register_.isPending(content))
        return std::nullopt;
    return end;
}

bool CrashGuard::isPending(const ContentId& content) const
{
    return register_.isPending(content) && register_.blockedUntil(content) > now();
}

void CrashGuard::onRefused(const ServerAttempt& attempt)
{
    detector_.onServerAnswered(attempt.start);
    register_.onNotRun(attempt.content, attempt.sentAt, true, now());
}

void CrashGuard::onMisdirected(const ServerAttempt& attempt)
{
    register_.onNotRun(attempt.content, attempt.sentAt, true, now());
}

void CrashGuard::onNotSent(const ServerAttempt& attempt)
{
    register_.onNotRun(attempt.content, attempt.sentAt, false, now());
}

std::set<std::string> CrashGuard::serversToAvoid(const ContentId& content) const
{
    if (!register_.isSuspect(content))
        return {};
    std::set<std::string> servers = serversOnTrial(content);
    servers.merge(register_.serversWithOtherSuspects(content));
    return servers;
}

std::set<std::string> CrashGuard::serversOnTrial(const ContentId& content) const
{
    return register_.serversWithOtherTrials(content, now());
}

Instant CrashGuard::nextAttemptAt(const ContentId& content)
{
    if (!register_.isSuspect(content))
        return now();
    std::uniform_int_distribution<Duration::rep> pause(minSuspectPause.count(), maxSuspectPause.count());
    return now() + Duration(pause(random_));
}

void CrashGuard::onAnswered(const ServerAttempt& attempt)
{
    detector_.onServerAnswered(attempt.start);
    if (!register_.onAnswered(attempt.content))
        return;
    log(Event::ContentCleared, { { "content", attempt.content.text() } });
    publish(attempt.content);
}

void CrashGuard::onCrash(const ServerAttempt& attempt)
{
    const CrashReport report { attempt.content, attempt.start.text(), attempt.sentAt, attempt.kind };
    if (!register_.onCrash(report, now()))
        return;
    const CrashRecord record = register_.record(attempt.content);
    if (register_.isPending(attempt.content))
        log(Event::ContentHeld,
            { { "content", attempt.content.text() }, { "request", attempt.request },
                { "crashes", std::to_string(record.crashedServers.size()) } });
    if (blockedUntil(attempt.content))
        log(Event::ContentBlocked,
            { { "content", attempt.content.text() }, { "request", attempt.request },
                { "crashes", std::to_string(record.crashedServers.size()) },
                { "blockedForMs", std::to_string(millisecondsUntil(record.blockedUntil)) } });
    publish(attempt.content);
}

void CrashGuard::publish(const ContentId& content)
{
    const CrashRecord record = register_.record(content);
    wire::CrashNotice notice;
    notice.records.push_back(toWire(record));
    listener_.publishCrashes(wire::encode(notice), nullptr);
    listener_.onCrashRecord(record);
}

void CrashGuard::onNotice(const PeerConnection& origin, const std::string& payload)
{
    const auto notice = wire::decode<wire::CrashNotice>(payload);
    wire::CrashNotice changes;
    for (const wire::CrashRecord& encoded : notice.records) {
        const CrashRecord received = fromWire(encoded);
        if (!register_.merge(received, now()))
            continue;
        const CrashRecord record = register_.record(received.content);
        changes.records.push_back(toWire(record));
        listener_.onCrashRecord(record);
    }
    if (!changes.records.empty())
        listener_.publishCrashes(wire::encode(changes), &origin);
}

void CrashGuard::restore(const CrashRecord& record)
{
    if (!register_.merge(record, now()))
        return;
    wire::CrashNotice notice;
    notice.records.push_back(toWire(register_.record(record.content)));
    listener_.publishCrashes(wire::encode(notice), nullptr);
}

std::optional<std::string> CrashGuard::encodeAll() const
{
    wire::CrashNotice notice;
    for (const CrashRecord& record : register_.records())
        notice.records.push_back(toWire(record));
    if (notice.records.empty())
        return std::nullopt;
    return wire::encode(notice);
}

size_t CrashGuard::blockedCount() const
{
    return register_.blockedCount(now());
}

} // namespace endiveroad::io
