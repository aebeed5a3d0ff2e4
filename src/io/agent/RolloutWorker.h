#pragma once

#include "io/Tasks.h"
#include "io/agent/Generator.h"

#include <endiveroad/Admission.h>
#include <endiveroad/SampleCache.h>
#include <endiveroad/VersionTracker.h>
#include <endiveroad_types.h>
#include <map>
#include <memory>

namespace endiveroad::io {

/// Serves an agent's rollout requests: generates samples, keeps finished ones in a cache with a byte limit, which
/// evicts those first that the trainer has received, and swaps the engine's weights.
class RolloutWorker {
public:
    static constexpr int32_t refusedRetryAfterMs = 200;

    RolloutWorker(asio::io_context&, HttpClient&, CrashGuard&, Admission&, const Address& server, std::string agentName,
        std::string model);

    const VersionTracker& tracker() const { return tracker_; }
    const SampleCache& sampleCache() const { return sampleCache_; }
    void setMaxHeldBytes(uint64_t maxBytes) { sampleCache_.setMaxBytes(maxBytes); }

    /// Answers from the cache if it has the sample and none of its tokens is older than the request allows. Otherwise
    /// generates it, or waits for a generation of it that runs already.
    asio::awaitable<wire::GenerateAnswer> generate(wire::GenerateRequest, Instant deadline);

    /// Samples of a step in the cache, except those in the request's receivedBits, and the indices of those being
    /// generated.
    wire::HeldAnswer heldSamples(const wire::HeldRequest&) const;

    /// See Generator::load().
    asio::awaitable<wire::LoadAnswer> load(wire::LoadRequest);

    /// Marks samples as received by the trainer, so that the cache evicts them first.
    void onRelease(const wire::ReleaseNotice&);

    /// Removes a request from those that wait for a generation; cancels the generation if it was the last.
    void onCancel(const wire::CancelNotice&);

    /// See Generator::watchEngine().
    asio::awaitable<void> watchEngine(std::function<void(bool isUp)> onState);

private:
    struct Key {
        std::string job;
        int64_t step = 0;
        int64_t stepDigest = 0;
        int32_t index = 0;

        auto operator<=>(const Key&) const = default;
    };

    /// A generation in progress, with the ids of the requests that wait for it.
    struct Generation {
        explicit Generation(asio::io_context& context)
            : ended(context)
        {
        }

        std::set<std::string> requestIds;
        std::shared_ptr<GenerationHandle> handle = std::make_shared<GenerationHandle>();
        std::optional<Sample> sample;
        bool isEnded = false;
        Signal ended;
    };
    using GenerationPtr = std::shared_ptr<Generation>;

    asio::awaitable<void> runGeneration(wire::GenerateRequest, Instant deadline, GenerationPtr);
    asio::awaitable<void> joinGeneration(std::string requestId, Instant deadline, GenerationPtr);

    asio::io_context& context_;
    Admission& admission_;
    VersionTracker tracker_;
    SampleCache sampleCache_;
    std::unique_ptr<EngineClient> engine_;
    Generator generator_;
    std::map<Key, GenerationPtr> generations_;
};

} // namespace endiveroad::io
