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

int64_t millisecondsSince(Instant instant)
{
    return std::max<int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now() - instant).count(), 0);
}

/// A time that a peer has named, from -longest to longest.
Duration boundedTime(int64_t milliseconds, Duration longest)
{
    const int64_t most = std::chrono::duration_cast<std::chrono::milliseconds>(longest).count();
    return std::chrono::milliseconds(std::clamp(milliseconds, -most, most));
}

/// The past if the time is not positive.
Instant instantAfter(int64_t milliseconds, Duration longest)
{
    return milliseconds > 0 ? now() + boundedTime(milliseconds, longest) : Instant::min();
}

wire::FailedTrial toWire(const FailedTrial& failed)
{
    wire::FailedTrial encoded;
    encoded.serverStart = failed.serverStart;
    encoded.isLate = failed.isLate;
    return encoded;
}

wire::CrashTrial toWire(const CrashTrial& trial)
{
    wire::CrashTrial encoded;
    encoded.round = trial.round;
    encoded.ticket = static_cast<int64_t>(trial.ticket);
    encoded.phase = static_cast<int32_t>(trial.phase);
    encoded.server = trial.server;
    if (trial.phase != CrashTrial::Phase::Ended) {
        encoded.sendInMs = std::chrono::duration_cast<std::chrono::milliseconds>(trial.sendAt - now()).count();
        encoded.leftMs = millisecondsUntil(trial.until);
    }
    return encoded;
}

CrashTrial fromWire(const wire::CrashTrial& encoded)
{
    const int32_t lastPhase = static_cast<int32_t>(CrashTrial::Phase::Ended);
    CrashTrial trial;
    trial.round = encoded.round;
    trial.ticket = static_cast<uint64_t>(encoded.ticket);
    trial.phase = static_cast<CrashTrial::Phase>(std::clamp(encoded.phase, 0, lastPhase));
    trial.server = encoded.server;
    if (trial.phase == CrashTrial::Phase::Ended)
        return trial;
    trial.sendAt = now() + boundedTime(encoded.sendInMs, CrashRegister::trialTime);
    trial.until = instantAfter(encoded.leftMs, CrashRegister::trialTime);
    return trial;
}

wire::CrashRecord toWire(const CrashRecord& record)
{
    wire::CrashRecord encoded;
    encoded.contentHigh = static_cast<int64_t>(record.content.high);
    encoded.contentLow = static_cast<int64_t>(record.content.low);
    encoded.generation = record.generation;
    encoded.crashedServers.assign(record.crashedServers.begin(), record.crashedServers.end());
    for (const FailedTrial& failed : record.failedTrials)
        encoded.failedTrials.push_back(toWire(failed));
    encoded.blockedForMs = millisecondsUntil(record.blockedUntil);
    encoded.trial = toWire(record.trial);
    encoded.heldForMs = record.thresholdAt == never ? -1 : millisecondsSince(record.thresholdAt);
    encoded.isOwed = record.kind == ContentKind::Owed;
    return encoded;
}

CrashRecord fromWire(const wire::CrashRecord& encoded)
{
    CrashRecord record;
    record.content = { static_cast<uint64_t>(encoded.contentHigh), static_cast<uint64_t>(encoded.contentLow) };
    record.generation = encoded.generation;
    record.crashedServers = { encoded.crashedServers.begin(), encoded.crashedServers.end() };
    for (const wire::FailedTrial& failed : encoded.failedTrials)
        record.failedTrials.insert({ failed.serverStart, failed.isLate });
    record.kind = encoded.isOwed ? ContentKind::Owed : ContentKind::Call;
    record.blockedUntil = instantAfter(encoded.blockedForMs, CrashRegister::longestBlock);
    record.trial = fromWire(encoded.trial);
    if (encoded.heldForMs >= 0)
        record.thresholdAt = now() - boundedTime(encoded.heldForMs, CrashRegister::recordLifetime);
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
    , random_(seed)
{
}

bool CrashGuard::admit(const ContentId& content, const std::string& server)
{
    std::uniform_int_distribution<uint64_t> anyTicket(1);
    const CrashAdmission admission = register_.admit(content, server, anyTicket(random_), now());
    if (admission == CrashAdmission::Trial)
        log(Event::ContentTried, { { "content", content.text() }, { "server", server } });
    if (admission == CrashAdmission::Trial || admission == CrashAdmission::Announced)
        tellPeers(register_.record(content), nullptr);
    return admission == CrashAdmission::Admitted || admission == CrashAdmission::Trial;
}

asio::awaitable<bool> CrashGuard::admitUntil(ContentId content, std::string server, Instant deadline)
{
    while (!admit(content, server)) {
        if (blockedUntil(content) || now() >= deadline)
            co_return false;
        co_await sleepFor(nextCheckAt(content) - now());
    }
    co_return true;
}

std::optional<std::string> CrashGuard::announcedServer(const ContentId& content) const
{
    const auto trial = register_.ownAnnouncement(content, now());
    return trial ? std::optional(trial->server) : std::nullopt;
}

Instant CrashGuard::nextCheckAt(const ContentId& content) const
{
    const auto trial = register_.ownAnnouncement(content, now());
    const Instant interval = now() + trialCheckInterval;
    return trial && trial->sendAt > now() ? std::min(trial->sendAt, interval) : interval;
}

std::optional<Instant> CrashGuard::blockedUntil(const ContentId& content) const
{
    const Instant end = register_.blockedUntil(content);
    if (end <= now() || register_.isPending(content) || register_.ownAnnouncement(content, now()))
        return std::nullopt;
    return end;
}

bool CrashGuard::isPending(const ContentId& content) const
{
    if (const auto trial = register_.ownAnnouncement(content, now()))
        return trial->sendAt > now();
    return register_.isPending(content) && register_.blockedUntil(content) > now();
}

void CrashGuard::onRefused(const ServerAttempt& attempt)
{
    detector_.onServerAnswered(attempt.start);
    endTrial(attempt, true);
}

void CrashGuard::onMisdirected(const ServerAttempt& attempt)
{
    endTrial(attempt, true);
}

void CrashGuard::onNotSent(const ServerAttempt& attempt)
{
    endTrial(attempt, false);
}

void CrashGuard::endTrial(const ServerAttempt& attempt, bool wasReceived)
{
    if (register_.onNotRun(attempt.content, attempt.sentAt, wasReceived, now()))
        tellPeers(register_.record(attempt.content), nullptr);
}

std::set<std::string> CrashGuard::serversToAvoid(const ContentId& content) const
{
    if (!register_.isSuspect(content))
        return {};
    std::set<std::string> servers = serversOnTrial(content);
    servers.merge(register_.serversWithOtherSuspects(content));
    return servers;
}

bool CrashGuard::isTakenByOther(const ContentId& content, const std::string& server) const
{
    return register_.isSuspect(content)
        && (register_.isServerTaken(content, server, now())
            || register_.serversWithOtherSuspects(content).contains(server));
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
    tellPeers(record, nullptr);
    listener_.onCrashRecord(record);
}

void CrashGuard::tellPeers(const CrashRecord& record, const PeerConnection* origin)
{
    wire::CrashNotice notice;
    notice.records.push_back(toWire(record));
    listener_.publishCrashes(wire::encode(notice), origin);
}

void CrashGuard::onNotice(const PeerConnection& origin, const std::string& payload)
{
    const auto notice = wire::decode<wire::CrashNotice>(payload);
    wire::CrashNotice changes;
    for (const wire::CrashRecord& encoded : notice.records) {
        const CrashRecord received = fromWire(encoded);
        const CrashRecord before = register_.record(received.content);
        if (!register_.merge(received, now()))
            continue;
        const CrashRecord record = register_.record(received.content);
        changes.records.push_back(toWire(record));
        // News of a trial alone are not kept.
        if (!record.isSameButTrial(before))
            listener_.onCrashRecord(record);
    }
    if (!changes.records.empty())
        listener_.publishCrashes(wire::encode(changes), &origin);
}

void CrashGuard::restore(const CrashRecord& record)
{
    if (!register_.merge(record, now()))
        return;
    tellPeers(register_.record(record.content), nullptr);
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
