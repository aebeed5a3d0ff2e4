#pragma once

#include "core/world/Engine.h"
#include "core/world/Network.h"

#include <endiveroad/JobCoordinator.h>
#include <endiveroad/SampleHold.h>
#include <endiveroad/SampleProgress.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>

/// An agent of the model world: the decisions are the product's core, the rest stands for its I/O.
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

    const SampleHold& hold() const { return *hold_; }
    void release(StepNumber, uint64_t digest, const std::string& receivedBits);
    std::vector<uint32_t> running(StepNumber, uint64_t digest) const;
    WeightVersion version() const { return tracker_->version(); }
    bool isRunning() const { return !tasks_.empty(); }

    /// Loses all memory; the engine goes on.
    void crash();
    void generate(const GenerateOrder&, OnSample);
    void load(const PolicyState&);
    void watch();

    /// One action of a task: opens its stream, or reads what the engine has made.
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
    void prove(uint64_t id, Task&);
    void settle(uint64_t id, bool isProven);
    void end(uint64_t id, std::optional<Sample>);
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
    std::unique_ptr<SampleHold> hold_ = std::make_unique<SampleHold>(heldBytes);
    std::map<uint64_t, Task> tasks_;
};

} // namespace world
