#include "JobHistoryProcess.h"

#include <boost/asio/post.hpp>

namespace endiveroad::io::test {

using namespace std::chrono_literals;

namespace {

constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusUnknown = 404;

/// Time after which the notices of a coordinator that is seen again have arrived.
constexpr Duration newsTime = 250ms;

/// Results that a caller has read longer ago than this have to be readable at every coordinator.
constexpr Duration settleTime = 1s;

} // namespace

JobHistory::JobHistory(uint64_t seed)
    : random_(seed)
{
    for (size_t i = 0; i < coordinators; ++i) {
        processes_.emplace_back();
        startProcess(i);
    }
}

JobHistory::~JobHistory() = default;

int JobHistory::listedItems() const
{
    size_t listed = 0;
    for (const auto& [id, job] : jobs_)
        listed += job.results.size();
    return static_cast<int>(listed);
}

void JobHistory::reportViolation(const std::string& what)
{
    if (violation_.empty())
        violation_ = fmt::format("{} ms: {}", time_.wallMs(), what);
}

void JobHistory::scheduleAt(Instant at, std::function<void()> action)
{
    scheduled_.push({ at, ++lastActionNumber_, std::move(action) });
}

void JobHistory::startProcess(size_t index)
{
    processes_[index] = std::make_unique<Process>(*this, nameOf(index));
    takeOver(index, true);
}

void JobHistory::kill(size_t index)
{
    processes_[index].reset();
    scheduleAt(time_.now() + std::chrono::milliseconds(draw(3000)), [this, index] {
        if (!processes_[index])
            startProcess(index);
    });
}

void JobHistory::pause(size_t index)
{
    processes_[index]->isPaused = true;
    scheduleAt(time_.now() + std::chrono::milliseconds(draw(6000)), [this, index] { resume(index); });
}

void JobHistory::resume(size_t index)
{
    if (!processes_[index] || !processes_[index]->isPaused)
        return;
    processes_[index]->isPaused = false;
    // While it was paused, nobody can have heard it.
    hasNewsAt_[nameOf(index)] = time_.now() + newsTime;
}

bool JobHistory::canSee(const std::string& viewer, const std::string& seen) const
{
    if (viewer == seen)
        return true;
    for (size_t i = 0; i < coordinators; ++i) {
        if (nameOf(i) == seen)
            return processes_[i] && !disconnected_.contains({ viewer, seen });
    }
    return false;
}

bool JobHistory::isHeardByAll(const std::string& name) const
{
    for (size_t i = 0; i < coordinators; ++i) {
        const bool isOther = nameOf(i) != name;
        if (isOther && (!processes_[i] || !canSee(nameOf(i), name)))
            return false;
    }
    const auto hasNewsAt = hasNewsAt_.find(name);
    return hasNewsAt == hasNewsAt_.end() || time_.now() > hasNewsAt->second;
}

void JobHistory::reconnect(const std::string& viewer, const std::string& seen)
{
    for (size_t i = 0; i < coordinators; ++i) {
        if (nameOf(i) != viewer || !processes_[i])
            continue;
        for (size_t receiver = 0; receiver < coordinators; ++receiver) {
            for (const auto& [id, owned] : processes_[i]->owner.jobs()) {
                if (nameOf(receiver) == seen)
                    announceTo(receiver, *owned);
            }
        }
    }
    hasNewsAt_[seen] = time_.now() + newsTime;
}

void JobHistory::pollAll()
{
    bool hasRun = true;
    while (hasRun) {
        hasRun = false;
        for (size_t i = 0; i < coordinators; ++i) {
            if (!processes_[i] || processes_[i]->isPaused)
                continue;
            processes_[i]->context->restart();
            hasRun = processes_[i]->context->poll() > 0 || hasRun;
        }
    }
    checkStore();
}

void JobHistory::advance(Duration duration)
{
    const Instant end = time_.now() + duration;
    pollAll();
    while (true) {
        const Instant next = std::min(time_.next(), scheduled_.empty() ? never : scheduled_.top().at);
        if (next > end)
            break;
        time_.advanceTo(next);
        while (!scheduled_.empty() && scheduled_.top().at <= time_.now()) {
            const ScheduledAction due = scheduled_.top();
            scheduled_.pop();
            due.action();
        }
        pollAll();
    }
    time_.advanceTo(end);
}

void JobHistory::announce(const OwnedJob& owned)
{
    for (size_t i = 0; i < coordinators; ++i) {
        if (canSee(owned.record.owner, nameOf(i)) && nameOf(i) != owned.record.owner)
            announceTo(i, owned);
    }
}

void JobHistory::announceTo(size_t receiver, const OwnedJob& owned)
{
    wire::JobOwnerNotice notice;
    notice.job = owned.id();
    notice.revision = owned.job.revision();
    notice.owner = owned.record.owner;
    scheduleAt(time_.now() + std::chrono::milliseconds(1 + draw(200)), [this, receiver, notice] {
        if (!processes_[receiver])
            return;
        Process& process = *processes_[receiver];
        asio::post(*process.context, [&process, notice] { process.owner.onOwner(notice); });
    });
}

void JobHistory::takeOver(size_t index, bool isOwnOnly)
{
    Process& process = *processes_[index];
    spawn(process.context->get_executor(), [this, &process, isOwnOnly]() -> asio::awaitable<void> {
        const size_t before = process.owner.jobs().size();
        try {
            co_await process.owner.takeOverOrphanedJobs(isOwnOnly);
        } catch (const Error&) {
            // The store failed; a later take-over tries again.
        }
        takeOvers_ += process.owner.jobs().size() > before ? 1 : 0;
    });
}

size_t JobHistory::settledResults(const std::string& job) const
{
    size_t count = 0;
    const auto found = jobs_.find(job);
    if (found == jobs_.end())
        return 0;
    for (const auto& [at, results] : found->second.read)
        count = at + settleTime < time_.now() ? std::max(count, results) : count;
    return count;
}

void JobHistory::sendCall(size_t index, const wire::BatchCall& call, int hops)
{
    if (!processes_[index])
        return;
    Process& process = *processes_[index];
    const Instant deadline = time_.now() + 4s;
    const bool wasAccepted = jobs_[call.job].isAccepted;
    const size_t known = settledResults(call.job);
    spawn(process.context->get_executor(),
        [this, &process, call, hops, deadline, wasAccepted, known]() -> asio::awaitable<void> {
            const wire::BatchAnswer answer = co_await process.owner.perform(call, deadline);
            // The answer reaches the caller even if the process is killed now.
            scheduleAt(now(),
                [this, call, answer, hops, wasAccepted, known] { onAnswer(call, answer, hops, wasAccepted, known); });
        });
}

void JobHistory::onAnswer(
    const wire::BatchCall& call, const wire::BatchAnswer& answer, int hops, bool wasAccepted, size_t knownResults)
{
    checkStore();
    Job& job = jobs_[call.job];
    if (!answer.owner.empty() && hops > 0) {
        for (size_t i = 0; i < coordinators; ++i) {
            if (nameOf(i) != answer.owner)
                continue;
            wire::BatchCall next = call;
            if (!processes_[i])
                next.unreachable.push_back(answer.owner);
            sendCall(processes_[i] ? i : draw(coordinators), next, hops - 1);
        }
        return;
    }
    // An entry asks the other coordinators after an unconfirmed answer.
    if (!answer.owner.empty() || answer.isUnconfirmed)
        return;
    if (answer.status == statusUnknown && wasAccepted)
        reportViolation(call.job + ": answered as unknown after it was accepted");
    if (answer.status == statusAccepted && call.operation == wire::BatchOperation::Submit) {
        acceptedJobs_ += job.isAccepted ? 0 : 1;
        job.isAccepted = true;
    }
    if (answer.status != statusOk)
        return;
    if (call.operation == wire::BatchOperation::Read)
        checkPage(call.job, static_cast<size_t>(call.firstPosition), answer.body, knownResults);
    if (call.operation == wire::BatchOperation::Cancel) {
        ends_ += job.isEndAnswered ? 0 : 1;
        job.isEndAnswered = true;
    }
}

void JobHistory::submit()
{
    wire::BatchCall call;
    call.operation = wire::BatchOperation::Submit;
    call.job = fmt::format("j{}", draw(maxJobs));
    call.host = "h";
    call.route = "job";
    Job& job = jobs_[call.job];
    if (job.items == 0)
        job.items = 2 + draw(4);
    call.body = std::to_string(job.items);
    sendCall(draw(coordinators), call, 3);
}

void JobHistory::read()
{
    if (jobs_.empty())
        return;
    const auto chosen = std::next(jobs_.begin(), draw(static_cast<unsigned>(jobs_.size())));
    wire::BatchCall call;
    call.operation = wire::BatchOperation::Read;
    call.job = chosen->first;
    call.host = "h";
    call.firstPosition = draw(static_cast<unsigned>(chosen->second.results.size()) + 1);
    call.waitMs = static_cast<int32_t>(draw(600));
    sendCall(draw(coordinators), call, 3);
}

void JobHistory::endJob()
{
    if (jobs_.empty())
        return;
    const auto chosen = std::next(jobs_.begin(), draw(static_cast<unsigned>(jobs_.size())));
    wire::BatchCall call;
    call.operation = wire::BatchOperation::Cancel;
    call.job = chosen->first;
    call.host = "h";
    chosen->second.isEndAsked = true;
    sendCall(draw(coordinators), call, 3);
}

/// Finishes a random waiting item for jobs of a random coordinator. Each text is unique and names the coordinator, so
/// that the checks notice a position that another owner has overwritten.
void JobHistory::finishItem()
{
    const size_t index = draw(coordinators);
    if (!processes_[index] || processes_[index]->isPaused)
        return;
    Process& process = *processes_[index];
    for (const auto& [id, owned] : process.owner.jobs()) {
        const std::vector<size_t> waiting = owned->job.waiting(time_.now());
        if (owned->job.isEnded() || waiting.empty() || draw(2) == 0)
            continue;
        const size_t item = waiting[draw(static_cast<unsigned>(waiting.size()))];
        RunProgress progress;
        progress.run = owned->job.start(item, "agent", 1, { "engines", "v1" }, time_.now());
        progress.events.push_back({ 0, fmt::format("{}.{}", nameOf(index), ++textCount_), 1 });
        progress.state = RunState::Completed;
        progress.status = statusOk;
        owned->job.onProgress(item, progress, time_.now());
    }
    process.owner.wake();
}

void JobHistory::toggleConnection()
{
    const std::pair pair(nameOf(draw(coordinators)), nameOf(draw(coordinators)));
    if (disconnected_.erase(pair))
        reconnect(pair.first, pair.second);
    else
        disconnected_.insert(pair);
}

void JobHistory::reconnectAll()
{
    for (const auto& [viewer, seen] : std::exchange(disconnected_, {}))
        reconnect(viewer, seen);
}

void JobHistory::runAction()
{
    const size_t index = draw(coordinators);
    switch (draw(16)) {
    case 0:
    case 1:
        return submit();
    case 2:
    case 3:
    case 4:
        return read();
    case 5:
        return draw(3) == 0 ? endJob() : read();
    case 6:
        return draw(2) == 0 ? toggleConnection() : reconnectAll();
    case 7:
        if (processes_[index] && draw(2) == 0)
            kill(index);
        return;
    case 8:
        if (processes_[index] && !processes_[index]->isPaused)
            pause(index);
        return;
    case 9:
    case 10:
        if (processes_[index])
            takeOver(index, false);
        return;
    default:
        return finishItem();
    }
}

std::string JobHistory::run()
{
    constexpr int actions = 150;
    for (int i = 0; i < actions && violation_.empty(); ++i) {
        runAction();
        advance(std::chrono::milliseconds(draw(120)));
    }
    finishWithoutFaults();
    checkFinalState();
    return violation_;
}

} // namespace endiveroad::io::test
