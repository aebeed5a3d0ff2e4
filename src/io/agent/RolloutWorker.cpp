#include "io/agent/RolloutWorker.h"

#include "io/Clock.h"
#include "io/WireValues.h"

#include <endiveroad/Error.h>

namespace endiveroad::io {

namespace {

wire::GenerateAnswer makeRefusal()
{
    wire::GenerateAnswer answer;
    answer.outcome = wire::Outcome::NotRun;
    answer.errorCode = std::string(codeText(ErrorCode::NotRun));
    answer.retryAfterMs = RolloutWorker::refusedRetryAfterMs;
    return answer;
}

wire::GenerateAnswer makeSuccess(const Sample& sample)
{
    wire::GenerateAnswer answer;
    answer.outcome = wire::Outcome::Done;
    answer.__set_sample(toWire(sample));
    return answer;
}

} // namespace

RolloutWorker::RolloutWorker(asio::io_context& context, HttpClient& http, CrashGuard& crashGuard, Admission& admission,
    const Address& server, std::string agentName, std::string model)
    : context_(context)
    , admission_(admission)
    , sampleCache_(RolloutPolicy().heldBytesPerAgent)
    , engine_(std::make_unique<CompletionsEngineClient>(http, server))
    , generator_(context, *engine_, tracker_, crashGuard, server, std::move(agentName), std::move(model))
{
}

asio::awaitable<wire::GenerateAnswer> RolloutWorker::generate(wire::GenerateRequest request, Instant deadline)
{
    const Sample* cached = sampleCache_.find(request.job, static_cast<StepNumber>(request.step),
        static_cast<uint64_t>(request.stepDigest), static_cast<uint32_t>(request.index));
    if (cached && cached->oldestVersion() >= request.oldestVersion)
        co_return makeSuccess(*cached);
    const Key key { request.job, request.step, request.stepDigest, request.index };
    const auto running = generations_.find(key);
    GenerationPtr generation;
    if (running != generations_.end()) {
        generation = running->second;
        co_await joinGeneration(request.requestId, deadline, generation);
    } else {
        if (admission_.admit(request.requestId, false, deadline, now()) != Refusal::None)
            co_return makeRefusal();
        generation = std::make_shared<Generation>(context_);
        generation->requestIds.insert(request.requestId);
        generations_.emplace(key, generation);
        co_await runGeneration(std::move(request), deadline, generation);
        generations_.erase(key);
    }
    if (!generation->sample)
        co_return makeRefusal();
    co_return makeSuccess(*generation->sample);
}

asio::awaitable<void> RolloutWorker::runGeneration(
    wire::GenerateRequest request, Instant deadline, GenerationPtr generation)
{
    try {
        Sample sample = co_await generator_.generate(std::move(request), deadline, generation->handle);
        sampleCache_.add(sample);
        generation->sample = std::move(sample);
    } catch (const Error&) {
        // generate() answers each waiting request with a refusal, because there is no sample.
    }
    admission_.finish();
    generation->isEnded = true;
    generation->ended.notifyAll();
}

asio::awaitable<void> RolloutWorker::joinGeneration(std::string requestId, Instant deadline, GenerationPtr generation)
{
    generation->requestIds.insert(requestId);
    while (!generation->isEnded && now() < deadline)
        co_await generation->ended.wait(deadline);
}

wire::HeldAnswer RolloutWorker::heldSamples(const wire::HeldRequest& request) const
{
    wire::HeldAnswer answer;
    for (const Sample& sample : sampleCache_.unreceivedSamples(request.job, static_cast<StepNumber>(request.step),
             static_cast<uint64_t>(request.stepDigest), request.receivedBits))
        answer.samples.push_back(toWire(sample));
    const auto begin = generations_.lower_bound({ request.job, request.step, request.stepDigest, 0 });
    for (auto it = begin; it != generations_.end(); ++it) {
        const Key& key = it->first;
        if (key.job != request.job || key.step != request.step || key.stepDigest != request.stepDigest)
            break;
        answer.running.push_back(key.index);
    }
    return answer;
}

asio::awaitable<wire::LoadAnswer> RolloutWorker::load(wire::LoadRequest request)
{
    const bool isLoaded = co_await generator_.load(request.version, request.weights, request.order);
    wire::LoadAnswer answer;
    answer.outcome = isLoaded ? wire::Outcome::Done : wire::Outcome::Unknown;
    answer.version = tracker_.version();
    co_return answer;
}

void RolloutWorker::onRelease(const wire::ReleaseNotice& notice)
{
    sampleCache_.onReceived(notice.job, static_cast<StepNumber>(notice.step), static_cast<uint64_t>(notice.stepDigest),
        notice.receivedBits);
}

void RolloutWorker::onCancel(const wire::CancelNotice& notice)
{
    for (const auto& [key, generation] : generations_) {
        if (generation->requestIds.erase(notice.requestId) > 0 && generation->requestIds.empty())
            generation->handle->cancel();
    }
}

asio::awaitable<void> RolloutWorker::watchEngine(std::function<void(bool isUp)> onState)
{
    co_await generator_.watchEngine(std::move(onState));
}

} // namespace endiveroad::io
