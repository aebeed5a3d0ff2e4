#include "io/hosted/ItemRunner.h"

#include "io/Clock.h"
#include "io/Forwarding.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"
#include "io/Tasks.h"
#include "io/hosted/WireEvents.h"
#include "io/hosted/WireOrigins.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad/EventStream.h>
#include <endiveroad/HttpHead.h>
#include <endiveroad/StallLimit.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

constexpr int statusOk = 200;

constexpr Duration connectTimeout = std::chrono::milliseconds(300);

/// The item's headers but those that concern one connection only.
HeaderList headersOf(const wire::ItemStart& start)
{
    HeaderList headers;
    for (const wire::Header& header : start.headers)
        headers.emplace_back(header.name, header.value);
    return forwardedHeaders(headers);
}

ContentId contentOf(const wire::ItemStart& start)
{
    return ContentId::of(itemMethod, start.host, start.path, start.body);
}

} // namespace

/// One run of an item.
struct ItemRunner::Run {
    wire::ItemStart startRequest;
    /// ReplicaRequest::isIdentityRemoved.
    bool isIdentityRemoved = false;
    /// For the request that starts the run.
    std::optional<ServerPermit> permit;
    /// The attempt at the replica, until it has delivered an event.
    std::optional<ServerAttempt> unproven;
    ServerRecord server;
    StartCheck startCheck = StartCheck::Learn;
    /// What writes the text; unknown until the replica's answer has begun, if it has no events.
    SoftwareVersion software;
    HttpCancellation cancellation;
    EventStreamReader reader;
    /// All events of the item, including those of earlier runs.
    std::vector<GeneratedEvent> events;
    /// Length of the events' data.
    size_t textBytes = 0;
    /// Number of events that have been sent to the owner.
    size_t sentCount = 0;
    bool isEndSent = false;
    RunState state = RunState::Running;
    int32_t status = 0;
    /// The replica answered with 200, so the body is an event stream.
    bool isStreaming = false;
    /// Weight version under which the next event is generated.
    int64_t version = 0;
    Instant startedAt = Instant::min();
    Instant lastActivity = Instant::min();
    Instant lastEventAt = Instant::min();
    Instant expiry = never;
    /// Cancelled because it delivered nothing for too long.
    bool isStalled = false;
    /// Reason of the cancellation; empty if the run was not cancelled.
    std::string cancelReason;
};

ItemRunner::ItemRunner(asio::io_context& context, ServerClient& client, RequestLimits& limits, EngineController& engine,
    CrashGuard& crashGuard, Address replica, EngineController::OnChange onChange)
    : context_(context)
    , client_(client)
    , limits_(limits)
    , engine_(engine)
    , crashGuard_(crashGuard)
    , replica_(std::move(replica))
    , onChange_(std::move(onChange))
    , wake_(context)
{
}

int32_t ItemRunner::running() const
{
    return static_cast<int32_t>(std::count_if(
        runs_.begin(), runs_.end(), [](const auto& entry) { return entry.second->state == RunState::Running; }));
}

double ItemRunner::eventMs() const
{
    return pace_.meanMs(now());
}

std::string ItemRunner::refusalReason(const wire::ItemStart& startRequest, const ServerRecord* server) const
{
    if (endedJobs_.contains(startRequest.job))
        return "the job has ended";
    const auto owner = owners_.find(startRequest.job);
    if (owner != owners_.end() && startRequest.revision < owner->second.revision)
        return "the job has another owner";
    if (!server || engine_.server().empty())
        return "the replica is not registered as ready";
    if (!engine_.isUp())
        return "the replica does not answer";
    if (engine_.loadingModel() == startRequest.model)
        return "the replica loads weights of the model";
    if (engine_.version(startRequest.model) < startRequest.oldestVersion)
        return "the replica's weights are too old";
    if (running() >= server->slots)
        return "all slots are taken";
    const SoftwareVersion software = fromWire(startRequest.software);
    if (!startRequest.events.empty() && (!software.isKnown() || server->software() != software))
        return "other software wrote the text";
    if (crashGuard_.isTakenByOther(contentOf(startRequest), engine_.server()))
        return "another item under which replicas have ended starts here";
    return {};
}

wire::ItemStartAnswer ItemRunner::start(const PeerConnectionPtr& owner, const wire::ItemStart& startRequest,
    const ServerRecord* server, bool isIdentityRemoved)
{
    wire::ItemStartAnswer answer;
    answer.reason = refusalReason(startRequest, server);
    if (const auto fault = answer.reason.empty() ? requestFault(startRequest, isIdentityRemoved) : std::nullopt) {
        answer.reason = "it cannot be sent: " + *fault;
        answer.__set_isUnsendable(true);
    }
    std::optional<ServerPermit> permit;
    if (answer.reason.empty()) {
        permit = limits_.tryTake(engine_.lastServer(), RequestPath::Item);
        answer.reason = permit ? "" : "the replica's request limit is used up";
    }
    answer.isAccepted = answer.reason.empty();
    answer.isJobEnded = endedJobs_.contains(startRequest.job);
    if (const auto jobOwner = owners_.find(startRequest.job); jobOwner != owners_.end())
        answer.revision = jobOwner->second.revision;
    if (!answer.isAccepted) {
        processMetrics().countRefusal(answer.reason);
        log(Event::ItemRefused,
            { { "job", startRequest.job }, { "item", startRequest.item }, { "reason", answer.reason },
                { "revision", std::to_string(startRequest.revision) }, { "server", engine_.server() } });
        return answer;
    }
    Owner& jobOwner = owners_[startRequest.job];
    jobOwner = { std::max(jobOwner.revision, startRequest.revision), owner, now() + endedJobLifetime };
    if (const auto previous = runs_.find(startRequest.item); previous != runs_.end()) {
        previous->second->cancelReason = "another run of the item was ordered";
        previous->second->cancellation.cancel();
    }
    auto run = std::make_shared<Run>();
    run->startRequest = startRequest;
    run->isIdentityRemoved = isIdentityRemoved;
    run->permit = std::move(permit);
    run->server = *server;
    run->software = fromWire(startRequest.software);
    run->startCheck = startRequest.events.empty() ? StartCheck::Learn : StartCheck::Require;
    run->events = fromWire(startRequest.events);
    for (const GeneratedEvent& event : run->events)
        run->textBytes += event.data.size();
    run->sentCount = run->events.size();
    run->startRequest.events.clear();
    run->startedAt = now();
    run->lastActivity = run->startedAt;
    runs_[startRequest.item] = run;
    onChange_();
    spawn(context_.get_executor(), [this, run] { return execute(run); });
    return answer;
}

ReplicaRequest ItemRunner::callOf(const wire::ItemStart& startRequest, bool isIdentityRemoved) const
{
    ReplicaRequest call;
    call.method = itemMethod;
    call.target = startRequest.path;
    call.headers = headersOf(startRequest);
    call.isPositionRemoved = true;
    call.id = startRequest.item;
    call.host = startRequest.host;
    call.server = engine_.server();
    call.organisation = startRequest.organisation;
    call.isIdentityRemoved = isIdentityRemoved || !startRequest.organisation.empty();
    if (startRequest.__isset.priority)
        call.priority = startRequest.priority;
    return call;
}

std::optional<std::string> ItemRunner::requestFault(const wire::ItemStart& startRequest, bool isIdentityRemoved) const
{
    // Without an id, that of the headers would be sent.
    if (startRequest.item.empty())
        return "the item has no id";
    const HttpRequest request = client_.protocol().encode(callOf(startRequest, isIdentityRemoved));
    return requestHeadFault({ request.method, request.target, request.headers, startRequest.body.size() });
}

HttpRequest ItemRunner::requestFor(const Run& run) const
{
    ReplicaRequest call = callOf(run.startRequest, run.isIdentityRemoved);
    call.body = run.startRequest.body;
    if (!run.events.empty())
        call.lastEventId = run.events.back().id;
    HttpRequest request = client_.protocol().encode(std::move(call));
    request.connectDeadline = now() + connectTimeout;
    return request;
}

asio::awaitable<void> ItemRunner::execute(RunPtr run)
{
    RunState state = RunState::Failed;
    std::string failure;
    try {
        run->unproven = attemptOf(*run);
        crashGuard_.onStart(*run->unproven);
        HttpRequest request = requestFor(*run);
        auto onHead = [this, run](const HttpResponse& head) { processHead(*run, head); };
        auto onBody = [this, run](std::string_view piece) {
            processBody(*run, piece);
            return true;
        };
        const HttpResponse response = co_await client_.stream(*run->permit, replica_, std::move(request),
            now() + runLimit, onBody, &run->cancellation, onHead, run->startCheck);
        const ReplicaAnswer answer = client_.protocol().decode(response);
        if (answer.verdict != ReplicaVerdict::Ran)
            finishRun(*run, RunState::NotRun, response.status, "the replica refused");
        else if (response.status != statusOk) {
            crashGuard_.onAnswered(*run->unproven);
            finishRun(*run, RunState::Failed, response.status, "the replica failed");
        } else if (run->reader.hasIncompleteEvent() || run->events.empty())
            finishRun(*run, RunState::Failed, 0, "the stream ended inside an event or without any event");
        else
            finishRun(*run, RunState::Completed, statusOk, {});
        co_return;
    } catch (const ConnectionRefusedError& error) {
        failure = error.what();
        state = RunState::NotRun;
        if (run->unproven)
            crashGuard_.onConnectionRefused(*run->unproven);
    } catch (const ServerUnavailableError& error) {
        failure = error.what();
        state = RunState::NotRun;
    } catch (const RequestUnsendableError& error) {
        failure = error.what();
        state = RunState::NotRun;
    } catch (const std::exception& error) {
        failure = error.what();
    }
    engine_.queryNow();
    if (state == RunState::Failed && run->cancelReason.empty() && run->unproven)
        co_await crashGuard_.inspect(*run->unproven);
    finishRun(*run, state, 0, run->cancelReason.empty() ? failure : run->cancelReason);
}

ServerAttempt ItemRunner::attemptOf(const Run& run) const
{
    const ContentId content = contentOf(run.startRequest);
    return { run.startRequest.item, content, engine_.server(), crashGuard_.startAt(replica_), now(),
        ContentKind::Owed };
}

void ItemRunner::processHead(Run& run, const HttpResponse& head)
{
    run.lastActivity = now();
    run.isStreaming = head.status == statusOk;
    run.software = ServerClient::softwareOf(run.server, head, run.startCheck);
    const ReplicaAnswer answer = client_.protocol().decode(head);
    run.version = answer.version.value_or(engine_.version(run.startRequest.model));
    if (run.isStreaming && answer.version && !run.startRequest.model.empty())
        engine_.onVersionSeen(run.startRequest.model, *answer.version);
}

void ItemRunner::processBody(Run& run, std::string_view piece)
{
    run.lastActivity = now();
    if (!run.isStreaming)
        return;
    for (StreamEvent& event : run.reader.feed(piece)) {
        for (const std::string& line : event.otherLines) {
            if (const auto version = client_.protocol().parseVersionLine(line))
                run.version = *version;
        }
        if (!event.id)
            continue;
        if (run.unproven)
            crashGuard_.onAnswered(*run.unproven);
        endRisk(run);
        measurePace(run);
        run.textBytes += event.data.size();
        if (run.textBytes > maxTextBytes)
            throw AnswerBrokenError(fmt::format("the text is longer than {} bytes", maxTextBytes));
        run.events.push_back({ *event.id, std::move(event.data), run.version });
    }
}

void ItemRunner::measurePace(Run& run)
{
    const Instant currentTime = now();
    if (run.lastEventAt != Instant::min())
        pace_.onEvent(currentTime - run.lastEventAt, currentTime);
    run.lastEventAt = currentTime;
}

void ItemRunner::endRisk(Run& run)
{
    if (run.unproven)
        crashGuard_.onEnd(*run.unproven);
    run.unproven.reset();
}

void ItemRunner::finishRun(Run& run, RunState state, int32_t status, const std::string& reason)
{
    endRisk(run);
    run.state = state;
    run.status = status;
    run.expiry = now() + endedLifetime;
    processMetrics().record(Latency::ItemRun, now() - run.startedAt, now());
    log(Event::ItemRunEnded,
        { { "job", run.startRequest.job }, { "item", run.startRequest.item },
            { "run", std::to_string(run.startRequest.run) }, { "server", engine_.server() },
            { "software", run.software.text() }, { "events", std::to_string(run.events.size()) },
            { "outcome",
                state == RunState::Completed    ? "completed"
                    : state == RunState::NotRun ? "not run"
                                                : "failed" },
            { "status", std::to_string(status) }, { "reason", reason } });
    onChange_();
    wake_.notifyAll();
}

void ItemRunner::cancel(const wire::ItemCancelNotice& notice)
{
    if (notice.isJobEnded)
        endedJobs_[notice.job] = now() + endedJobLifetime;
    for (const auto& [item, run] : runs_) {
        const bool isAffected = run->startRequest.job == notice.job && (notice.item.empty() || notice.item == item);
        if (!isAffected || run->startRequest.revision > notice.revision)
            continue;
        run->cancelReason = notice.isJobEnded ? "the job has ended" : "the owner withdrew the run";
        // A failure that is not reported yet counts for later jobs with the item.
        if (run->state == RunState::Failed)
            continue;
        // The owner that cancels a run needs no notice of its end. While the run is still active, setOwner() recognises
        // by this that it was withdrawn.
        run->isEndSent = true;
        run->cancellation.cancel();
    }
}

void ItemRunner::setOwner(const PeerConnectionPtr& owner, const wire::JobOwnerNotice& notice)
{
    Owner& jobOwner = owners_[notice.job];
    if (notice.revision < jobOwner.revision)
        return;
    jobOwner = { notice.revision, owner, now() + endedJobLifetime };
    for (const auto& [item, run] : runs_) {
        const bool isWithdrawn = run->isEndSent && run->state == RunState::Running;
        if (run->startRequest.job != notice.job || isWithdrawn)
            continue;
        run->startRequest.revision = notice.revision;
        run->sentCount = 0;
        run->isEndSent = false;
    }
    sendProgress(true);
}

void ItemRunner::cancelAll()
{
    for (const auto& [item, run] : runs_) {
        if (run->state != RunState::Running)
            continue;
        run->cancelReason = "the agent stops";
        run->cancellation.cancel();
    }
}

asio::awaitable<void> ItemRunner::report()
{
    while (true) {
        co_await wake_.wait(now() + progressInterval);
        sendProgress(false);
        for (const auto& [item, run] : runs_) {
            const Duration limit = stallLimitAfter(stallLimit, run->startRequest.stalls);
            const bool isStalled = run->state == RunState::Running && now() > run->lastActivity + limit;
            if (!isStalled || run->cancellation.isCancelled())
                continue;
            log(Event::ServerStalled, { { "item", item }, { "server", engine_.server() } });
            run->isStalled = true;
            run->cancelReason = "the replica sent nothing for too long";
            run->cancellation.cancel();
        }
        removeExpired();
    }
}

void ItemRunner::sendProgress(bool isAll)
{
    std::map<PeerConnectionPtr, wire::ItemProgressNotice> notices;
    for (const auto& [item, run] : runs_) {
        const bool hasEnded = run->state != RunState::Running;
        const bool hasUnsent
            = run->sentCount < run->events.size() || (hasEnded && !run->isEndSent) || (isAll && !run->isEndSent);
        const auto owner = owners_.find(run->startRequest.job);
        const PeerConnectionPtr connection = owner == owners_.end() ? nullptr : owner->second.connection.lock();
        if (!hasUnsent || !connection || !connection->isOpen())
            continue;
        wire::ItemProgress progress;
        progress.job = run->startRequest.job;
        progress.item = item;
        progress.run = run->startRequest.run;
        progress.state = toWire(run->state);
        progress.status = run->status;
        progress.isStalled = run->isStalled;
        progress.software = toWire(run->software);
        progress.firstEvent = static_cast<int32_t>(run->sentCount);
        progress.events = toWire(run->events, run->sentCount);
        run->sentCount = run->events.size();
        run->isEndSent = run->isEndSent || hasEnded;
        notices[connection].items.push_back(std::move(progress));
    }
    for (const auto& [connection, notice] : notices)
        connection->notify(MessageType::ItemProgress, wire::encode(notice));
}

void ItemRunner::removeExpired()
{
    const Instant currentTime = now();
    std::erase_if(runs_, [currentTime](const auto& entry) { return entry.second->expiry <= currentTime; });
    std::erase_if(endedJobs_, [currentTime](const auto& entry) { return entry.second <= currentTime; });
    std::erase_if(owners_, [this, currentTime](const auto& entry) {
        const bool hasRuns = std::any_of(
            runs_.begin(), runs_.end(), [&](const auto& run) { return run.second->startRequest.job == entry.first; });
        return !hasRuns && entry.second.expiry <= currentTime;
    });
}

} // namespace endiveroad::io
