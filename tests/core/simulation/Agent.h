#pragma once

#include "core/simulation/Engine.h"
#include "core/simulation/Network.h"

#include <endiveroad/JobCoordinator.h>
#include <endiveroad/SampleCache.h>
#include <endiveroad/SampleProgress.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>

/// Simulated agent: the decisions are made by the production core, this class replaces its I/O.
namespace simulation {

using namespace endiveroad;

struct GenerateOrder {
    Dispatch dispatch;
    WeightVersion oldestUsable = 0;
    RolloutObjective objective;
};

class Agent {
public:
    static constexpr uint64_t cacheBytes = 4000;
    using OnSample = std::function<void(std::optional<Sample>)>;

    Agent(std::string name, Network& network, bool honoursFencing, bool statesVersion)
        : engine(honoursFencing)
        , name_(std::move(name))
        , network_(network)
        , statesVersion_(statesVersion)
    {
    }

    Engine engine;

    const SampleCache& cache() const { return *cache_; }
    /// Marks samples as received by the trainer.
    void markReceived(StepNumber, uint64_t digest, const std::string& receivedBits);
    /// Indices of the step's samples that are being generated.
    std::vector<uint32_t> runningIndices(StepNumber, uint64_t digest) const;
    WeightVersion version() const { return tracker_->version(); }
    bool isRunning() const { return !tasks_.empty(); }

    /// Loses all state; the engine keeps running.
    void crash();
    /// Answers from the held samples, joins a running task for the same sample, or starts a task.
    void generate(const GenerateOrder&, OnSample);
    /// Begins a swap: stops reading streams, confirms the tokens read so far, then sends the load order to the engine.
    void load(const PolicyState&);
    /// Requests the engine's status, unless a swap is in progress.
    void refreshStatus();

    /// Executes one action of a task: opens its stream, or reads the tokens that the engine has generated since.
    void advanceTask(size_t pick);
    void generateToken(size_t pick);
    void restartEngine(WeightVersion);
    size_t streams() const { return engine.streams.size(); }

private:
    enum class Phase { Waiting, Reading, Confirming };

    struct Task {
        GenerateOrder order;
        std::vector<OnSample> waiters;
        SampleProgress progress;
        Phase phase = Phase::Waiting;
        uint64_t stream = 0;
        uint64_t statusRequest = 0;
    };

    void read(uint64_t id, Task&);
    /// Closes the stream and requests the engine's status, which confirms the tokens or drops them.
    void confirmTokens(uint64_t id, Task&);
    /// Keeps or drops the stream's tokens, and ends the task if the sample is finished.
    void finishStream(uint64_t id, bool isProven);
    void finishTask(uint64_t id, std::optional<Sample>);
    /// The answer is false if the request or the answer was lost.
    void requestStatus(std::function<void(bool isAnswered)>);
    void sendLoadOrder(const PolicyState&);
    void onLoadEnded(uint64_t swap);

    std::string name_;
    Network& network_;
    bool statesVersion_;
    uint64_t incarnation_ = 1;
    uint64_t nextId_ = 1;
    uint64_t swap_ = 0;
    std::unique_ptr<VersionTracker> tracker_ = std::make_unique<VersionTracker>();
    std::unique_ptr<SampleCache> cache_ = std::make_unique<SampleCache>(cacheBytes);
    std::map<uint64_t, Task> tasks_;
};

} // namespace simulation
