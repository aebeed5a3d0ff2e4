#include "DutyHistory.h"

#include <fmt/format.h>

namespace endiveroad::io::test {

namespace {

/// A late call is carried out at most this long after it was sent. Where the API checks no tokens, holders exclude each
/// other for at least the lifetime of the lease after the last call of the earlier one has timed out.
constexpr unsigned maxLateMs = 4000;
constexpr unsigned maxCheckedLateMs = 9000;

class TextDutyProtocol : public DutyProtocol {
public:
    HttpRequest encodeUsage(const UsageReport& report, const DutyAuthority& authority) const override
    {
        PendingReports single;
        single.fix(report);
        HttpRequest request;
        request.headers.emplace_back("Holder", authority.holder);
        request.headers.emplace_back("Token", std::to_string(authority.fencingToken));
        request.body = single.encode();
        return request;
    }
    HttpRequest encodeScaleOrder(const ScaleOrder&, const DutyAuthority&) const override { return {}; }
    DutyOutcome decodeOutcome(const HttpResponse& response) const override
    {
        if (response.isSuccess())
            return DutyOutcome::Done;
        return response.status == 409 ? DutyOutcome::Fenced : DutyOutcome::Rejected;
    }
};

const TextDutyProtocol protocol;

std::string coordinatorName(size_t index)
{
    return fmt::format("c{}", index);
}

std::string entryName(size_t index)
{
    return fmt::format("e{}", index);
}

size_t indexOf(const std::string& name)
{
    return static_cast<size_t>(name.back() - '0');
}

} // namespace

struct DutyHistory::Coordinator : DutyPeers, DutyTransport {
    Coordinator(DutyHistory& owner, size_t number, int64_t incarnation)
        : history(owner)
        , index(number)
        , process(fmt::format("{}/{}", coordinatorName(number), incarnation))
        , store(history.contents, history.random_, storeFaultPercent,
              [&owner](Instant at, std::function<void()> action) { owner.scheduled_.emplace(at, std::move(action)); })
        , context(std::make_unique<asio::io_context>())
        , holder(*context, coordinatorName(number), incarnation, history.settings, store, protocol, *this, *this)
    {
        spawn(context->get_executor(), [this] { return holder.runLease(); });
        spawn(context->get_executor(), [this] { return holder.runReports(); });
        spawn(context->get_executor(), [this] { return holder.runNotices(); });
    }
    ~Coordinator() override { context.reset(); }

    bool isDutyCandidate() const override
    {
        for (size_t other = 0; other < index; ++other) {
            if (history.isReachable(coordinatorName(index), coordinatorName(other)))
                return false;
        }
        return true;
    }
    bool mayHoldDuties() const override { return !isDraining; }

    void announceHolder(const wire::DutyHolderNotice& notice) override
    {
        DutyHistory& all = history;
        const std::string self = coordinatorName(index);
        for (size_t other = 0; other < coordinatorCount; ++other) {
            if (other != index)
                all.post(self, coordinatorName(other),
                    [&all, other, notice] { all.coordinators_[other]->holder.onHolder(notice); });
        }
        for (size_t entry = 0; entry < entryCount; ++entry)
            all.post(self, entryName(entry), [&all, entry, notice] { all.onHolder(entry, notice); });
    }

    void sendUsage(const std::string& coordinator, const wire::UsageNotice& notice) override
    {
        history.postUsage(coordinatorName(index), coordinator, notice);
    }

    asio::awaitable<HttpResponse> send(HttpRequest request, Instant deadline) override
    {
        return history.callApi(index, process, std::move(request), deadline);
    }

    DutyHistory& history;
    size_t index;
    std::string process;
    unsigned storeFaultPercent = 0;
    UnreliableStore store;
    std::unique_ptr<asio::io_context> context;
    DutyHolder holder;
    bool isDraining = false;
    bool isPaused = false;
    Instant pausedAt;
};

struct DutyHistory::Entry : UsagePeers {
    Entry(DutyHistory& owner, size_t number, int64_t incarnation)
        : history(owner)
        , index(number)
        , context(std::make_unique<asio::io_context>())
        , reporter(*context, entryName(number), incarnation, history.settings.usageWindow, *this)
    {
        spawn(context->get_executor(), [this] { return reporter.run(); });
    }
    ~Entry() override { context.reset(); }

    std::vector<std::string> coordinators() const override
    {
        std::vector<std::string> names;
        for (size_t i = 0; i < coordinatorCount; ++i) {
            if (history.isReachable(entryName(index), coordinatorName(i)))
                names.push_back(coordinatorName(i));
        }
        return names;
    }

    void sendUsage(const std::string& coordinator, const wire::UsageNotice& notice) override
    {
        history.postUsage(entryName(index), coordinator, notice);
    }

    DutyHistory& history;
    size_t index;
    std::unique_ptr<asio::io_context> context;
    UsageReporter reporter;
};

DutyHistory::DutyHistory(uint64_t seed, bool areTokensChecked)
    : random_(seed)
{
    settings.api = Address { "127.0.0.1", 1 };
    settings.reportsUsage = true;
    settings.areTokensChecked = areTokensChecked;
    contents.useLeases();
    for (size_t i = 0; i < coordinatorCount; ++i)
        startCoordinator(i);
    for (size_t i = 0; i < entryCount; ++i)
        startEntry(i);
}

DutyHistory::~DutyHistory() = default;

void DutyHistory::startCoordinator(size_t index)
{
    // Incarnations are wall time, and differ.
    lastIncarnation_ = std::max(lastIncarnation_ + 1, wallMs());
    coordinators_[index] = std::make_unique<Coordinator>(*this, index, lastIncarnation_);
    opening[index] = 0;
    underWay[index] = 0;
    reconnect(coordinatorName(index));
}

void DutyHistory::killCoordinator(size_t index)
{
    coordinators_[index].reset();
}

void DutyHistory::startEntry(size_t index)
{
    lastIncarnation_ = std::max(lastIncarnation_ + 1, wallMs());
    entries_[index] = std::make_unique<Entry>(*this, index, lastIncarnation_);
}

void DutyHistory::killEntry(size_t index)
{
    entries_[index].reset();
}

void DutyHistory::pause(size_t index, bool isPaused)
{
    Coordinator& coordinator = *coordinators_[index];
    if (coordinator.isPaused && !isPaused && time.now() > coordinator.pausedAt + silenceLimit)
        reconnect(coordinatorName(index));
    if (!coordinator.isPaused)
        coordinator.pausedAt = time.now();
    coordinator.isPaused = isPaused;
}

void DutyHistory::separate(const std::string& a, const std::string& b, bool isSeparated)
{
    if (isSeparated) {
        separations_.insert(std::minmax(a, b));
        return;
    }
    separations_.erase(std::minmax(a, b));
    for (const std::string& name : { a, b }) {
        if (name.front() == 'c')
            reconnect(name);
    }
}

void DutyHistory::reconnect(const std::string& coordinator)
{
    for (size_t i = 0; i < entryCount; ++i)
        post(coordinator, entryName(i), [this, i, coordinator] { entries_[i]->reporter.onCoordinatorUp(coordinator); });
}

void DutyHistory::calm()
{
    storeFaultPercent = 0;
    apiFaultPercent = 0;
    withoutStore.clear();
    withoutApi.clear();
    separations_.clear();
    for (size_t i = 0; i < coordinatorCount; ++i) {
        if (coordinators_[i])
            pause(i, false);
        else
            startCoordinator(i);
        reconnect(coordinatorName(i));
    }
    for (size_t i = 0; i < entryCount; ++i) {
        if (!entries_[i])
            startEntry(i);
    }
}

void DutyHistory::drain(size_t index)
{
    Coordinator& coordinator = *coordinators_[index];
    coordinator.isDraining = true;
    spawn(coordinator.context->get_executor(), [&coordinator] { return coordinator.holder.end(); });
}

std::optional<size_t> DutyHistory::holder() const
{
    for (size_t i = 0; i < coordinatorCount; ++i) {
        if (coordinators_[i] && !coordinators_[i]->isPaused && coordinators_[i]->holder.isHolder())
            return i;
    }
    return std::nullopt;
}

bool DutyHistory::isRunning(const std::string& name) const
{
    if (name.front() == 'e')
        return entries_[indexOf(name)] != nullptr;
    const auto& coordinator = coordinators_[indexOf(name)];
    return coordinator && !coordinator->isDraining;
}

bool DutyHistory::isReachable(const std::string& a, const std::string& b) const
{
    for (const std::string& name : { a, b }) {
        if (!isRunning(name))
            return false;
        const bool isCoordinator = name.front() == 'c';
        if (!isCoordinator)
            continue;
        const Coordinator& coordinator = *coordinators_[indexOf(name)];
        if (coordinator.isPaused && time.now() > coordinator.pausedAt + silenceLimit)
            return false;
    }
    return !separations_.contains(std::minmax(a, b));
}

void DutyHistory::post(const std::string& from, const std::string& to, std::function<void()> action)
{
    if (!isReachable(from, to))
        return;
    const size_t index = indexOf(to);
    asio::io_context& context = to.front() == 'e' ? *entries_[index]->context : *coordinators_[index]->context;
    asio::post(context, std::move(action));
}

void DutyHistory::onHolder(size_t entry, const wire::DutyHolderNotice& notice)
{
    entries_[entry]->reporter.onHolder(notice);
}

void DutyHistory::postUsage(const std::string& from, const std::string& coordinator, const wire::UsageNotice& notice)
{
    const size_t index = indexOf(coordinator);
    post(from, coordinator, [this, index, notice] { coordinators_[index]->holder.onUsage(notice); });
}

void DutyHistory::makeTraffic()
{
    for (const auto& entry : entries_) {
        if (!entry || !hasTraffic || draw(20) != 0)
            continue;
        ReplicaRequest request;
        request.id = std::to_string(++lastRequest_);
        request.organisation = draw(3) == 0 ? "a" : "b";
        entry->reporter.onBegun(request, time.now());
        ++began[currentWindow()][request.organisation];
    }
}

void DutyHistory::advance(Duration duration)
{
    const Instant end = time.now() + duration;
    while (time.now() < end && violation.empty()) {
        time.advanceTo(time.now() + step);
        contents.endExpiredLeases();
        while (!scheduled_.empty() && scheduled_.top().first <= time.now()) {
            const auto action = scheduled_.top().second;
            scheduled_.pop();
            action();
        }
        makeTraffic();
        for (size_t i = 0; i < coordinatorCount; ++i) {
            if (!coordinators_[i] || coordinators_[i]->isPaused)
                continue;
            coordinators_[i]->storeFaultPercent = withoutStore.contains(i) ? 100 : storeFaultPercent;
            coordinators_[i]->context->restart();
            coordinators_[i]->context->poll();
        }
        for (const auto& entry : entries_) {
            if (!entry)
                continue;
            entry->context->restart();
            entry->context->poll();
        }
    }
}

asio::awaitable<HttpResponse> DutyHistory::callApi(
    size_t coordinator, std::string process, HttpRequest request, Instant deadline)
{
    const std::string holder = request.headers.at(0).second;
    const int64_t token = std::stoll(request.headers.at(1).second);
    const UsageReport report = PendingReports::decode(request.body).reports().at(0);
    ++opening[coordinator];
    co_await sleepFor(std::chrono::milliseconds(10 + draw(40)));
    --opening[coordinator];
    if (!request.maySend())
        throw ServerUnavailableError("the request may no longer be sent");
    sentTokens.push_back(token);
    ApiFault fault = ApiFault::None;
    if (draw(100) < apiFaultPercent)
        fault = static_cast<ApiFault>(1 + draw(4));
    fault = withoutApi.contains(coordinator) ? ApiFault::Unreachable : nextFault.value_or(fault);
    nextFault.reset();
    const Duration answerTime = std::chrono::milliseconds(5 + draw(apiFaultPercent > 0 ? 800 : 10));
    HttpResponse response;
    ++underWay[coordinator];
    if (fault == ApiFault::None) {
        response.status = carryOut(process, holder, token, report);
        co_await sleepFor(answerTime);
    } else if (fault == ApiFault::Rejected) {
        response.status = 429;
        co_await sleepFor(answerTime);
    } else {
        const unsigned late
            = fault == ApiFault::Late ? draw(settings.areTokensChecked ? maxCheckedLateMs : maxLateMs) : 1;
        if (fault != ApiFault::Unreachable)
            scheduled_.emplace(time.now() + std::chrono::milliseconds(late),
                [this, process, holder, token, report] { carryOut(process, holder, token, report); });
        co_await sleepFor(deadline - time.now());
    }
    --underWay[coordinator];
    if (response.status == 0)
        throw OutcomeUnknownError("simulated fault: no answer");
    co_return response;
}

int DutyHistory::carryOut(
    const std::string& process, const std::string& holder, int64_t token, const UsageReport& report)
{
    if (settings.areTokensChecked && token < highestToken)
        return 409;
    checkOrder(process, holder, token);
    const auto [known, isNew] = reported.emplace(report.window, report.counts);
    if (!isNew && known->second != report.counts)
        violation = fmt::format("two reports of window {} with different counts", report.window);
    acts[report.window].push_back({ time.now(), process, token });
    return 200;
}

void DutyHistory::checkOrder(const std::string& process, const std::string& holder, int64_t token)
{
    if (token < highestToken)
        violation = fmt::format("{} ms: token {} after {}", wallMs(), token, highestToken);
    highestToken = std::max(highestToken, token);
    if (processOfToken_.emplace(token, process).first->second != process)
        violation = fmt::format("{} ms: two processes act under token {}", wallMs(), token);
    const auto last = lastActs_.find(holder);
    const bool isReturn = last != lastActs_.end() && lastHolder_ != holder;
    if (isReturn && time.now() < last->second + settings.leaseTime)
        violation = fmt::format("{} ms: {} acts again within the lease after {}", wallMs(), holder, lastHolder_);
    lastActs_[holder] = time.now();
    lastHolder_ = holder;
}

size_t DutyHistory::mostActs(int64_t firstWindow, int64_t lastWindow) const
{
    size_t most = 0;
    for (auto act = acts.lower_bound(firstWindow); act != acts.end() && act->first <= lastWindow; ++act)
        most = std::max(most, act->second.size());
    return most;
}

void DutyHistory::requireReports(int64_t firstWindow, int64_t lastWindow, bool isExact)
{
    for (int64_t window = firstWindow; window <= lastWindow && violation.empty(); ++window) {
        const auto found = reported.find(window);
        if (found == reported.end()) {
            violation = fmt::format("window {} was not reported", window);
            break;
        }
        const UsageCounts& counts = found->second;
        if (isExact && counts != began[window])
            violation = fmt::format("window {} was reported with other counts than requests began", window);
        for (const auto& [organisation, requests] : counts) {
            if (requests > began[window][organisation])
                violation = fmt::format("window {} was reported with more requests than began", window);
        }
    }
}

} // namespace endiveroad::io::test
