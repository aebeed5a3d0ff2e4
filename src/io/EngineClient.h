#pragma once

#include "io/HttpClient.h"

#include <endiveroad/VersionTracker.h>

/// Client of the model engine that runs next to an agent.
namespace endiveroad::io {

/// A piece of a completion stream.
struct EngineChunk {
    std::string text;
    uint32_t tokens = 0;
    std::string finishReason;
    /// Weight version that the engine reports for this chunk; unknownVersion if it reports none.
    WeightVersion version = unknownVersion;

    auto operator<=>(const EngineChunk&) const = default;
};

struct EngineCompletion {
    std::string model;
    std::string requestId;
    std::string prompt;
    uint32_t maxTokens = 0;
    int32_t priority = 0;
};

/// Interface to a model engine. Calls throw ServerUnavailableError and OutcomeUnknownError like HttpClient.
/// In addition, for an answer with a status other than 200, status() throws OutcomeUnknownError and complete() throws
/// ServerUnavailableError.
class EngineClient {
public:
    virtual ~EngineClient() = default;

    virtual asio::awaitable<VersionTracker::EngineStatus> status(Instant deadline) = 0;

    /// Tells the engine to load weights. Returns whether the engine reports success.
    virtual asio::awaitable<bool> load(WeightVersion, std::string weights, uint64_t fence, Instant deadline) = 0;

    /// Streams a completion until it ends, is cancelled or onChunk returns false. Returns true if the engine's end
    /// marker was received; otherwise the completion may be truncated. Throws AnswerBrokenError for a malformed stream.
    virtual asio::awaitable<bool> complete(
        EngineCompletion, Instant deadline, std::function<bool(const EngineChunk&)> onChunk, HttpCancellation&)
        = 0;
};

/// Client of an engine with the OpenAI completions API and server-sent events. The system_fingerprint of a chunk may
/// give the weight version.
class CompletionsEngineClient : public EngineClient {
public:
    CompletionsEngineClient(HttpClient&, Address);

    asio::awaitable<VersionTracker::EngineStatus> status(Instant deadline) override;
    asio::awaitable<bool> load(WeightVersion, std::string weights, uint64_t fence, Instant deadline) override;
    asio::awaitable<bool> complete(EngineCompletion, Instant deadline, std::function<bool(const EngineChunk&)> onChunk,
        HttpCancellation&) override;

private:
    HttpClient& http_;
    Address address_;
};

} // namespace endiveroad::io
