#include "io/hosted/RequestLimits.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

/// wire::ServerLimit::limit of a server that names none.
constexpr double noLimit = -1;

wire::ServerLimit toWire(const LimitRecord& record)
{
    wire::ServerLimit encoded;
    encoded.server = record.server.id;
    encoded.startedMs = record.server.startedMs;
    encoded.limit = record.limit.value_or(noLimit);
    encoded.issuer = record.number.issuer;
    encoded.sequence = record.number.sequence;
    return encoded;
}

LimitRecord fromWire(const wire::ServerLimit& encoded)
{
    LimitRecord record;
    record.server = { encoded.server, encoded.startedMs };
    if (encoded.limit >= 0)
        record.limit = encoded.limit;
    record.number = { encoded.issuer, encoded.sequence };
    return record;
}

std::string encodeNotice(const std::vector<LimitRecord>& records)
{
    wire::LimitNotice notice;
    for (const LimitRecord& record : records)
        notice.limits.push_back(toWire(record));
    return wire::encode(notice);
}

int64_t toMs(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

std::string limitText(const std::optional<double>& limit)
{
    return limit ? fmt::format("{}", *limit) : std::string();
}

} // namespace

RequestLimits::RequestLimits(asio::io_context& context, PermitPeers& peers, int64_t issuer)
    : context_(context)
    , peers_(peers)
    , issuer_(issuer)
    , permitted_(context)
{
}

std::optional<ServerPermit> RequestLimits::tryTake(const ServerIncarnation& receiver, RequestPath path)
{
    if (!limited_.isLimited(receiver))
        return ServerPermit(receiver, path, std::nullopt);
    const auto number = limited_.take(receiver, now());
    if (!number)
        return std::nullopt;
    return ServerPermit(receiver, path, number);
}

bool RequestLimits::mayTake(const ServerIncarnation& server) const
{
    return limited_.mayTake(server, now());
}

size_t RequestLimits::permits(const ServerIncarnation& server) const
{
    return limited_.permits(server, now());
}

PermitOutlook RequestLimits::outlook(const ServerIncarnation& server) const
{
    return limited_.outlook(server, now());
}

asio::awaitable<std::optional<ServerPermit>> RequestLimits::obtain(
    ServerIncarnation server, RequestPath path, int32_t priority, Instant deadline)
{
    while (true) {
        auto permit = tryTake(server, path);
        if (permit || now() >= deadline)
            co_return permit;
        demand(server, priority, 1, deadline);
        const Instant nextAt = limited_.outlook(server, now()).nextAt;
        const Instant askAgainAt = nextAt > now() ? nextAt : deadline;
        co_await permitted_.wait(std::min(deadline, askAgainAt));
    }
}

void RequestLimits::demand(const ServerIncarnation& server, int32_t priority, size_t count, Instant latestStart)
{
    const auto known = limited_.record(server);
    if (!known || limited_.outlook(server, now()).nextAt > now())
        return;
    const auto urgent = asks_.lower_bound({ server.id, std::numeric_limits<int32_t>::min() });
    if (urgent != asks_.end() && urgent->server == server.id && urgent->priority <= priority)
        return;
    wire::PermitRequest request;
    request.known = toWire(*known);
    request.process = peers_.processName();
    request.priority = priority;
    // What was used lately will be needed again, so that not each request costs a message.
    request.count = static_cast<int32_t>(std::max<size_t>({ count, limited_.recentUses(server, now()), 1 }));
    asks_.insert({ server.id, priority });
    spawn(context_.get_executor(), [this, server, request, latestStart] { return ask(server, request, latestStart); });
}

asio::awaitable<void> RequestLimits::ask(ServerIncarnation server, wire::PermitRequest request, Instant latestStart)
{
    const int32_t priority = request.priority;
    try {
        const wire::PermitAnswer answer = co_await decide(std::move(request), latestStart);
        applyAnswer(server, answer);
    } catch (const std::exception& error) {
        log(Event::PermitsUnavailable, { { "server", server.id }, { "reason", error.what() } });
        limited_.onDenied(server, now() + failurePause, Duration::zero());
    }
    asks_.erase({ server.id, priority });
    notifyPermit();
}

void RequestLimits::applyAnswer(const ServerIncarnation& server, const wire::PermitAnswer& answer)
{
    const LimitRecord record = fromWire(answer.limit);
    onRecord(record);
    const Duration interval = std::chrono::milliseconds(answer.intervalMs);
    if (answer.count > 0)
        limited_.onGrant(server, answer.count, interval, now());
    else if (record.limit)
        limited_.onDenied(server,
            now() + std::max<Duration>(std::chrono::milliseconds(answer.retryInMs), interval / deniedIntervalDivisor),
            interval);
}

asio::awaitable<wire::PermitAnswer> RequestLimits::decide(wire::PermitRequest request, Instant latestStart)
{
    std::string issuer = peers_.permitIssuer(request.known.server);
    if (issuer.empty())
        throw PeerUnavailableError("no coordinator can be reached");
    if (issuer == peers_.processName())
        co_return co_await issue(std::move(request), latestStart, nullptr);
    std::string payload = wire::encode(request);
    const std::string answer
        = co_await peers_.askIssuer(std::move(issuer), std::move(payload), latestStart + answerMargin);
    co_return wire::decode<wire::PermitAnswer>(answer);
}

asio::awaitable<std::string> RequestLimits::onRequest(
    std::string payload, Instant deadline, PeerCancellationPtr cancellation)
{
    auto request = wire::decode<wire::PermitRequest>(payload);
    const Instant latestStart = deadline - answerMargin;
    const std::string issuer = peers_.permitIssuer(request.known.server);
    wire::PermitAnswer answer;
    if (issuer == peers_.processName() || request.isForwarded) {
        answer = co_await issue(std::move(request), latestStart, std::move(cancellation));
    } else {
        request.isForwarded = true;
        answer = co_await decide(std::move(request), latestStart);
    }
    co_return wire::encode(answer);
}

RequestLimits::WaitersPtr RequestLimits::waitersOf(const ServerIncarnation& server)
{
    WaitersPtr& waiters = waiters_[server];
    if (!waiters)
        waiters = std::make_shared<Waiters>(context_);
    return waiters;
}

void RequestLimits::decideWaiting(const ServerIncarnation& server, Waiters& waiters)
{
    PermitQueue* queue = issuer_.queue(server);
    if (!queue)
        return;
    queue->setShare(peers_.issuerShare(), now());
    const std::vector<PermitDecision> decisions = queue->decide(now());
    for (const PermitDecision& decision : decisions)
        waiters.decisions[decision.ticket] = decision;
    if (!decisions.empty())
        waiters.changed.notifyAll();
}

asio::awaitable<wire::PermitAnswer> RequestLimits::issue(
    wire::PermitRequest request, Instant latestStart, PeerCancellationPtr cancellation)
{
    const LimitRecord known = fromWire(request.known);
    const ServerIncarnation server = known.server;
    if (const auto adopted = issuer_.onAsked(known, now()))
        publish(*adopted);
    wire::PermitAnswer answer;
    answer.count = 0;
    answer.retryInMs = 0;
    answer.intervalMs = 0;
    PermitQueue* queue = issuer_.queue(server);
    answer.limit = toWire(issuer_.record(server));
    if (!queue)
        co_return answer;
    const WaitersPtr waiters = waitersOf(server);
    PermitDemand demand { request.process, request.priority, request.count, latestStart };
    const uint64_t ticket = queue->add(std::move(demand), now());
    if (cancellation)
        cancellation->onCancel([waiters] { waiters->changed.notifyAll(); });
    decideWaiting(server, *waiters);
    while (!waiters->hasEnded && !waiters->decisions.contains(ticket)) {
        queue = issuer_.queue(server);
        if (!queue)
            break;
        if (cancellation && cancellation->isCancelled()) {
            queue->remove(ticket);
            break;
        }
        const Instant decisionAt = queue->nextDecisionAt();
        co_await waiters->changed.wait(std::min(decisionAt, latestStart + Duration(1)));
        if (!waiters->hasEnded)
            decideWaiting(server, *waiters);
    }
    if (cancellation)
        cancellation->onCancel(nullptr);
    const auto decided = waiters->decisions.find(ticket);
    if (decided != waiters->decisions.end()) {
        answer.count = decided->second.count;
        answer.retryInMs = std::max<int64_t>(toMs(decided->second.retryAt - now()), 0);
        waiters->decisions.erase(decided);
    }
    queue = issuer_.queue(server);
    if (queue)
        answer.intervalMs = toMs(queue->intervalOfProcess(now()));
    answer.limit = toWire(issuer_.record(server));
    co_return answer;
}

void RequestLimits::onAnswer(const ReplicaAnswer& answer, const ServerPermit& permit)
{
    const ServerIncarnation& server = permit.receiver();
    if (!answer.unknownLimitValue.empty())
        log(Event::LimitUnclear, { { "server", server.id }, { "value", answer.unknownLimitValue } });
    const bool isUnclear = !answer.unknownLimitValue.empty() && !answer.requestLimit;
    if (answer.verdict == ReplicaVerdict::ServerMismatch || isUnclear)
        return;
    const auto news = limited_.onAnswer(server, answer.requestLimit, permit.number(), now());
    if (!news)
        return;
    log(Event::ServerLimited, { { "server", server.id }, { "limit", limitText(news->limit) } });
    report(*news);
    if (!news->limit)
        notifyPermit();
}

void RequestLimits::report(const LimitRecord& news)
{
    const std::string issuer = peers_.permitIssuer(news.server.id);
    if (issuer == peers_.processName())
        hear(news);
    else if (!issuer.empty())
        peers_.reportToIssuer(issuer, encodeNotice({ news }));
}

void RequestLimits::hear(const LimitRecord& heard)
{
    const auto changed = issuer_.onHeard(heard, now());
    if (changed)
        publish(*changed);
    const auto waiters = waiters_.find(heard.server);
    if (waiters == waiters_.end())
        return;
    decideWaiting(heard.server, *waiters->second);
    waiters->second->changed.notifyAll();
}

void RequestLimits::publish(const LimitRecord& record)
{
    if (!record.limit) {
        const auto waiters = waiters_.find(record.server);
        if (waiters != waiters_.end()) {
            waiters->second->hasEnded = true;
            waiters->second->changed.notifyAll();
            waiters_.erase(waiters);
        }
    }
    peers_.publishLimits(encodeNotice({ record }));
    onRecord(record);
}

void RequestLimits::onRecord(const LimitRecord& record)
{
    if (!limited_.onRecord(record, now()))
        return;
    log(Event::ServerLimited, { { "server", record.server.id }, { "limit", limitText(record.limit) } });
    if (!record.limit)
        notifyPermit();
}

std::optional<std::string> RequestLimits::onHeardNotice(const std::string& payload)
{
    std::vector<LimitRecord> corrections;
    const auto notice = wire::decode<wire::LimitNotice>(payload);
    for (const wire::ServerLimit& encoded : notice.limits) {
        const LimitRecord heard = fromWire(encoded);
        hear(heard);
        const LimitRecord inForce = issuer_.record(heard.server);
        const bool isRefused = !heard.limit && inForce.limit;
        if (isRefused)
            corrections.push_back(inForce);
    }
    return corrections.empty() ? std::nullopt : std::optional(encodeNotice(corrections));
}

void RequestLimits::onInForceNotice(const std::string& payload)
{
    const auto notice = wire::decode<wire::LimitNotice>(payload);
    for (const wire::ServerLimit& encoded : notice.limits)
        onRecord(fromWire(encoded));
}

std::optional<std::string> RequestLimits::encodeAll() const
{
    const std::vector<LimitRecord> records = limited_.all();
    if (records.empty())
        return std::nullopt;
    return encodeNotice(records);
}

void RequestLimits::onDirectory(const Directory& directory)
{
    limited_.retain(directory, now());
    issuer_.retain(directory);
    std::erase_if(waiters_, [this](const auto& entry) {
        const bool hasEnded = !issuer_.queue(entry.first);
        if (hasEnded) {
            entry.second->hasEnded = true;
            entry.second->changed.notifyAll();
        }
        return hasEnded;
    });
}

void RequestLimits::notifyPermit()
{
    permitted_.notifyAll();
    if (onPermit_)
        onPermit_();
}

} // namespace endiveroad::io
