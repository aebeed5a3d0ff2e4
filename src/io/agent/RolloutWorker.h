#pragma once

#include "io/Tasks.h"
#include "io/agent/Generator.h"

#include <endiveroad/Admission.h>
#include <endiveroad/SampleCache.h>
#include <endiveroad/VersionTracker.h>
#include <endiveroad_types.h>
#include <map>
#include <memory>

/// The rollout part of an agent: generates samples, holds finished ones until the trainer has them, swaps weights.
namespace endiveroad::io {

class RolloutWorker {
public:
    static constexpr int32_t refusedRetryAfterMs = 200;

    RolloutWorker(
        asio::io_context&, HttpClient&, Admission&, const Address& server, std::string agentName, std::string model);

    const VersionTracker& tracker() const { return tracker_; }
    const SampleCache& sampleCache() const { return sampleCache_; }
    void setMaxHeldBytes(uint64_t maxBytes) { sampleCache_.setMaxBytes(maxBytes); }

    /// Generates a sample or joins the generation of it that runs already. Held samples are answered at once.
    asio::awaitable<wire::GenerateAnswer> generate(wire::GenerateRequest, Instant deadline);

    /// Samples held and being generated of a step.
    wire::HeldAnswer heldSamples(const wire::HeldRequest&) const;

    asio::awaitable<wire::LoadAnswer> load(wire::LoadRequest);

    void onRelease(const wire::ReleaseNotice&);

    /// Ends a generation once nobody waits for it.
    void onCancel(const wire::CancelNotice&);

    asio::awaitable<void> watchEngine(std::function<void(bool isUp)> onState);

private:
    struct Key {
        std::string job;
        int64_t step = 0;
        int64_t stepDigest = 0;
        int32_t index = 0;

        auto operator<=>(const Key&) const = default;
    };

    /// A generation under way, with the ids of the requests that wait for it.
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
