#include "io/agent/Generator.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/PeerConnection.h"

#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad::io {

Generator::Generator(
    asio::io_context& context, EngineClient& engine, VersionTracker& tracker, std::string agentName, std::string model)
    : context_(context)
    , engine_(engine)
    , tracker_(tracker)
    , agentName_(std::move(agentName))
    , model_(std::move(model))
{
}

asio::awaitable<Sample> Generator::generate(wire::GenerateRequest request, Instant deadline)
{
    log(Event::SampleStarted, { { "request", request.requestId }, { "version", std::to_string(tracker_.version()) } });
    Progress progress;
    Sample& sample = progress.sample;
    sample.job = request.job;
    sample.step = static_cast<StepNumber>(request.step);
    sample.index = static_cast<uint32_t>(request.index);
    sample.stepDigest = static_cast<uint64_t>(request.stepDigest);
    sample.agent = agentName_;
    while (!progress.isFinished) {
        if (now() >= deadline)
            throw NotRunError("the sample was not finished by its deadline");
        if (!co_await waitForVersion(request.oldestVersion, deadline))
            throw NotRunError("the engine's weight version is unknown or too old");
        discardStaleTokens(progress, request.oldestVersion);
        co_await runStream(request, progress, deadline);
    }
    log(Event::SampleFinished, { { "request", request.requestId }, { "tokens", std::to_string(sample.tokens) } });
    co_return std::move(sample);
}

asio::awaitable<bool> Generator::waitForVersion(WeightVersion atLeast, Instant deadline)
{
    while (tracker_.version() == unknownVersion && now() < deadline)
        co_await sleepFor(versionWait);
    co_return tracker_.version() != unknownVersion&& tracker_.version() >= atLeast;
}

void Generator::discardStaleTokens(Progress& progress, WeightVersion oldest) const
{
    if (progress.sample.segments.empty() || progress.sample.oldestVersion() >= oldest)
        return;
    log(Event::TokensDiscarded,
        { { "job", progress.sample.job }, { "tokens", std::to_string(progress.sample.tokens) },
            { "reason", "stale" } });
    progress.sample.segments.clear();
    progress.sample.text.clear();
    progress.sample.tokens = 0;
}

asio::awaitable<void> Generator::runStream(const wire::GenerateRequest& request, Progress& progress, Instant deadline)
{
    Sample& sample = progress.sample;
    const uint64_t epoch = tracker_.epoch();
    const WeightVersion version = tracker_.version();
    EngineCompletion completion { model_, request.requestId, request.prompt + sample.text,
        static_cast<uint32_t>(request.maxTokens) - sample.tokens, request.priority };
    std::string text;
    uint32_t tokens = 0;
    std::string finishReason;
    bool isForeign = false;
    HttpCancellation cancellation;
    streams_.insert(&cancellation);
    auto onChunk = [&](const EngineChunk& chunk) {
        // Chunks read after an order was given may come from either version, so they are left out.
        if (tracker_.epoch() != epoch)
            return false;
        isForeign = chunk.version != unknownVersion && chunk.version != version;
        if (isForeign)
            return false;
        text += chunk.text;
        tokens += chunk.tokens;
        finishReason = chunk.finishReason;
        return true;
    };
    bool isEnded = false;
    try {
        isEnded = co_await engine_.complete(std::move(completion), deadline, onChunk, cancellation);
    } catch (const Error& error) {
        log(Event::SampleRefused, { { "request", request.requestId }, { "reason", error.what() } });
    }
    streams_.erase(&cancellation);
    // The engine must state, after the last token, that it loaded nothing since the stream was opened. Tokens read
    // before an order of this agent were checked when the order was given.
    const bool wasSwapOrdered = cancellation.isCancelled();
    if (!wasSwapOrdered && (!co_await refresh() || tracker_.epoch() != epoch)) {
        if (tokens > 0)
            log(Event::TokensDiscarded, { { "request", request.requestId }, { "tokens", std::to_string(tokens) } });
        co_await sleepFor(versionWait);
        co_return;
    }
    if (tokens > 0) {
        if (!sample.segments.empty() && sample.segments.back().version == version)
            sample.segments.back().endToken += tokens;
        else
            sample.segments.push_back({ sample.tokens, sample.tokens + tokens, version });
        sample.text += text;
        sample.tokens += tokens;
    }
    if (isEnded && !finishReason.empty()) {
        sample.finishReason = finishReason;
        progress.isFinished = true;
    } else if (!wasSwapOrdered) {
        co_await sleepFor(versionWait);
    }
}

asio::awaitable<bool> Generator::refresh()
{
    try {
        const auto statement = co_await engine_.status(now() + statusTimeout);
        tracker_.onStatement(statement);
        co_return true;
    } catch (const Error&) {
        tracker_.onEngineLost();
        co_return false;
    }
}

void Generator::cancelStreams()
{
    for (HttpCancellation* stream : streams_)
        stream->cancel();
}

asio::awaitable<bool> Generator::load(WeightVersion version, std::string weights)
{
    if (version <= newestOrder_ && tracker_.version() >= version)
        co_return true;
    if (version < newestOrder_ || tracker_.isSwapping())
        co_return false;
    newestOrder_ = version;
    // Tokens read so far are attributable only if the engine states that nothing was loaded before the order.
    const uint64_t epoch = tracker_.epoch();
    const bool isSure = co_await refresh() && tracker_.epoch() == epoch;
    if (tracker_.isSwapping())
        co_return false;
    if (isSure)
        cancelStreams();
    const uint64_t fence = tracker_.beginSwap();
    bool isConfirmed = false;
    try {
        isConfirmed = co_await engine_.load(version, weights, fence, now() + loadTimeout);
    } catch (const Error& error) {
        log(Event::SwapUnknown, { { "version", std::to_string(version) }, { "reason", error.what() } });
    }
    tracker_.finishSwap();
    co_await refresh();
    const bool isLoaded = tracker_.version() == version;
    if (isLoaded)
        log(Event::SwapConfirmed, { { "version", std::to_string(version) } });
    else if (isConfirmed)
        log(Event::SwapUnknown, { { "version", std::to_string(version) } });
    co_return isLoaded;
}

asio::awaitable<void> Generator::watchEngine(std::function<void(bool isUp)> onState)
{
    while (true) {
        if (!tracker_.isSwapping())
            onState(co_await refresh());
        co_await sleepFor(statusInterval);
    }
}

} // namespace endiveroad::io
