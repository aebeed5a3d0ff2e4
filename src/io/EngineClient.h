#pragma once

#include "io/HttpClient.h"

#include <endiveroad/VersionTracker.h>

/// The model engine beside an agent.
namespace endiveroad::io {

/// A piece of a completion stream.
struct EngineChunk {
    std::string text;
    uint32_t tokens = 0;
    std::string finishReason;
    /// Version that the engine states for this chunk; unknownVersion if it states none.
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

/// Interface to a model engine. Calls throw ServerUnavailableError or OutcomeUnknownError like HttpClient.
class EngineClient {
public:
    virtual ~EngineClient() = default;

    virtual asio::awaitable<VersionTracker::EngineStatus> status(Instant deadline) = 0;

    /// Orders the engine to load weights. Returns whether it states that it did.
    virtual asio::awaitable<bool> load(WeightVersion, std::string weights, uint64_t fence, Instant deadline) = 0;

    /// Streams a completion until it ends, is cancelled or onChunk returns false. Returns true if its declared end
    /// was seen.
    virtual asio::awaitable<bool> complete(
        EngineCompletion, Instant deadline, std::function<bool(const EngineChunk&)> onChunk, HttpCancellation&)
        = 0;
};

/// The OpenAI completions form with server-sent events; each chunk's system_fingerprint may name the weight version.
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
