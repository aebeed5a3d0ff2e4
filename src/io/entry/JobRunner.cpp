#include "io/entry/JobRunner.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/WireValues.h"
#include "wire/Codec.h"

#include <endiveroad/Error.h>
#include <endiveroad/JobBody.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endiveroad::io {

using Json = nlohmann::json;

namespace {

Json toJson(const Sample& sample)
{
    Json segments = Json::array();
    for (const Segment& segment : sample.segments) {
        segments.push_back(
            { { "firstToken", segment.firstToken }, { "endToken", segment.endToken }, { "version", segment.version } });
    }
    Json json { { "step", sample.step }, { "index", sample.index }, { "text", sample.text },
        { "tokens", sample.tokens }, { "segments", segments }, { "finishReason", sample.finishReason },
        { "agent", sample.agent } };
    if (sample.score)
        json["score"] = *sample.score;
    return json;
}

Json toJson(const StepProgress& progress)
{
    return { { "step", progress.step }, { "wanted", progress.wanted }, { "finished", progress.finished },
        { "received", progress.received } };
}

std::string dumped(const Json& json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string submitAnswer(StepNumber number, size_t samples, bool isNew)
{
    return Json { { "step", number }, { "samples", samples }, { "isNew", isNew } }.dump();
}

} // namespace

JobRunner::JobRunner(asio::io_context& context, AgentDirectory& agents, CallRouter& calls, JobDeclaration declaration)
    : context_(context)
    , agents_(agents)
    , calls_(calls)
    , coordinator_(std::move(declaration))
    , wakeup_(context)
{
    spawn(context_.get_executor(), [this] { return run(); });
}

void JobRunner::onDeclaration(JobDeclaration declaration)
{
    coordinator_.onDeclaration(std::move(declaration));
}

void JobRunner::onPolicyVersion(WeightVersion version)
{
    coordinator_.onPolicyVersion(version);
}

void JobRunner::stop()
{
    isStopped_ = true;
    wake();
}

void JobRunner::wake()
{
    wakeup_.cancel();
}

asio::awaitable<void> JobRunner::run()
{
    while (!isStopped_) {
        if (now() < activeUntil_)
            dispatchWork();
        co_await waitUntil(wakeup_, now() + idleRound);
    }
}

void JobRunner::dispatchWork()
{
    ReplicaTable& table = agents_.table(coordinator_.declaration().pool);
    ReplicaDemand demand;
    demand.atLeast = coordinator_.oldestUsableVersion();
    demand.keepFree = agents_.settings().pool(coordinator_.declaration().pool).call.reservedSlots;
    while (auto agent = table.acquire(now(), demand)) {
        const auto dispatch = coordinator_.next(now());
        if (!dispatch) {
            table.release(*agent);
            break;
        }
        spawn(context_.get_executor(),
            [this, dispatch = *dispatch, agent = *agent] { return generate(dispatch, agent); });
    }
    while (true) {
        auto items = coordinator_.nextScoring(scoringBatch, now());
        if (items.empty())
            break;
        spawn(context_.get_executor(), [this, items = std::move(items)] { return score(items); });
    }
}

asio::awaitable<void> JobRunner::generate(Dispatch dispatch, std::string agent)
{
    const JobDeclaration& job = coordinator_.declaration();
    const std::string pool = job.pool;
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
    const Instant deadline = now() + job.rollout.stepTimeout;
    std::string reason;
    try {
        const PeerConnectionPtr peer = agents_.connection(agent);
        if (!peer)
            throw PeerUnavailableError("the agent is not connected");
        log(Event::SampleDispatched, { { "request", request.requestId }, { "agent", agent } });
        const std::string payload = co_await peer->call(MessageType::Generate, wire::encode(request), deadline);
        const auto answer = wire::decode<wire::GenerateAnswer>(payload);
        if (answer.outcome == wire::Outcome::Done && answer.__isset.sample) {
            log(Event::SampleFinished, { { "request", request.requestId }, { "agent", agent } });
            if (!coordinator_.onSample(fromWire(answer.sample)))
                reason = "of no use any more";
        } else {
            reason = answer.errorCode;
        }
    } catch (const Error& error) {
        reason = error.what();
    }
    agents_.table(pool).release(agent);
    if (!reason.empty()) {
        log(Event::SampleRefused, { { "request", request.requestId }, { "agent", agent }, { "reason", reason } });
        coordinator_.onFailed(dispatch, now() + failedDispatchDelay);
    }
    wake();
}

asio::awaitable<void> JobRunner::score(std::vector<ScoringItem> items)
{
    const std::string pool = *coordinator_.declaration().scoringPool;
    Json batch = Json::array();
    for (const ScoringItem& item : items) {
        batch.push_back({ { "id", fmt::format("{}/{}", item.step, item.index) }, { "prompt", item.prompt },
            { "text", item.text } });
    }
    std::map<std::string, double> scores;
    try {
        HttpRequest request = jsonRequest("POST", "/score", Json { { "items", batch } }.dump());
        const HttpResponse response = co_await calls_.callAny(pool, std::move(request), now() + scoringTimeout);
        if (response.status != 200)
            throw ServerUnavailableError(fmt::format("the scorer answered {}", response.status));
        const Json answer = Json::parse(response.body);
        for (const Json& score : answer.at("scores"))
            scores.emplace(score.at("id").get<std::string>(), score.at("score").get<double>());
    } catch (const std::exception& error) {
        log(Event::ScoringFailed, { { "job", coordinator_.declaration().name }, { "reason", error.what() } });
    }
    for (const ScoringItem& item : items) {
        const auto found = scores.find(fmt::format("{}/{}", item.step, item.index));
        if (found != scores.end())
            coordinator_.onScore(item.step, item.index, found->second);
        else
            coordinator_.onScoringFailed(item.step, item.index, now() + failedScoringDelay);
    }
    wake();
}

asio::awaitable<std::vector<Sample>> JobRunner::heldSamples(StepNumber step, uint64_t digest)
{
    wire::HeldRequest request;
    request.job = coordinator_.declaration().name;
    request.step = static_cast<int64_t>(step);
    request.stepDigest = static_cast<int64_t>(digest);
    std::vector<Sample> found;
    for (const PeerConnectionPtr& peer : agents_.connections(coordinator_.declaration().pool)) {
        try {
            const std::string payload
                = co_await peer->call(MessageType::Held, wire::encode(request), now() + recoveryTimeout);
            for (const wire::Sample& sample : wire::decode<wire::HeldAnswer>(payload).samples)
                found.push_back(fromWire(sample));
        } catch (const Error&) {
            // What this agent holds is generated again.
        }
    }
    co_return found;
}

asio::awaitable<HttpResponse> JobRunner::submit(StepNumber number, std::string body)
{
    activeUntil_ = now() + trainerLease;
    StepRequest step = parseStepBody(number, body);
    const uint64_t digest = step.digest();
    const size_t samples = step.samples.size();
    std::vector<Sample> held;
    if (!coordinator_.knows(number))
        held = co_await heldSamples(number, digest);
    const bool isNew = coordinator_.submit(std::move(step), now());
    size_t recovered = 0;
    for (Sample& sample : held)
        recovered += coordinator_.onSample(std::move(sample)) ? 1 : 0;
    LogFields fields;
    fields.emplace_back("job", coordinator_.declaration().name);
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
    const Cursor cursor = Cursor::decode(request.cursor, coordinator_.declaration().name);
    const Instant waitEnd = now() + std::chrono::milliseconds(request.waitMs);
    sendReleases(cursor);
    FetchResult result = coordinator_.fetch(cursor, request.policyVersion, request.max);
    asio::steady_timer poll(context_);
    while (result.samples.empty() && now() < waitEnd && !isStopped_) {
        co_await waitUntil(poll, std::min(waitEnd, now() + std::chrono::milliseconds(20)));
        result = coordinator_.fetch(cursor, request.policyVersion, request.max);
    }
    Json answer;
    answer["answers"] = request.cursor;
    answer["cursor"] = result.next.encode();
    answer["samples"] = Json::array();
    answer["steps"] = Json::array();
    answer["unknownSteps"] = Json::array();
    for (const Sample& sample : result.samples)
        answer["samples"].push_back(toJson(sample));
    for (const StepProgress& step : result.steps)
        answer["steps"].push_back(toJson(step));
    for (StepNumber step : request.steps) {
        if (!coordinator_.knows(step) && !cursor.isComplete(step))
            answer["unknownSteps"].push_back(step);
    }
    if (!result.samples.empty())
        log(Event::SamplesDelivered,
            { { "job", coordinator_.declaration().name }, { "samples", std::to_string(result.samples.size()) } });
    co_return jsonResponse(200, dumped(answer));
}

void JobRunner::sendReleases(const Cursor& cursor)
{
    const JobDeclaration& job = coordinator_.declaration();
    for (const auto& [step, digest] : coordinator_.steps()) {
        if (cursor.stepDigest(step) != digest)
            continue;
        wire::ReleaseNotice notice;
        notice.job = job.name;
        notice.step = static_cast<int64_t>(step);
        notice.stepDigest = static_cast<int64_t>(digest);
        notice.receivedBits = cursor.received(step, 0).bytes();
        for (const PeerConnectionPtr& peer : agents_.connections(job.pool))
            peer->notify(MessageType::Release, wire::encode(notice));
    }
}

HttpResponse JobRunner::state() const
{
    const JobDeclaration& job = coordinator_.declaration();
    Json answer { { "job", job.name }, { "pool", job.pool }, { "policyVersion", coordinator_.policyVersion() },
        { "steps", Json::array() } };
    for (const StepProgress& step : coordinator_.progress())
        answer["steps"].push_back(toJson(step));
    return jsonResponse(200, dumped(answer));
}

} // namespace endiveroad::io
