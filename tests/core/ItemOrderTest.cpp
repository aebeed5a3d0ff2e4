#include "FixedSeed.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <endiveroad/ItemOrder.h>
#include <fmt/format.h>
#include <random>
#include <set>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };

ReplicaView replica(const std::string& agent, int32_t running = 0, double eventMs = 30)
{
    ReplicaView view;
    view.agent = agent;
    view.isUp = true;
    view.running = running;
    view.slots = 6;
    view.versions["m"] = 1;
    view.eventMs = eventMs;
    view.software = { "engines", "v1" };
    return view;
}

/// A step of the given groups, each of items with these expected tokens.
StepView step(const std::string& job, Instant dueAt, const std::vector<std::vector<double>>& groups)
{
    StepView view;
    view.job = job;
    view.model = "m";
    view.oldestVersion = 1;
    view.dueAt = dueAt;
    view.terminateAt = dueAt + 4500ms;
    for (size_t group = 0; group < groups.size(); ++group) {
        for (double tokens : groups[group])
            view.items.push_back({ fmt::format("g{}", group), tokens, 0, "", false });
    }
    return view;
}

std::vector<WaitingItem> waitingOf(const std::vector<StepView>& steps)
{
    std::vector<WaitingItem> waiting;
    for (const StepView& view : steps) {
        for (size_t i = 0; i < view.items.size(); ++i) {
            const StepItem& item = view.items[i];
            if (item.agent.empty() && !item.isGenerated)
                waiting.push_back(
                    { view.job, i, item.group, view.model, view.oldestVersion, view.dueAt, item.expectedTokens, {} });
        }
    }
    return waiting;
}

/// Jobs of the waiting items in their order.
std::vector<std::string> jobsInOrder(const std::vector<WaitingItem>& waiting, const ItemOrder& order)
{
    std::vector<std::string> jobs;
    for (size_t index : order.order)
        jobs.push_back(waiting[index].job);
    return jobs;
}

enum class Policy { DueTime, PriorityOnly, ShortestFirst, WholeGroups };

struct ReplayOptions {
    double load = 1.1;
    /// Replicas that are lost from the middle of the replay on.
    size_t lost = 0;
    /// Each trainer's jobs belong to a coordinator of their own, which does not see those of the others.
    bool isShared = false;
    Policy policy = Policy::WholeGroups;
    uint64_t seed = 1;
};

/// By priority of the trainers.
struct ReplayResult {
    int wanted[2] = { 0, 0 };
    int inTime[2] = { 0, 0 };
    int late[2] = { 0, 0 };
    int overloadedRounds = 0;

    int allInTime() const { return inTime[0] + inTime[1]; }
    double value() const { return 4.0 * allInTime() + 1.5 * (late[0] + late[1]); }
    double share(int priority) const { return static_cast<double>(inTime[priority]) / wanted[priority]; }
};

/// List scheduling of four trainers' steps on 33 replicas with 6 slots, as deployment K has them: a step each 4 s of 5
/// to 13 groups of 8 or 16 items, due after 7.5 s and given up after 12 s. A run takes its real length, which the
/// scheduler does not know. An item that is generated is listed listingTime later.
class Replay {
public:
    explicit Replay(ReplayOptions options)
        : options_(options)
        , random_(options.seed)
    {
        for (size_t i = 0; i < replicaCount; ++i)
            replicas_.push_back(replica(fmt::format("a{:02}", i)));
        submitAll();
    }

    ReplayResult run()
    {
        const Instant end = start + period * stepsPerTrainer + 13s;
        for (Instant now = start; now < end; now += 20ms) {
            if (now == start + period * (stepsPerTrainer / 2)) {
                for (size_t i = 0; i < options_.lost; ++i)
                    lose(replicas_[i]);
            }
            finishRuns(now);
            for (size_t i = 0; i < trainers; ++i) {
                // Coordinators decide in changing order.
                const size_t coordinator = (i + static_cast<size_t>(now.time_since_epoch() / 20ms)) % trainers;
                if (options_.isShared || i == 0)
                    decide(now, options_.isShared ? std::optional(coordinator) : std::nullopt);
            }
        }
        return result_;
    }

private:
    static constexpr size_t replicaCount = 33;
    static constexpr size_t trainers = 4;
    static constexpr int stepsPerTrainer = 15;
    static constexpr Duration period = 4s;

    struct Job {
        StepView view;
        size_t trainer = 0;
        Instant submittedAt;
        std::vector<double> tokens;
        std::vector<Instant> startedAt;
        std::vector<Instant> listedAt;
        bool isEnded = false;
    };

    /// Work of the trainers that does not depend on the policy. Lengths are scaled to the load.
    void submitAll()
    {
        std::lognormal_distribution<double> length(0, 0.5);
        std::lognormal_distribution<double> error(0, 0.25);
        double total = 0;
        for (int number = 0; number < stepsPerTrainer; ++number) {
            for (size_t trainer = 0; trainer < trainers; ++trainer) {
                Job job;
                job.trainer = trainer;
                job.submittedAt = start + period * number + period / trainers * trainer;
                std::vector<std::vector<double>> groups(5 + random_() % 9);
                for (auto& group : groups) {
                    group.resize(random_() % 2 == 0 ? 8 : 16);
                    for (double& tokens : group) {
                        tokens = std::min(length(random_), 3.0);
                        total += tokens;
                        job.tokens.push_back(tokens);
                    }
                }
                job.view = step(fmt::format("j{:02}-{}", number, trainer), job.submittedAt + 7500ms, groups);
                job.view.priority = static_cast<int32_t>(trainer % 2);
                job.view.targetGroups = (groups.size() * 9 + 9) / 10;
                job.startedAt.resize(job.tokens.size());
                job.listedAt.resize(job.tokens.size(), never);
                jobs_.push_back(std::move(job));
            }
        }
        const double capacity
            = replicaCount * 6 * std::chrono::duration<double, std::milli>(period).count() / 30 * stepsPerTrainer;
        for (Job& job : jobs_) {
            for (size_t i = 0; i < job.tokens.size(); ++i) {
                job.tokens[i] *= options_.load * capacity / total;
                job.view.items[i].expectedTokens = job.tokens[i] * error(random_);
            }
        }
    }

    ReplicaView& replicaOf(const std::string& agent)
    {
        return *std::find_if(
            replicas_.begin(), replicas_.end(), [&](const ReplicaView& view) { return view.agent == agent; });
    }

    void lose(ReplicaView& lost)
    {
        lost.isUp = false;
        lost.running = 0;
        for (Job& job : jobs_) {
            for (StepItem& item : job.view.items) {
                if (item.agent == lost.agent)
                    item.agent.clear();
            }
        }
    }

    void finishRuns(Instant now)
    {
        for (Job& job : jobs_) {
            if (job.isEnded || now < job.submittedAt)
                continue;
            for (size_t i = 0; i < job.view.items.size(); ++i) {
                StepItem& item = job.view.items[i];
                if (item.agent.empty())
                    continue;
                item.generatedTokens = std::chrono::duration<double, std::milli>(now - job.startedAt[i]).count() / 30;
                if (item.generatedTokens < job.tokens[i])
                    continue;
                item.isGenerated = true;
                job.listedAt[i] = now + listingTime;
                --replicaOf(item.agent).running;
                item.agent.clear();
            }
            endIfDone(job, now);
        }
    }

    /// The trainer ends its step when it has the groups that it waits for, or gives up.
    void endIfDone(Job& job, Instant now)
    {
        std::map<std::string, Instant> groups;
        for (size_t i = 0; i < job.tokens.size(); ++i) {
            Instant& listed = groups.try_emplace(job.view.items[i].group, start).first->second;
            listed = std::max(listed, job.listedAt[i]);
        }
        std::vector<Instant> complete;
        for (const auto& [name, listed] : groups) {
            if (listed <= now)
                complete.push_back(listed);
        }
        if (complete.size() < job.view.targetGroups && now < job.view.terminateAt)
            return;
        std::sort(complete.begin(), complete.end());
        complete.resize(std::min(complete.size(), job.view.targetGroups));
        job.isEnded = true;
        const auto priority = static_cast<size_t>(job.view.priority);
        result_.wanted[priority] += static_cast<int>(job.view.targetGroups);
        for (Instant listed : complete)
            ++(listed <= job.view.dueAt + dueTolerance ? result_.inTime : result_.late)[priority];
        for (StepItem& item : job.view.items) {
            if (!item.agent.empty())
                --replicaOf(item.agent).running;
        }
    }

    void decide(Instant now, std::optional<size_t> trainer)
    {
        std::vector<StepView> steps;
        std::map<std::string, Job*> byId;
        std::vector<ReplicaView> views = replicas_;
        for (Job& job : jobs_) {
            if (job.isEnded || now < job.submittedAt || (trainer && job.trainer != *trainer))
                continue;
            steps.push_back(job.view);
            byId[job.view.job] = &job;
            for (const StepItem& item : job.view.items) {
                for (ReplicaView& view : views)
                    view.ownRuns += !item.agent.empty() && view.agent == item.agent ? 1 : 0;
            }
        }
        const std::vector<WaitingItem> waiting = waitingOf(steps);
        for (const Placement& placement : placeInOrder(waiting, orderOf(waiting, steps, views, now), views)) {
            const WaitingItem& item = waiting[placement.waitingIndex];
            Job& job = *byId.at(item.job);
            job.view.items[item.itemIndex].agent = placement.agent;
            job.startedAt[item.itemIndex] = now;
            ++replicaOf(placement.agent).running;
        }
    }

    std::vector<size_t> orderOf(const std::vector<WaitingItem>& waiting, const std::vector<StepView>& steps,
        const std::vector<ReplicaView>& views, Instant now)
    {
        if (options_.policy == Policy::WholeGroups) {
            const ItemOrder order = orderItems(waiting, steps, views, now);
            result_.overloadedRounds += order.isOverloaded ? 1 : 0;
            return order.order;
        }
        std::map<std::string, int32_t> priorities;
        for (const StepView& view : steps)
            priorities[view.job] = view.priority;
        std::vector<size_t> order = dueTimeOrder(waiting);
        std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
            if (options_.policy == Policy::PriorityOnly)
                return priorities[waiting[a].job] < priorities[waiting[b].job];
            return options_.policy == Policy::ShortestFirst && waiting[a].expectedTokens < waiting[b].expectedTokens;
        });
        return order;
    }

    ReplayOptions options_;
    std::mt19937_64 random_;
    std::vector<ReplicaView> replicas_;
    std::vector<Job> jobs_;
    ReplayResult result_;
};

ReplayResult replay(ReplayOptions options)
{
    return Replay(options).run();
}

} // namespace

// Figures of docs/design/0063-items-under-overload.md.
TEST_CASE("figures of the replay by policy", "[.item-order-figures]")
{
    for (const auto& [load, lost] : std::vector<std::pair<double, size_t>> { { 0.8, 0 }, { 1.1, 0 }, { 1.1, 8 } }) {
        for (bool isShared : { false, true }) {
            for (Policy policy :
                { Policy::DueTime, Policy::PriorityOnly, Policy::ShortestFirst, Policy::WholeGroups }) {
                ReplayResult sum;
                for (uint64_t seed = 1; seed <= 2; ++seed) {
                    const ReplayResult one = replay({ load, lost, isShared, policy, seed });
                    for (int i = 0; i < 2; ++i) {
                        sum.wanted[i] += one.wanted[i];
                        sum.inTime[i] += one.inTime[i];
                        sum.late[i] += one.late[i];
                    }
                    sum.overloadedRounds += one.overloadedRounds;
                }
                WARN(fmt::format(
                    "load {} lost {} shared {} policy {}: in time {:.3f} {:.3f}, late {:.3f} {:.3f}, value "
                    "{:.3f}, overloaded rounds {}",
                    load, lost, isShared, static_cast<int>(policy), sum.share(0), sum.share(1),
                    static_cast<double>(sum.late[0]) / sum.wanted[0], static_cast<double>(sum.late[1]) / sum.wanted[1],
                    sum.value() / 4 / (sum.wanted[0] + sum.wanted[1]), sum.overloadedRounds));
            }
        }
    }
}

// Guards against the order by due time under overload: all groups of all steps are complete a little late.
TEST_CASE("more wanted groups are complete in time under overload than in the order of due times", "[item-order]")
{
    for (size_t lost : { 0, 8 }) {
        for (bool isShared : { false, true }) {
            const ReplayResult before = replay({ 1.1, lost, isShared, Policy::DueTime, 1 });
            const ReplayResult after = replay({ 1.1, lost, isShared, Policy::WholeGroups, 1 });
            INFO("lost " << lost << ", shared " << isShared << ": " << before.allInTime() << " before, "
                         << after.allInTime() << " after");
            CHECK(after.overloadedRounds > 0);
            CHECK(after.allInTime() * 10 > before.allInTime() * 12);
            CHECK(after.value() > before.value());
        }
    }
}

// Guards against priorities without a bound: the low one would wait as long as the high one has work.
TEST_CASE("the low priority completes groups in time while the high one has more work than slots", "[item-order]")
{
    const std::vector<std::vector<double>> many(20, std::vector<double>(8, 60));
    std::vector<StepView> steps { step("high", start + 7s, many), step("low", start + 7s, many) };
    steps[1].priority = 1;
    const std::vector<ReplicaView> replicas(4, replica("a"));
    const auto waiting = waitingOf(steps);
    const ItemOrder order = orderItems(waiting, steps, replicas, start);
    REQUIRE(order.isOverloaded);
    const auto jobs = jobsInOrder(waiting, order);
    CHECK(jobs.front() == "high");
    const auto low = std::count(jobs.begin(), jobs.begin() + 80, "low");
    CHECK(low >= 8);
    CHECK(low <= 24);
}

// Guards against a schedule that changes in deployments that have room for all.
TEST_CASE("steps with room for all are placed exactly in the order of due times", "[item-order]")
{
    checkProperty("same placements without overload", 1, 300, [] {
        std::vector<ReplicaView> replicas;
        const int replicaCount = *rc::gen::inRange(2, 12);
        for (int i = 0; i < replicaCount; ++i) {
            replicas.push_back(replica("a" + std::to_string(i), *rc::gen::inRange(0, 4), *rc::gen::inRange(20, 40)));
            replicas.back().ownRuns = replicas.back().running;
        }
        // At 40 ms an event each slot generates 100 tokens in 4 s; the steps need less than half of it.
        const int tokens = replicaCount * 6 * 50;
        std::vector<StepView> steps;
        const int stepCount = *rc::gen::inRange(1, 5);
        for (int i = 0; i < stepCount; ++i) {
            std::vector<std::vector<double>> groups(static_cast<size_t>(*rc::gen::inRange(1, 13)));
            const int most = std::max(tokens / stepCount / static_cast<int>(groups.size()) / 8, 1);
            for (auto& group : groups) {
                for (int item = 0; item < 8; ++item)
                    group.push_back(*rc::gen::inRange(1, most + 1));
            }
            steps.push_back(step("j" + std::to_string(i), start + 4400ms + *rc::gen::inRange(0, 4000) * 1ms, groups));
            steps.back().priority = *rc::gen::inRange(0, 3);
            steps.back().organisation = "o" + std::to_string(*rc::gen::inRange(0, 2));
            steps.back().targetGroups = static_cast<size_t>(*rc::gen::inRange(0, 5));
        }
        const auto waiting = waitingOf(steps);
        const ItemOrder order = orderItems(waiting, steps, replicas, start);
        RC_ASSERT(!order.isOverloaded);
        std::vector<ReplicaView> before = replicas;
        std::vector<ReplicaView> after = replicas;
        RC_ASSERT(placeInOrder(waiting, order.order, after) == placeItems(waiting, before));
        RC_ASSERT(after == before);
    });
}

// Guards against items of many groups that run at once, so that no group is complete.
TEST_CASE("begun groups go first as a whole, surplus groups wait for free slots", "[item-order]")
{
    std::vector<StepView> steps { step("j", start + 6s, { { 90, 90 }, { 50, 40 }, { 60, 70 }, { 10, 95 } }) };
    steps[0].targetGroups = 3;
    steps[0].items[0].agent = "a";
    steps[0].items[0].generatedTokens = 5;
    ReplicaView full = replica("a", 6);
    full.ownRuns = 1;
    const auto waiting = waitingOf(steps);
    const ItemOrder order = orderItems(waiting, steps, { full }, start);
    REQUIRE(order.isOverloaded);
    std::vector<size_t> items;
    for (size_t index : order.order)
        items.push_back(waiting[index].itemIndex);
    std::vector<size_t> sorted = items;
    std::sort(sorted.begin(), sorted.end());
    CHECK(sorted == std::vector<size_t> { 1, 2, 3, 6, 7 });
    CHECK(items.front() == 1);
    CHECK(order.ranks[3] == ItemRank::Surplus);
}

// Guards against an organisation whose steps come first by name taking all slots.
TEST_CASE("organisations with steps of equal priority and due time are served in turn", "[item-order]")
{
    const std::vector<std::vector<double>> many(20, std::vector<double>(8, 60));
    std::vector<StepView> steps { step("a", start + 7s, many), step("b", start + 7s, many) };
    steps[0].organisation = "first";
    steps[1].organisation = "second";
    const auto waiting = waitingOf(steps);
    const ItemOrder order = orderItems(waiting, steps, { replica("x"), replica("y") }, start);
    REQUIRE(order.isOverloaded);
    const auto jobs = jobsInOrder(waiting, order);
    CHECK(std::count(jobs.begin(), jobs.begin() + 32, "a") == 16);
}

// Guards against moves that cost a connection and change nothing: 977 of 5,145 runs were moved.
TEST_CASE("a run moves only if its wanted group is complete sooner by more than the cost", "[item-order]")
{
    std::vector<ReplicaView> replicas { replica("slow", 2, 60), replica("fast", 1, 30), replica("full", 6, 60) };
    StepView view = step("j", start + 7s, { { 100, 100 }, { 100 } });
    view.items[0].agent = "slow";
    view.items[1].agent = "fast";
    view.items[1].generatedTokens = 80;
    CHECK(weighMove(view, 0, replicas) == MoveVerdict::Worthwhile);
    StepView nearlyDone = view;
    nearlyDone.items[0].generatedTokens = 96;
    nearlyDone.items[0].expectedTokens = 40;
    CHECK(weighMove(nearlyDone, 0, replicas) == MoveVerdict::CostsMore);
    StepView besideLonger = view;
    besideLonger.items[1].agent = "full";
    besideLonger.items[1].expectedTokens = 300;
    besideLonger.items[1].generatedTokens = 0;
    CHECK(weighMove(besideLonger, 0, replicas) == MoveVerdict::NoGroupSooner);
    StepView surplus = view;
    surplus.targetGroups = 1;
    surplus.items[2].isGenerated = true;
    CHECK(weighMove(surplus, 0, replicas) == MoveVerdict::NoGroupSooner);
}
