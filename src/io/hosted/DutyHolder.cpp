#include "io/hosted/DutyHolder.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"
#include "io/Tasks.h"
#include "io/hosted/UsageReporter.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endiveroad::io {

namespace {

/// Interval at which coroutines check the condition that they wait for.
constexpr Duration pollInterval = std::chrono::milliseconds(100);

/// Pause after a failed call to the store or to the platform.
constexpr Duration retryPause = std::chrono::milliseconds(250);

constexpr Duration endPollInterval = std::chrono::milliseconds(20);

/// Parts of the lease's lifetime. A call to the platform has to end while the lease is valid, and a renewal that fails
/// must leave time for another.
constexpr int callTimeoutDivisor = 2;
constexpr int storeTimeoutDivisor = 3;

/// The calls of this process keep to less than the accepted rate: the API may measure it over other intervals.
constexpr double usedRateShare = 0.8;

constexpr int tooManyRequestsStatus = 429;
constexpr int firstServerErrorStatus = 500;

std::string encodeHolder(const std::string& name, int64_t incarnation, int64_t lease)
{
    const nlohmann::json document { { "holder", name }, { "incarnation", incarnation }, { "lease", lease } };
    return document.dump();
}

/// Revision of the key with this value; 0 if there is none.
int64_t revisionOf(const std::vector<Document>& documents, const std::string& key, const std::string& value)
{
    const auto found = std::find_if(documents.begin(), documents.end(),
        [&](const Document& document) { return document.key == key && document.value == value; });
    return found == documents.end() ? 0 : found->revision;
}

} // namespace

asio::awaitable<HttpResponse> HttpDutyTransport::send(HttpRequest request, Instant deadline)
{
    request.latestUse = now() - connectionRestTime;
    co_return co_await http_.request(address_, std::move(request), deadline);
}

DutyHolder::DutyHolder(asio::io_context& context, std::string name, int64_t incarnation, DutySettings settings,
    MetadataStore& store, const DutyProtocol& protocol, DutyTransport& transport, DutyPeers& peers)
    : name_(std::move(name))
    , incarnation_(incarnation)
    , settings_(std::move(settings))
    , store_(store)
    , protocol_(protocol)
    , transport_(transport)
    , peers_(peers)
    , changed_(context)
    , lease_(settings_.leaseTime, now())
{
}

DutyTime DutyHolder::time()
{
    return { now(), wallMs() };
}

asio::awaitable<void> DutyHolder::runLease()
{
    while (!hasEnded_) {
        Duration pause = pollInterval;
        try {
            co_await keepLease();
        } catch (const Error& error) {
            log(Event::StoreUnavailable, { { "calling", "duties" }, { "reason", error.what() } });
            pause = retryPause;
        }
        co_await sleepFor(pause);
    }
}

asio::awaitable<void> DutyHolder::keepLease()
{
    if (lease_.isHeld() && !peers_.mayHoldDuties()) {
        co_await endLease();
        co_return;
    }
    if (lease_.isRenewalDue(now())) {
        co_await renew();
        co_return;
    }
    if (peers_.mayHoldDuties() && lease_.mayAcquire(peers_.isDutyCandidate(), now()))
        co_await acquire();
}

asio::awaitable<void> DutyHolder::acquire()
{
    lease_.onAttempt(now());
    const Duration timeout = settings_.leaseTime / storeTimeoutDivisor;
    const auto present = co_await store_.read(holderKey, now() + timeout);
    if (present)
        co_return;
    const DutyTime requestedAt = time();
    const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.leaseTime);
    const int64_t lease = co_await store_.grantLease(lifetime, now() + timeout);
    const std::string value = encodeHolder(name_, incarnation_, lease);
    StoreTransaction transaction;
    transaction.conditions.push_back({ holderKey, 0 });
    transaction.puts.push_back({ holderKey, value, lease });
    const CommitResult result = co_await store_.commit(std::move(transaction), now() + timeout);
    // A call that was carried out twice finds its own key.
    const int64_t token = result.isCommitted ? result.revision : revisionOf(result.present, holderKey, value);
    if (token == 0)
        co_return;
    storeLease_ = lease;
    lease_.onAcquired(token, requestedAt, now());
    log(Event::DutiesAcquired, { { "token", std::to_string(token) } });
    changed_.notifyAll();
    if (hasEnded_)
        co_await endLease();
}

asio::awaitable<void> DutyHolder::renew()
{
    const DutyTime sentAt = time();
    const int64_t token = lease_.token();
    const bool isRenewed = co_await store_.renewLease(storeLease_, now() + settings_.leaseTime / storeTimeoutDivisor);
    if (lease_.token() != token)
        co_return;
    if (isRenewed)
        lease_.onRenewed(sentAt);
    else
        lose("the lease has ended");
}

void DutyHolder::lose(const std::string& reason)
{
    log(Event::DutiesLost, { { "token", std::to_string(lease_.token()) }, { "reason", reason } });
    lease_.onLost(now());
    storeLease_ = 0;
}

asio::awaitable<void> DutyHolder::endLease()
{
    isEnding_ = true;
    while (callsUnderWay_ > 0)
        co_await sleepFor(endPollInterval);
    const int64_t lease = storeLease_;
    const int64_t token = lease_.token();
    storeLease_ = 0;
    lease_.onLost(now());
    isEnding_ = false;
    if (lease == 0)
        co_return;
    log(Event::DutiesEnded, { { "token", std::to_string(token) } });
    co_await store_.endLease(lease, now() + settings_.leaseTime / storeTimeoutDivisor);
}

asio::awaitable<void> DutyHolder::end()
{
    hasEnded_ = true;
    try {
        co_await endLease();
    } catch (const Error& error) {
        // The lease ends by itself.
        log(Event::StoreUnavailable, { { "calling", "duties" }, { "reason", error.what() } });
    }
}

asio::awaitable<void> DutyHolder::runNotices()
{
    while (!hasEnded_) {
        const Duration remaining = lease_.remaining(time());
        if (remaining > Duration::zero()) {
            wire::DutyHolderNotice notice;
            notice.holder = name_;
            notice.fencingToken = lease_.token();
            const bool isKnown = pendingToken_ == lease_.token();
            notice.reportedWindow = isKnown ? pending_.lastWindow().value_or(-1) : -1;
            notice.validForMs = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
            peers_.announceHolder(notice);
        }
        co_await changed_.wait(now() + noticeInterval);
    }
}

void DutyHolder::onHolder(const wire::DutyHolderNotice& notice)
{
    if (notice.holder == name_)
        return;
    const int64_t ownToken = lease_.token();
    lease_.onHolder(notice.fencingToken, now());
    if (ownToken != 0 && !lease_.isHeld()) {
        storeLease_ = 0;
        log(Event::DutiesLost,
            { { "token", std::to_string(ownToken) }, { "reason", "another holder: " + notice.holder } });
    }
    ledger_.fixThrough(notice.reportedWindow);
    if (notice.fencingToken <= informedToken_)
        return;
    informedToken_ = notice.fencingToken;
    for (const auto& [source, windows] : ledger_.openWindows())
        peers_.sendUsage(notice.holder, toWire(source.first, source.second, windows));
}

void DutyHolder::onUsage(const wire::UsageNotice& notice)
{
    int64_t late = 0;
    for (const wire::UsageWindow& row : notice.windows) {
        UsageCounts counts;
        for (const wire::OrganisationUsage& usage : row.counts)
            counts[usage.organisation] += usage.requests;
        late += ledger_.add({ notice.entry, notice.incarnation }, row.window, counts);
    }
    if (late == 0 || !isHolder())
        return;
    processMetrics().count(Counter::UsageRequestsLate, static_cast<uint64_t>(late));
    log(Event::UsageCountsLate, { { "entry", notice.entry }, { "requests", std::to_string(late) } });
}

bool DutyHolder::mayCall(int64_t token, Instant deadline) const
{
    const bool isSameLease = token != 0 && lease_.token() == token;
    return isSameLease && !isEnding_ && !hasEnded_
        && lease_.mayAct(time(), std::max(deadline - now(), Duration::zero()));
}

asio::awaitable<void> DutyHolder::runReports()
{
    while (!hasEnded_) {
        Duration pause = pollInterval;
        try {
            co_await report();
        } catch (const Error& error) {
            log(Event::StoreUnavailable, { { "calling", "usage" }, { "reason", error.what() } });
            pause = retryPause;
        }
        co_await sleepFor(pause);
    }
}

asio::awaitable<void> DutyHolder::report()
{
    const int64_t token = lease_.token();
    if (!settings_.reportsUsage || token == 0)
        co_return;
    if (pendingToken_ != token)
        co_await loadPending(token);
    if (!mayCall(token, now()))
        co_return;
    co_await fixReports(token);
    co_await sendReports(token);
}

asio::awaitable<void> DutyHolder::loadPending(int64_t token)
{
    const auto document = co_await store_.read(usageKey, now() + settings_.leaseTime / storeTimeoutDivisor);
    pending_ = document ? PendingReports::decode(document->value) : PendingReports();
    pendingRevision_ = document ? document->revision : 0;
    pendingToken_ = token;
    reported_.clear();
    if (pending_.lastWindow())
        ledger_.fixThrough(*pending_.lastWindow());
    changed_.notifyAll();
}

int64_t DutyHolder::firstWindow() const
{
    const Duration length = settings_.usageWindow;
    const int64_t slackMs = std::chrono::duration_cast<std::chrono::milliseconds>(firstWindowSlack).count();
    const int64_t started = usageWindowAt(incarnation_, length);
    const bool isWhole = usageWindowStartMs(started, length) == incarnation_;
    const int64_t firstWhole = isWhole ? started : started + 1;
    // Entries that started earlier may have counted before.
    const int64_t firstCounted = ledger_.firstOpenWindow().value_or(firstWhole);
    const int64_t earliest = usageWindowAt(incarnation_ - slackMs, length);
    return std::min(firstWhole, std::max(firstCounted, earliest));
}

size_t DutyHolder::addDueReports(PendingReports& pending) const
{
    const Duration length = settings_.usageWindow;
    const int64_t collectionMs = std::chrono::duration_cast<std::chrono::milliseconds>(collectionTime).count();
    size_t added = 0;
    while (pending.reports().size() < maxPending) {
        const int64_t window = pending.lastWindow() ? *pending.lastWindow() + 1 : firstWindow();
        if (wallMs() < usageWindowStartMs(window + 1, length) + collectionMs)
            break;
        pending.fix({ window, ledger_.sum(window) });
        ++added;
    }
    return added;
}

asio::awaitable<void> DutyHolder::fixReports(int64_t token)
{
    PendingReports next = pending_;
    next.remove(reported_);
    const size_t added = addDueReports(next);
    if (added == 0)
        co_return;
    StoreTransaction transaction;
    transaction.conditions.push_back({ usageKey, pendingRevision_ });
    transaction.conditions.push_back({ holderKey, token });
    transaction.puts.push_back({ usageKey, next.encode(), 0 });
    // If the call has no answer, it may still take effect. The document is read again before the next change, whose
    // condition then excludes that of this one.
    pendingToken_ = 0;
    const CommitResult result
        = co_await store_.commit(std::move(transaction), now() + settings_.leaseTime / storeTimeoutDivisor);
    if (!result.isCommitted)
        throw StoreUnavailableError("the usage reports or the holder of the duties have changed in the store");
    pending_ = std::move(next);
    pendingRevision_ = result.revision;
    pendingToken_ = token;
    reported_.clear();
    ledger_.fixThrough(*pending_.lastWindow());
    log(Event::UsageFixed,
        { { "lastWindow", std::to_string(*pending_.lastWindow()) }, { "windows", std::to_string(added) },
            { "pending", std::to_string(pending_.reports().size()) } });
    changed_.notifyAll();
}

asio::awaitable<void> DutyHolder::sendReports(int64_t token)
{
    const std::vector<UsageReport> reports = pending_.reports();
    for (const UsageReport& report : reports) {
        if (reported_.contains(report.window))
            continue;
        if (!co_await sendReport(report, token))
            break;
    }
}

asio::awaitable<bool> DutyHolder::sendReport(const UsageReport& report, int64_t token)
{
    if (now() < nextCallAt_)
        co_await sleepFor(nextCallAt_ - now());
    const Instant deadline = now() + settings_.leaseTime / callTimeoutDivisor;
    if (pendingToken_ != token || !mayCall(token, deadline))
        co_return false;
    const double callSeconds = 1 / std::max(settings_.callsPerSecond * usedRateShare, 1e-3);
    nextCallAt_ = now() + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(callSeconds));
    DutyAuthority authority;
    authority.holder = name_;
    authority.fencingToken = token;
    HttpRequest request = protocol_.encodeUsage(report, authority);
    request.maySend = [this, token, deadline] { return mayCall(token, deadline); };
    std::string failure;
    HttpResponse response;
    ++callsUnderWay_;
    try {
        response = co_await transport_.send(std::move(request), deadline);
    } catch (const Error& error) {
        failure = error.what();
    }
    --callsUnderWay_;
    if (failure.empty())
        co_return finishReport(report, token, protocol_.decodeOutcome(response), response.status);
    processMetrics().count(Counter::UsageReportsFailed);
    log(Event::UsageReportFailed, { { "window", std::to_string(report.window) }, { "reason", failure } });
    nextCallAt_ = std::max(nextCallAt_, now() + retryPause);
    co_return false;
}

bool DutyHolder::finishReport(const UsageReport& report, int64_t token, DutyOutcome outcome, int status)
{
    const std::string window = std::to_string(report.window);
    if (outcome == DutyOutcome::Fenced) {
        processMetrics().count(Counter::UsageReportsFenced);
        log(Event::DutiesFenced, { { "token", std::to_string(token) }, { "window", window } });
        // The store's lease ends by itself, as it is no longer renewed.
        lease_.onFenced(token, now());
        return false;
    }
    if (outcome == DutyOutcome::Rejected) {
        processMetrics().count(Counter::UsageReportsFailed);
        log(Event::UsageReportFailed,
            { { "window", window }, { "reason", fmt::format("answered with status {}", status) } });
        nextCallAt_ = std::max(nextCallAt_, now() + retryPause);
        // A report that is refused for itself must not hold up those after it.
        return status < firstServerErrorStatus && status != tooManyRequestsStatus;
    }
    // The document may have been read again meanwhile.
    if (pendingToken_ == token)
        reported_.insert(report.window);
    processMetrics().count(Counter::UsageReportsDone);
    const int64_t dueMs = usageWindowStartMs(report.window + 1, settings_.usageWindow)
        + std::chrono::duration_cast<std::chrono::milliseconds>(settings_.usageReportTime).count();
    const int64_t lateMs = wallMs() - dueMs;
    log(Event::UsageReported, { { "window", window }, { "token", std::to_string(token) } });
    if (lateMs > 0) {
        processMetrics().count(Counter::UsageReportsLate);
        log(Event::UsageReportLate, { { "window", window }, { "lateMs", std::to_string(lateMs) } });
    }
    return true;
}

} // namespace endiveroad::io
