#pragma once

#include "core/world/Engine.h"
#include "core/world/Network.h"

#include <endiveroad/JobCoordinator.h>
#include <endiveroad/SampleCache.h>
#include <endiveroad/SampleProgress.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>

/// Simulated agent: the decisions are made by the production core, this class replaces its I/O.
namespace world {

using namespace endiveroad;

struct GenerateOrder {
    Dispatch dispatch;
    WeightVersion oldestUsable = 0;
    RolloutObjective objective;
};

class Agent {
public:
    static constexpr uint64_t heldBytes = 4000;
    using OnSample = std::function<void(std::optional<Sample>)>;

    Agent(std::string name, Network& network, bool honoursFencing, bool statesVersion)
        : engine(honoursFencing)
        , name_(std::move(name))
        , network_(network)
        , statesVersion_(statesVersion)
    {
    }

    Engine engine;

    const SampleCache& hold() const { return *hold_; }
    /// Marks samples as received by the trainer.
    void release(StepNumber, uint64_t digest, const std::string& receivedBits);
    /// Indices of the step's samples that are being generated.
    std::vector<uint32_t> running(StepNumber, uint64_t digest) const;
    WeightVersion version() const { return tracker_->version(); }
    bool isRunning() const { return !tasks_.empty(); }

    /// Loses all state; the engine keeps running.
    void crash();
    /// Answers from the held samples, joins a running task for the same sample, or starts a task.
    void generate(const GenerateOrder&, OnSample);
    /// Begins a swap: stops reading streams, confirms the tokens read so far, then sends the load order to the engine.
    void load(const PolicyState&);
    /// Requests the engine's status, unless a swap is in progress.
    void watch();

    /// Executes one action of a task: opens its stream, or reads the tokens that the engine has generated since.
    void advance(size_t pick);
    void engineMakesTokens(size_t pick);
    void engineRestarts(WeightVersion);
    size_t streams() const { return engine.streams.size(); }

private:
    enum class Phase { Waiting, Reading, Proving };

    struct Task {
        GenerateOrder order;
        std::vector<OnSample> waiters;
        SampleProgress progress;
        Phase phase = Phase::Waiting;
        uint64_t stream = 0;
        uint64_t proof = 0;
    };

    void read(uint64_t id, Task&);
    /// Closes the stream and requests the engine's status, which confirms the tokens or drops them.
    void prove(uint64_t id, Task&);
    /// Keeps or drops the stream's tokens, and ends the task if the sample is finished.
    void settle(uint64_t id, bool isProven);
    void end(uint64_t id, std::optional<Sample>);
    /// The answer is false if the request or the answer was lost.
    void askStatus(std::function<void(bool isAnswered)>);
    void giveOrder(const PolicyState&);
    void onLoadEnded(uint64_t swap);

    std::string name_;
    Network& network_;
    bool statesVersion_;
    uint64_t incarnation_ = 1;
    uint64_t nextId_ = 1;
    uint64_t swap_ = 0;
    std::unique_ptr<VersionTracker> tracker_ = std::make_unique<VersionTracker>();
    std::unique_ptr<SampleCache> hold_ = std::make_unique<SampleCache>(heldBytes);
    std::map<uint64_t, Task> tasks_;
};

} // namespace world
