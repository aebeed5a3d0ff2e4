#include <algorithm>
#include <catch2/catch.hpp>
#include <endiveroad/BatchPlacement.h>
#include <set>

using namespace endiveroad;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 10s };

ReplicaView replica(const std::string& agent, int32_t running = 0, double eventMs = 30)
{
    ReplicaView view;
    view.agent = agent;
    view.isUp = true;
    view.running = running;
    view.slots = 8;
    view.versions["m"] = 3;
    view.eventMs = eventMs;
    view.software = { "engines", "v1" };
    return view;
}

WaitingItem item(size_t index, double tokens, Instant dueAt = start + 7s)
{
    return { "job", index, "group", "m", 3, dueAt, tokens, {} };
}

/// An item whose text some software has begun.
WaitingItem begunItem(const std::string& version)
{
    WaitingItem begun = item(0, 10);
    begun.software = SoftwareVersion { "engines", version };
    return begun;
}

ReplicaView newerReplica(const std::string& agent, int32_t running = 0, double eventMs = 30)
{
    ReplicaView view = replica(agent, running, eventMs);
    view.software.version = "v2";
    return view;
}

} // namespace

TEST_CASE("the longest item of the job that is due first is placed first", "[placement]")
{
    std::vector<ReplicaView> replicas { replica("a0", 7) };
    const std::vector<WaitingItem> waiting { item(0, 900, start + 9s), item(1, 10), item(2, 500) };
    const auto placed = placeItems(waiting, replicas);
    REQUIRE(placed.size() == 1);
    CHECK(placed.front().waitingIndex == 2);
}

TEST_CASE("a step with more items than slots fills every slot and none twice", "[placement]")
{
    std::vector<ReplicaView> replicas { replica("a0"), replica("a1"), replica("a2") };
    std::vector<WaitingItem> waiting;
    for (size_t i = 0; i < 48; ++i)
        waiting.push_back(item(i, static_cast<double>(i)));
    const auto placed = placeItems(waiting, replicas);
    REQUIRE(placed.size() == 24);
    for (const Placement& placement : placed)
        CHECK(placement.waitingIndex >= 24);
    for (const ReplicaView& view : replicas)
        CHECK(view.running == 8);
}

TEST_CASE("no item is placed on a replica that is down, loads the model or has too old weights", "[placement]")
{
    ReplicaView down = replica("a0");
    down.isUp = false;
    ReplicaView loading = replica("a1");
    loading.loadingModel = "m";
    ReplicaView old = replica("a2");
    old.versions["m"] = 2;
    std::vector<ReplicaView> replicas { down, loading, old };
    CHECK(placeItems({ item(0, 1) }, replicas).empty());
}

TEST_CASE("an item returns to the replica that failed it only if no other has a free slot", "[placement]")
{
    std::vector<ReplicaView> replicas { replica("a0", 0, 10), replica("a1", 5, 40) };
    WaitingItem failed = item(0, 1);
    failed.avoidedAgents = { "a0" };
    CHECK(placeItems({ failed }, replicas).front().agent == "a1");
    std::vector<ReplicaView> onlyOne { replica("a0") };
    CHECK(placeItems({ failed }, onlyOne).front().agent == "a0");
}

TEST_CASE("a run leaves a slow replica only for one with a free slot and new enough weights", "[placement]")
{
    const std::vector<ReplicaView> replicas { replica("a0", 4, 110), replica("a1", 4, 31), replica("a2", 8, 33) };
    CHECK(shouldMove(replicas[0], "m", 3, replicas));
    CHECK_FALSE(shouldMove(replicas[1], "m", 3, replicas));
    CHECK_FALSE(shouldMove(replicas[0], "m", 4, replicas));
    std::vector<ReplicaView> full = replicas;
    full[1].running = 8;
    CHECK_FALSE(shouldMove(full[0], "m", 3, full));
}

TEST_CASE(
    "a run moves only to a replica that is faster by the minimum speedup and has new enough weights", "[placement]")
{
    const std::vector<ReplicaView> replicas { replica("a0", 2, 55), replica("a1", 1, 42), replica("a2", 5, 42) };
    CHECK(wouldSpeedUp(replicas[0], "m", 3, replicas));
    CHECK_FALSE(wouldSpeedUp(replicas[1], "m", 3, replicas));
    CHECK_FALSE(wouldSpeedUp(replicas[2], "m", 3, replicas));
    CHECK_FALSE(wouldSpeedUp(replicas[0], "m", 4, replicas));
}

TEST_CASE("a run does not move if its replica is slower only by its higher load", "[placement]")
{
    // A replica with six runs takes 47 ms per event, an idle one 45 ms. Such moves cost 0.15 s each and gained nothing.
    const std::vector<ReplicaView> replicas { replica("a0", 6, 47), replica("a1", 0, 45), replica("a2", 0, 0) };
    CHECK_FALSE(wouldSpeedUp(replicas[0], "m", 3, replicas));
}

TEST_CASE("models of unknown demand share the replicas equally, and losing one changes few homes", "[placement]")
{
    const std::vector<std::string> models { "x", "y", "z" };
    std::vector<std::string> agents;
    for (int i = 0; i < 9; ++i)
        agents.push_back("a" + std::to_string(i));
    std::map<std::string, std::vector<std::string>> before;
    std::set<std::string> all;
    for (const std::string& model : models) {
        before[model] = homeReplicas(models, {}, agents, model, 2);
        CHECK(before[model].size() == 3);
        all.insert(before[model].begin(), before[model].end());
    }
    CHECK(all.size() == 9);
    agents.erase(agents.begin());
    size_t moved = 0;
    for (const std::string& model : models) {
        for (const std::string& home : homeReplicas(models, {}, agents, model, 2))
            moved += std::count(before.at(model).begin(), before.at(model).end(), home) == 0 ? 1 : 0;
    }
    CHECK(moved <= 2);
}

TEST_CASE("models get home replicas in proportion to their demand, but at least one", "[placement]")
{
    // Expected tokens per step of four trainers in a large deployment; all steps have the same time until they are due.
    const std::vector<std::string> models { "a", "b", "c", "d" };
    const ModelDemands demands { { "a", 120000 }, { "b", 79000 }, { "c", 197000 }, { "d", 191000 } };
    std::vector<std::string> agents;
    for (int i = 0; i < 38; ++i)
        agents.push_back("a" + std::to_string(i));
    std::map<std::string, size_t> sizes;
    std::set<std::string> all;
    for (const std::string& model : models) {
        const auto homes = homeReplicas(models, demands, agents, model, 3);
        sizes[model] = homes.size();
        all.insert(homes.begin(), homes.end());
    }
    CHECK(sizes == std::map<std::string, size_t> { { "a", 8 }, { "b", 5 }, { "c", 13 }, { "d", 12 } });
    CHECK(all.size() == agents.size());
    // The demand of "b" is unknown and counts as the mean of the others.
    CHECK(homeReplicas(models, { { "a", 1 }, { "c", 1 }, { "d", 1 } }, agents, "b", 3).size() >= 9);
    // A model without demand has one home.
    CHECK(homeReplicas(models, { { "a", 1e9 }, { "b", 0 }, { "c", 0 }, { "d", 0 } }, agents, "b", 3).size() == 1);
}

TEST_CASE("successive versions have different homes, unless there is a single model", "[placement]")
{
    std::vector<std::string> agents;
    for (int i = 0; i < 12; ++i)
        agents.push_back("a" + std::to_string(i));
    const std::vector<std::string> models { "x", "y", "z" };
    for (const std::string& model : models) {
        const auto even = homeReplicas(models, {}, agents, model, 4);
        for (const std::string& home : homeReplicas(models, {}, agents, model, 5))
            CHECK(std::count(even.begin(), even.end(), home) == 0);
        CHECK(homeReplicas(models, {}, agents, model, 6) == even);
    }
    CHECK(homeReplicas({ "x" }, {}, agents, "x", 4).size() == 12);
    CHECK(homeReplicas({ "x" }, {}, agents, "x", 5).size() == 12);
    CHECK(homeReplicas(models, {}, agents, "unknown", 5).empty());
}

TEST_CASE(
    "weight loads wait for a limited time if waiting items can use the replica, and few run at once", "[placement]")
{
    const std::vector<ReplicaView> replicas { replica("a0"), replica("a1"), replica("a2") };
    WeightLoadDemand demand { "m", 4, start, 10, 3, { "a0", "a1", "a2" } };
    CHECK(planWeightLoads({ demand }, replicas, start + 100ms).empty());
    CHECK(planWeightLoads({ demand }, replicas, start + maxLoadDelay).size() == 2);
    demand.waitingItems = 0;
    CHECK(planWeightLoads({ demand }, replicas, start + 100ms).size() == 2);
    std::vector<ReplicaView> busy = replicas;
    busy[0].loadingModel = "m";
    CHECK(planWeightLoads({ demand }, busy, start).size() == 1);
}

TEST_CASE(
    "more loads run at once in a large service, so that a version reaches its homes before the next", "[placement]")
{
    // 38 replicas and four models, each with a new version every 4 s; a load takes 0.9 s. Loading 10 homes in time
    // needs at least 5 loads at once.
    std::vector<ReplicaView> replicas;
    WeightLoadDemand demand { "m", 4, start, 0, 0, {} };
    for (int i = 0; i < 38; ++i) {
        replicas.push_back(replica("a" + std::to_string(i)));
        if (i < 10)
            demand.homes.push_back(replicas.back().agent);
    }
    CHECK(planWeightLoads({ demand }, replicas, start).size() == 8);
    CHECK(maxConcurrentLoads(9) == 2);
}

TEST_CASE("the model with the smallest share of usable replicas loads first", "[placement]")
{
    // A model that was last in alphabetical order had only two of ten replicas usable for its steps, while all replicas
    // of the other models were up to date.
    std::vector<ReplicaView> replicas;
    std::vector<WeightLoadDemand> demands;
    for (const char* model : { "a", "b", "z" }) {
        WeightLoadDemand demand { model, 5, start, 0, 0, {} };
        for (int i = 0; i < 10; ++i) {
            ReplicaView view = replica(std::string(model) + std::to_string(i));
            view.versions[model] = model == std::string("z") ? 2 : 4;
            replicas.push_back(view);
            demand.homes.push_back(view.agent);
        }
        demands.push_back(demand);
    }
    demands.back().waitingItems = 128;
    demands.back().newestRequiredVersion = 4;
    const auto choices = planWeightLoads(demands, replicas, start);
    REQUIRE(choices.size() == 6);
    for (const WeightLoadChoice& choice : choices)
        CHECK(choice.model == "z");
}

TEST_CASE("models with equal shares of usable replicas get equally many loads", "[placement]")
{
    std::vector<ReplicaView> replicas;
    std::vector<WeightLoadDemand> demands;
    for (const char* model : { "a", "b" }) {
        WeightLoadDemand demand { model, 5, start, 0, 0, {} };
        for (int i = 0; i < 10; ++i) {
            ReplicaView view = replica(std::string(model) + std::to_string(i));
            view.versions[model] = 4;
            replicas.push_back(view);
            demand.homes.push_back(view.agent);
        }
        demands.push_back(demand);
    }
    const auto choices = planWeightLoads(demands, replicas, start);
    REQUIRE(choices.size() == 4);
    CHECK(std::count_if(choices.begin(), choices.end(), [](const WeightLoadChoice& choice) {
        return choice.model == "a";
    }) == 2);
}

TEST_CASE("replicas whose weights are too old for the waiting items load without delay", "[placement]")
{
    std::vector<ReplicaView> replicas { replica("a0"), replica("a1") };
    replicas[1].versions["m"] = 2;
    const WeightLoadDemand demand { "m", 4, start, 10, 3, { "a0", "a1" } };
    const auto choices = planWeightLoads({ demand }, replicas, start + 10ms);
    REQUIRE(choices.size() == 1);
    CHECK(choices.front().agent == "a1");
}

TEST_CASE("a load starts without delay if no replica can serve the waiting items", "[placement]")
{
    const std::vector<ReplicaView> replicas { replica("a0"), replica("a1") };
    const WeightLoadDemand demand { "m", 4, start, 10, 4, { "a0", "a1" } };
    CHECK_FALSE(planWeightLoads({ demand }, replicas, start + 10ms).empty());
}

TEST_CASE("another replica loads in place of a home that is down", "[placement]")
{
    std::vector<ReplicaView> replicas { replica("a0"), replica("a1"), replica("a2") };
    replicas[0].isUp = false;
    replicas[2].running = 1;
    const WeightLoadDemand demand { "m", 4, start, 0, 0, { "a0" } };
    const auto choices = planWeightLoads({ demand }, replicas, start);
    REQUIRE(choices.size() == 1);
    CHECK(choices.front().agent == "a1");
}

TEST_CASE("a begun text goes to a replica of its software, however slow", "[placement]")
{
    std::vector<ReplicaView> replicas { newerReplica("a0", 0, 10), replica("a1", 7, 90) };
    const auto placed = placeItems({ begunItem("v1") }, replicas);
    REQUIRE(placed.size() == 1);
    CHECK(placed.front().agent == "a1");
}

TEST_CASE("a begun text waits for a full replica of its software as long as that is worth it", "[placement]")
{
    const std::vector<ReplicaView> replicas { newerReplica("a0"), replica("a1", 8) };
    std::vector<ReplicaView> views = replicas;
    CHECK(placeItems({ begunItem("v1") }, views).empty());
    WaitingItem overdue = begunItem("v1");
    overdue.mayBeginAnew = true;
    views = replicas;
    const auto placed = placeItems({ overdue }, views);
    REQUIRE(placed.size() == 1);
    CHECK(placed.front().agent == "a0");
}

TEST_CASE("a begun text of software that serves no more begins anew at once", "[placement]")
{
    ReplicaView down = replica("a1");
    down.isUp = false;
    std::vector<ReplicaView> replicas { newerReplica("a0"), down };
    const auto placed = placeItems({ begunItem("v1") }, replicas);
    REQUIRE(placed.size() == 1);
    CHECK(placed.front().agent == "a0");
}

TEST_CASE("runs do not move to other software, where their texts would begin anew", "[placement]")
{
    const ReplicaView slow = replica("a0", 4, 200);
    const std::vector<ReplicaView> others { slow, newerReplica("a1"), newerReplica("a2"), newerReplica("a3") };
    CHECK_FALSE(shouldMove(slow, "m", 3, others));
    CHECK_FALSE(wouldSpeedUp(slow, "m", 3, others));
    std::vector<ReplicaView> withSame = others;
    withSame.push_back(replica("a4"));
    CHECK(shouldMove(slow, "m", 3, withSame));
    CHECK(wouldSpeedUp(slow, "m", 3, withSame));
}
