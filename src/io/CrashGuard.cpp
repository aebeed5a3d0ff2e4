#include "io/CrashGuard.h"

#include "io/Clock.h"
#include "io/Log.h"
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

wire::CrashRecord toWire(const CrashRecord& record)
{
    wire::CrashRecord encoded;
    encoded.contentHigh = static_cast<int64_t>(record.content.high);
    encoded.contentLow = static_cast<int64_t>(record.content.low);
    encoded.generation = record.generation;
    encoded.crashedServers.assign(record.crashedServers.begin(), record.crashedServers.end());
    encoded.blockedForMs = millisecondsUntil(record.blockedUntil);
    return encoded;
}

CrashRecord fromWire(const wire::CrashRecord& encoded)
{
    CrashRecord record;
    record.content = { static_cast<uint64_t>(encoded.contentHigh), static_cast<uint64_t>(encoded.contentLow) };
    record.generation = encoded.generation;
    record.crashedServers = { encoded.crashedServers.begin(), encoded.crashedServers.end() };
    const std::chrono::milliseconds blockedFor(encoded.blockedForMs);
    if (blockedFor.count() > 0)
        record.blockedUntil = now() + std::min<Duration>(blockedFor, CrashRegister::longestBlock);
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

bool CrashGuard::admit(const ContentId& content)
{
    const CrashAdmission admission = register_.admit(content, now());
    if (admission == CrashAdmission::Trial) {
        log(Event::ContentTried, { { "content", content.text() } });
        publish(content);
    }
    return admission != CrashAdmission::Blocked;
}

std::optional<Instant> CrashGuard::blockedUntil(const ContentId& content) const
{
    const Instant end = register_.blockedUntil(content);
    if (end <= now())
        return std::nullopt;
    return end;
}

std::set<std::string> CrashGuard::serversToAvoid(const ContentId& content) const
{
    if (!register_.isSuspect(content))
        return {};
    return register_.serversWithOtherSuspects(content);
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
    if (!register_.onAnswered(attempt.content, now()))
        return;
    publishCleared(attempt.content);
}

void CrashGuard::publishCleared(const ContentId& content)
{
    log(Event::ContentCleared, { { "content", content.text() } });
    publish(content);
}

void CrashGuard::onCrash(const ServerAttempt& attempt)
{
    if (!register_.onCrash(attempt.content, attempt.start.text(), now()))
        return;
    const CrashRecord record = register_.record(attempt.content);
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
        const CrashMerge outcome = register_.merge(received, now());
        if (outcome == CrashMerge::Voided)
            publishCleared(received.content);
        if (outcome != CrashMerge::Changed)
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
    if (register_.merge(record, now()) == CrashMerge::Unchanged)
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
