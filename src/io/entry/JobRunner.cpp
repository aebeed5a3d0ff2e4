#include "io/entry/JobRunner.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/WireValues.h"
#include "io/entry/JobMessages.h"
#include "wire/Codec.h"

#include <endiveroad/Error.h>
#include <endiveroad/JobBody.h>
#include <fmt/format.h>

namespace endiveroad::io {

JobRunner::JobRunner(asio::io_context& context, AgentDirectory& agents, CallRouter& calls, JobDeclaration declaration)
    : context_(context)
    , agents_(agents)
    , calls_(calls)
    , coordinator_(std::move(declaration))
    , changed_(context)
{
    spawn(context_.get_executor(), [this] { return run(); });
}

void JobRunner::onDeclaration(JobDeclaration declaration)
{
    coordinator_.onDeclaration(std::move(declaration));
}

void JobRunner::onPolicy(const PolicyState& policy)
{
    coordinator_.onPolicy(policy);
}

void JobRunner::stop()
{
    isStopped_ = true;
    wake();
}

void JobRunner::wake()
{
    isWoken_ = true;
    changed_.notifyAll();
}

asio::awaitable<void> JobRunner::run()
{
    while (!isStopped_) {
        isWoken_ = false;
        if (now() < activeUntil_) {
            dispatchWork();
            dispatchDuplicates();
            startScoring();
        }
        const Instant due = coordinator_.nextDeadline();
        const Instant nextRoundAt = now() + idleInterval;
        if (!isWoken_)
            co_await changed_.wait(due > now() ? std::min(due, nextRoundAt) : nextRoundAt);
    }
}

void JobRunner::dispatchWork()
{
    ReplicaTable& table = agents_.table(declaration().pool);
    ReplicaDemand demand;
    demand.minVersion = coordinator_.oldestVersionToStart();
    demand.keepFree = agents_.settings().pool(declaration().pool).call.reservedSlots;
    while (auto agent = table.acquire(now(), demand)) {
        const auto dispatch = coordinator_.next(now());
        if (!dispatch) {
            table.release(*agent);
            break;
        }
        startAttempt(*dispatch, *agent, true);
    }
}

void JobRunner::dispatchDuplicates()
{
    ReplicaTable& table = agents_.table(declaration().pool);
    ReplicaDemand demand;
    demand.minVersion = coordinator_.oldestVersionToStart();
    // Leaves one more slot free than first attempts do, so that a duplicate never takes the last
    // slot that a first attempt could use.
    demand.keepFree = agents_.settings().pool(declaration().pool).call.reservedSlots + 1;
    while (auto agent = table.acquire(now(), demand)) {
        const auto dispatch = coordinator_.nextDuplicate(now());
        if (!dispatch) {
            table.release(*agent);
            break;
        }
        startAttempt(*dispatch, *agent, true);
    }
}

void JobRunner::startScoring()
{
    while (true) {
        auto items = coordinator_.nextScoring(maxScoringBatch, now());
        if (items.empty())
            return;
        spawn(context_.get_executor(), [this, items = std::move(items)] { return score(items); });
    }
}

void JobRunner::startAttempt(const Dispatch& dispatch, const std::string& agent, bool hasSlot)
{
    spawn(context_.get_executor(), [this, dispatch, agent, hasSlot] { return generate(dispatch, agent, hasSlot); });
}

wire::GenerateRequest JobRunner::generateRequest(const Dispatch& dispatch)
{
    const JobDeclaration& job = declaration();
    const RolloutObjective objective = coordinator_.objective();
    wire::GenerateRequest request;
    request.requestId
        = fmt::format("{}/{}/{}/{}-{}", job.name, dispatch.step, dispatch.index, dispatch.attempt, nextRequest_++);
    request.job = job.name;
    request.step = static_cast<int64_t>(dispatch.step);
    request.index = static_cast<int32_t>(dispatch.index);
    request.stepDigest = static_cast<int64_t>(dispatch.stepDigest);
    request.prompt = dispatch.request.prompt;
    request.maxTokens = static_cast<int32_t>(dispatch.request.maxTokens);
    request.priority = job.rollout.priority;
    request.oldestVersion = coordinator_.oldestUsableVersion();
    request.stalenessBound = objective.stalenessBound;
    request.idleWeight = objective.idleWeight;
    return request;
}

asio::awaitable<void> JobRunner::generate(Dispatch dispatch, std::string agent, bool hasSlot)
{
    const std::string pool = declaration().pool;
    wire::GenerateRequest request = generateRequest(dispatch);
    const std::string requestId = request.requestId;
    const std::pair sampleKey(dispatch.step, dispatch.index);
    const auto attempt = attempts_.emplace(sampleKey, Attempt { requestId, agent });
    const Instant deadline = now() + declaration().rollout.stepTimeout;
    const std::string reason = co_await requestSample(std::move(request), agent, deadline);
    attempts_.erase(attempt);
    if (hasSlot)
        agents_.table(pool).release(agent);
    if (reason.empty()) {
        log(Event::SampleFinished, { { "request", requestId }, { "agent", agent } });
        cancelOtherAttempts(dispatch.step, dispatch.index, requestId);
    } else {
        log(Event::SampleRefused, { { "request", requestId }, { "agent", agent }, { "reason", reason } });
        coordinator_.onAttemptFailed(dispatch, now() + failedDispatchDelay, now());
    }
    wake();
}

asio::awaitable<std::string> JobRunner::requestSample(
    wire::GenerateRequest request, std::string agent, Instant deadline)
{
    const PeerConnectionPtr peer = agents_.connection(agent);
    if (!peer)
        co_return "the agent is not connected";
    log(Event::SampleDispatched, { { "request", request.requestId }, { "agent", agent } });
    std::string failure;
    try {
        const std::string payload = co_await peer->call(MessageType::Generate, wire::encode(request), deadline);
        const auto answer = wire::decode<wire::GenerateAnswer>(payload);
        if (answer.outcome != wire::Outcome::Done || !answer.__isset.sample)
            failure = answer.errorCode.empty() ? "the agent refused the request" : answer.errorCode;
        else if (!coordinator_.onSample(fromWire(answer.sample), now()))
            failure = "the sample is outdated or another result was accepted";
    } catch (const Error& error) {
        failure = error.what();
    }
    co_return failure;
}

void JobRunner::cancelOtherAttempts(StepNumber step, uint32_t index, const std::string& finishedRequest)
{
    const auto [begin, end] = attempts_.equal_range({ step, index });
    for (auto it = begin; it != end; ++it) {
        const PeerConnectionPtr peer = agents_.connection(it->second.agent);
        if (!peer || it->second.requestId == finishedRequest)
            continue;
        wire::CancelNotice notice;
        notice.requestId = it->second.requestId;
        peer->notify(MessageType::CancelGenerate, wire::encode(notice));
    }
}

asio::awaitable<void> JobRunner::score(std::vector<ScoringItem> items)
{
    const std::string pool = declaration().scoringPool.value_or("");
    std::map<size_t, double> scores;
    try {
        HttpRequest request = jsonRequest("POST", "/score", scoringBody(items));
        const HttpResponse response = co_await calls_.callAny(pool, std::move(request), now() + scoringTimeout);
        if (response.status != 200)
            throw ServerUnavailableError(fmt::format("the scorer answered with HTTP status {}", response.status));
        scores = parseScores(response.body, items);
    } catch (const std::exception& error) {
        log(Event::ScoringFailed, { { "job", declaration().name }, { "reason", error.what() } });
    }
    for (size_t i = 0; i < items.size(); ++i) {
        const ScoringItem& item = items[i];
        const auto found = scores.find(i);
        if (found != scores.end()) {
            coordinator_.onScore(item.step, item.index, found->second);
            continue;
        }
        const Duration delay = scoringRetryBaseDelay * (1U << std::min(item.attempt, 5U));
        coordinator_.onScoringFailed(item.step, item.index, now() + std::min(delay, maxScoringRetryDelay), now());
    }
    wake();
}

asio::awaitable<std::shared_ptr<JobRunner::StepRecovery>> JobRunner::queryAgents(StepNumber step, uint64_t digest)
{
    wire::HeldRequest request;
    request.job = declaration().name;
    request.step = static_cast<int64_t>(step);
    request.stepDigest = static_cast<int64_t>(digest);
    const std::string payload = wire::encode(request);
    const auto recovery = std::make_shared<StepRecovery>();
    const auto peers = agents_.connections(declaration().pool);
    recovery->pendingQueries = peers.size();
    for (const PeerConnectionPtr& peer : peers)
        spawn(context_.get_executor(), [this, peer, payload, recovery] { return queryAgent(peer, payload, recovery); });
    const Instant deadline = now() + recoveryTimeout;
    while (recovery->pendingQueries > 0 && now() < deadline)
        co_await changed_.wait(deadline);
    co_return recovery;
}

asio::awaitable<void> JobRunner::queryAgent(
    PeerConnectionPtr peer, std::string request, std::shared_ptr<StepRecovery> recovery)
{
    try {
        const std::string payload = co_await peer->call(MessageType::Held, request, now() + recoveryTimeout);
        const auto answer = wire::decode<wire::HeldAnswer>(payload);
        for (const wire::Sample& sample : answer.samples)
            recovery->samples.push_back(fromWire(sample));
        for (int32_t index : answer.running)
            recovery->running.emplace(static_cast<uint32_t>(index), peer->peerName);
    } catch (const Error&) {
        // The samples of this agent are generated again.
    }
    if (--recovery->pendingQueries == 0)
        changed_.notifyAll();
}

size_t JobRunner::recover(StepNumber step, StepRecovery& recovery)
{
    size_t recovered = 0;
    for (Sample& sample : recovery.samples)
        recovered += coordinator_.onSample(std::move(sample), now()) ? 1 : 0;
    for (const auto& [index, agent] : recovery.running) {
        if (const auto dispatch = coordinator_.adopt(step, index, now()))
            startAttempt(*dispatch, agent, false);
    }
    return recovered;
}

asio::awaitable<HttpResponse> JobRunner::submit(StepNumber number, std::string body)
{
    activeUntil_ = now() + trainerLease;
    StepRequest step = parseStepBody(number, body);
    const uint64_t digest = step.digest();
    const size_t samples = step.samples.size();
    auto recovery = std::make_shared<StepRecovery>();
    if (!coordinator_.hasStep(number))
        recovery = co_await queryAgents(number, digest);
    const bool isNew = coordinator_.submit(std::move(step), now());
    const size_t recovered = recover(number, *recovery);
    LogFields fields;
    fields.emplace_back("job", declaration().name);
    fields.emplace_back("step", std::to_string(number));
    fields.emplace_back("samples", std::to_string(samples));
    fields.emplace_back("recovered", std::to_string(recovered));
    if (isNew)
        log(recovered > 0 ? Event::StepRecovered : Event::StepSubmitted, fields);
    wake();
    co_return jsonResponse(isNew ? 201 : 200, submitAnswer(number, samples, isNew));
}

asio::awaitable<HttpResponse> JobRunner::fetch(std::string body)
{
    activeUntil_ = now() + trainerLease;
    const FetchBody request = FetchBody::parse(body);
    const Cursor cursor = Cursor::decode(request.cursor, declaration().name);
    const Instant waitEnd = now() + std::chrono::milliseconds(request.waitMs);
    const PolicyState policy { request.policyVersion, request.policyOrder.value_or(request.policyVersion) };
    sendReleases(cursor);
    FetchResult result = coordinator_.fetch(cursor, policy, request.max, now());
    while (result.samples.empty() && now() < waitEnd && !isStopped_) {
        co_await changed_.wait(waitEnd);
        result = coordinator_.fetch(cursor, policy, request.max, now());
    }
    std::vector<StepNumber> unknownSteps;
    for (StepNumber step : request.steps) {
        if (!coordinator_.hasStep(step) && !cursor.isComplete(step))
            unknownSteps.push_back(step);
    }
    if (!result.samples.empty())
        log(Event::SamplesDelivered,
            { { "job", declaration().name }, { "samples", std::to_string(result.samples.size()) } });
    co_return jsonResponse(200, fetchAnswer(request, result, unknownSteps));
}

void JobRunner::sendReleases(const Cursor& cursor)
{
    for (const auto& [step, digest] : coordinator_.steps()) {
        if (cursor.stepDigest(step) != digest)
            continue;
        wire::ReleaseNotice notice;
        notice.job = declaration().name;
        notice.step = static_cast<int64_t>(step);
        notice.stepDigest = static_cast<int64_t>(digest);
        notice.receivedBits = cursor.received(step, 0).bytes();
        for (const PeerConnectionPtr& peer : agents_.connections(declaration().pool))
            peer->notify(MessageType::Release, wire::encode(notice));
    }
}

HttpResponse JobRunner::state() const
{
    return jsonResponse(200, stateAnswer(declaration(), policy(), coordinator_.progress()));
}

} // namespace endiveroad::io
