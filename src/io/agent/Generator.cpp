#include "io/agent/Generator.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"

#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad::io {

void GenerationHandle::cancel()
{
    isCancelled = true;
    if (stream)
        stream->cancel();
}

Generator::Generator(asio::io_context& context, EngineClient& engine, VersionTracker& tracker, CrashGuard& crashGuard,
    Address engineAddress, std::string agentName, std::string model)
    : engine_(engine)
    , tracker_(tracker)
    , crashGuard_(crashGuard)
    , engineAddress_(std::move(engineAddress))
    , agentName_(std::move(agentName))
    , model_(std::move(model))
    , changed_(context)
{
}

asio::awaitable<Sample> Generator::generate(
    wire::GenerateRequest request, Instant deadline, std::shared_ptr<GenerationHandle> handle)
{
    log(Event::SampleStarted, { { "request", request.requestId }, { "version", std::to_string(tracker_.version()) } });
    Sample emptySample;
    emptySample.job = request.job;
    emptySample.step = static_cast<StepNumber>(request.step);
    emptySample.index = static_cast<uint32_t>(request.index);
    emptySample.stepDigest = static_cast<uint64_t>(request.stepDigest);
    emptySample.agent = agentName_;
    SampleProgress progress(std::move(emptySample), static_cast<uint32_t>(request.maxTokens));
    const RolloutObjective objective { request.stalenessBound, request.idleWeight };
    while (!progress.isFinished()) {
        if (handle->isCancelled)
            throw NotRunError("the generation was cancelled");
        if (now() >= deadline)
            throw NotRunError("the sample was not finished by its deadline");
        if (!co_await waitForVersion(request.oldestVersion, deadline))
            throw NotRunError("the engine's weight version is unknown or too old");
        const uint32_t dropped = progress.discardForRestart(tracker_, request.oldestVersion, objective);
        if (dropped > 0)
            log(Event::TokensDiscarded, { { "request", request.requestId }, { "tokens", std::to_string(dropped) } });
        co_await runStream(request, progress, deadline, *handle);
    }
    const std::string tokens = std::to_string(progress.sample().tokens);
    log(Event::SampleFinished, { { "request", request.requestId }, { "tokens", tokens } });
    co_return progress.sample();
}

asio::awaitable<bool> Generator::waitForVersion(WeightVersion minVersion, Instant deadline)
{
    const Instant waitDeadline = std::min(deadline, now() + maxVersionWait);
    while (tracker_.version() == unknownVersion && now() < waitDeadline)
        co_await changed_.wait(std::min(waitDeadline, now() + statusInterval));
    const WeightVersion version = tracker_.version();
    co_return version != unknownVersion&& version >= minVersion;
}

ServerAttempt Generator::attemptOf(const wire::GenerateRequest& request) const
{
    const ContentId content = ContentId::of("POST", request.job, model_, request.prompt);
    return { request.requestId, content, engineAddress_.text(), crashGuard_.startAt(engineAddress_), now(),
        ContentKind::Owed };
}

asio::awaitable<void> Generator::runStream(
    const wire::GenerateRequest& request, SampleProgress& progress, Instant deadline, GenerationHandle& handle)
{
    ServerAttempt attempt = attemptOf(request);
    const bool isAdmitted = co_await crashGuard_.admitUntil(attempt.content, attempt.server, deadline);
    if (!isAdmitted)
        throw NotRunError("engines have ended under the prompt");
    attempt.sentAt = now();
    OpenStream stream;
    stream.epoch = tracker_.epoch();
    streams_.insert(&stream);
    handle.stream = &stream.cancellation;
    progress.openStream(tracker_);
    crashGuard_.onStart(attempt);
    co_await readStream(request, progress, deadline, stream, handle, attempt);
    crashGuard_.onEnd(attempt);
    handle.stream = nullptr;
    const bool wasSwapped = stream.cancellation.isCancelled() && !handle.isCancelled;
    const bool isConfirmed = co_await confirmTokens(progress, stream);
    streams_.erase(&stream);
    const uint32_t keptTokens = progress.closeStream(isConfirmed);
    if (!isConfirmed)
        log(Event::TokensDiscarded, { { "request", request.requestId }, { "reason", "unattributable" } });
    if (stream.isBrokenOff && !stream.isAnswered && !stream.cancellation.isCancelled())
        co_await crashGuard_.inspect(attempt);
    if (!progress.isFinished() && !wasSwapped && keptTokens == 0)
        co_await sleepFor(emptyStreamDelay);
}

asio::awaitable<void> Generator::readStream(const wire::GenerateRequest& request, SampleProgress& progress,
    Instant deadline, OpenStream& stream, GenerationHandle& handle, const ServerAttempt& attempt)
{
    if (progress.tokensLeft() == 0)
        co_return;
    EngineCompletion completion { model_, request.requestId, request.prompt + progress.sample().text,
        progress.tokensLeft(), request.priority };
    std::string finishReason;
    auto onChunk = [&](const EngineChunk& chunk) {
        if (stream.cancellation.isCancelled() || handle.isCancelled)
            return false;
        if (!stream.isAnswered)
            crashGuard_.onAnswered(attempt);
        stream.isAnswered = true;
        if (!progress.onTokens(chunk.text, chunk.tokens, chunk.version, tracker_))
            return false;
        finishReason = chunk.finishReason;
        return true;
    };
    try {
        const bool isEnded = co_await engine_.complete(std::move(completion), deadline, onChunk, stream.cancellation);
        if (isEnded && !finishReason.empty())
            progress.onEnd(finishReason);
    } catch (const ServerUnavailableError& error) {
        log(Event::SampleRefused, { { "request", request.requestId }, { "reason", error.what() } });
    } catch (const Error& error) {
        stream.isBrokenOff = true;
        log(Event::SampleRefused, { { "request", request.requestId }, { "reason", error.what() } });
    }
}

asio::awaitable<bool> Generator::confirmTokens(SampleProgress& progress, OpenStream& stream)
{
    // A swap requests one status for all streams that it cancelled; waits for it.
    while (tracker_.isSwapping() && !stream.isConfirmed && progress.isInEpoch(tracker_))
        co_await changed_.wait(now() + statusTimeout);
    if (stream.isConfirmed)
        co_return *stream.isConfirmed;
    if (!progress.isInEpoch(tracker_))
        co_return false;
    const bool isAnswered = co_await refreshStatus();
    if (stream.isConfirmed)
        co_return *stream.isConfirmed;
    co_return isAnswered&& progress.isInEpoch(tracker_);
}

asio::awaitable<bool> Generator::refreshStatus()
{
    bool isAnswered = true;
    try {
        const auto status = co_await engine_.status(now() + statusTimeout);
        tracker_.onStatus(status);
    } catch (const Error&) {
        tracker_.onEngineLost();
        isAnswered = false;
    }
    changed_.notifyAll();
    co_return isAnswered;
}

asio::awaitable<void> Generator::confirmOpenStreams()
{
    const std::set<OpenStream*> cancelledStreams = streams_;
    for (OpenStream* stream : cancelledStreams)
        stream->cancellation.cancel();
    const bool isAnswered = co_await refreshStatus();
    for (OpenStream* stream : streams_) {
        if (cancelledStreams.contains(stream))
            stream->isConfirmed = isAnswered && stream->epoch == tracker_.epoch();
    }
}

asio::awaitable<bool> Generator::load(WeightVersion version, std::string weights, int64_t order)
{
    if (tracker_.isCurrent(version, order))
        co_return true;
    if (!tracker_.beginSwap(version, order))
        co_return false;
    co_await confirmOpenStreams();
    const uint64_t fence = tracker_.startLoad();
    changed_.notifyAll();
    bool isAcknowledged = false;
    try {
        isAcknowledged = co_await engine_.load(version, weights, fence, now() + loadTimeout);
    } catch (const Error& error) {
        log(Event::SwapUnknown, { { "version", std::to_string(version) }, { "reason", error.what() } });
    }
    tracker_.finishSwap();
    co_await refreshStatus();
    const bool isLoaded = tracker_.isCurrent(version, order);
    if (isLoaded)
        log(Event::SwapConfirmed, { { "version", std::to_string(version) } });
    else if (isAcknowledged)
        log(Event::SwapUnknown, { { "version", std::to_string(version) } });
    co_return isLoaded;
}

asio::awaitable<void> Generator::watchEngine(std::function<void(bool isUp)> onState)
{
    while (true) {
        if (!tracker_.isSwapping())
            onState(co_await refreshStatus());
        co_await sleepFor(statusInterval);
    }
}

} // namespace endiveroad::io
