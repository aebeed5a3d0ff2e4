#pragma once

#include <endiveroad/JobCoordinator.h>
#include <endiveroad/WeightPlan.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

/// Virtual-time comparison of rollout policies: engines are token rates, trainers take steps, weights change on a
/// fixed beat. The adaptive policy is the product's core; the naive one deals samples out in turn, waits for whole
/// steps, swaps all engines at once and begins everything anew at each swap.
namespace rollout_benchmark {

using namespace endiveroad;

struct Scenario {
    uint32_t replicas = 10;
    uint32_t slots = 6;
    uint32_t trainers = 1;
    uint32_t crashed = 0;
    int64_t stalenessBound = 1;
    double idleWeight = 0.5;
    bool areLengthsKnown = false;
    bool isNaive = false;
    uint64_t seed = 1;
};

struct Outcome {
    /// Time of all steps over the least possible: total tokens over total rate, or the longest sample.
    double timeOverBound = 0;
    double idleShare = 0;
    double meanStaleness = 0;
    double worstStaleness = 0;
    double wastedShare = 0;
};

class Model {
public:
    explicit Model(const Scenario&);
    Outcome run();

private:
    static constexpr uint32_t steps = 6;
    static constexpr uint32_t openSteps = 2;
    static constexpr uint32_t samplesPerStep = 512;
    static constexpr uint32_t samplesPerGroup = 8;
    static constexpr double tokensPerSecond = 50;
    static constexpr uint32_t maxTokens = 4000;
    static constexpr double meanTokens = 1000;

    struct Attempt {
        uint32_t trainer = 0;
        Dispatch dispatch;
        double tokensDone = 0;
        Instant resumedAt {};
        WeightVersion oldest = 0;
        uint64_t id = 0;
        bool hasRestarted = false;
    };

    struct Replica {
        std::map<uint64_t, Attempt> attempts;
        std::vector<std::pair<uint32_t, Dispatch>> queue;
        WeightVersion version = 0;
        bool isSwapping = false;
        bool isUp = true;
    };

    struct Trainer {
        std::unique_ptr<JobCoordinator> coordinator;
        Cursor cursor { "job" };
        std::vector<StepRequest> requests;
        std::vector<std::vector<uint32_t>> lengths;
        uint32_t submitted = 0;
        uint32_t trained = 0;
        bool isTraining = false;
        Instant idleSince {};
        Duration idle {};
        Instant doneAt {};
    };

    struct Event {
        Instant at;
        uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    void schedule(Duration after, std::function<void()>);
    void makeSteps(Trainer&);
    void submit(Trainer&);
    void announce();
    void giveOrders();
    void swap(uint32_t replica);
    void endSwap(uint32_t replica, WeightVersion, bool isCounted);
    void crash(uint32_t replica);
    void dispatch();
    void dispatchAdaptive();
    void dealOut(uint32_t trainer);
    uint32_t freestReplica(WeightVersion atLeast) const;
    void start(uint32_t replica, uint32_t trainer, const Dispatch&);
    void resume(uint32_t replica, Attempt&);
    void pause(Attempt&) const;
    void finish(uint32_t replica, uint64_t attempt, Instant resumedAt);
    void fetch(uint32_t trainer);
    void train(uint32_t trainer);
    bool isDone() const;
    uint32_t length(const Attempt&) const;

    Scenario scenario_;
    std::mt19937_64 random_;
    std::priority_queue<Event> events_;
    uint64_t nextOrder_ = 0;
    uint64_t nextAttempt_ = 1;
    Instant now_ {};
    std::vector<Replica> replicas_;
    std::vector<Trainer> trainers_;
    WeightPlan plan_;
    WeightVersion version_ = 0;
    double totalTokens_ = 0;
    double wastedTokens_ = 0;
    double stalenessSum_ = 0;
    double worstStaleness_ = 0;
    uint64_t delivered_ = 0;
    uint32_t nextDealt_ = 0;
};

} // namespace rollout_benchmark
