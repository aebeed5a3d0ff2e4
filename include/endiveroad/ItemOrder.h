#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/BatchPlacement.h>
#include <endiveroad/Time.h>
#include <map>
#include <string>
#include <vector>

/// Order of a coordinator's waiting items while there is too little capacity for all of its batch jobs, and the choice
/// of runs that are worth a move. All of it consists of pure functions of their arguments.
namespace endiveroad {

/// An item as the order sees it.
struct StepItem {
    /// Items of a group are of value only together; an item with an empty group is of value by itself.
    std::string group;
    double expectedTokens = 0;
    /// Tokens generated so far.
    double generatedTokens = 0;
    /// Agent of the current run; empty if the item does not run.
    std::string agent;
    /// It has a result, or a text that is being scored.
    bool isGenerated = false;

    auto operator<=>(const StepItem&) const = default;
};

/// A batch job as the order sees it: one step of a trainer.
struct StepView {
    std::string job;
    /// Empty if there are no organisations.
    std::string organisation;
    /// 0 is the most urgent.
    int32_t priority = 0;
    std::string model;
    int64_t oldestVersion = 0;
    Instant dueAt = never;
    Instant terminateAt = never;
    /// Number of complete groups that the trainer waits for; 0 if it waits for all.
    size_t targetGroups = 0;
    /// All items of the job, by their index in it.
    std::vector<StepItem> items;

    auto operator<=>(const StepView&) const = default;
};

/// How long after dueAt a result still has its full value.
inline constexpr Duration dueTolerance = std::chrono::milliseconds(700);

/// Time from the last event of an item to its result in the list: score, write to the store, reading.
inline constexpr Duration listingTime = std::chrono::milliseconds(400);

/// Tokens that an item is still expected to generate. An item that has generated nearly as many as expected, or more,
/// counts with a tenth of them.
double remainingTokens(const StepItem&);

/// Tokens per ms that the replicas can generate for this coordinator's items of a model: their slots without the runs
/// of other processes. Other coordinators are not asked: their runs are seen in the agents' reports, and what they take
/// or leave changes the next estimate. A replica that is loading the model counts. An unknown speed counts as the
/// median; 0 if no speed is known.
double tokenRate(const std::vector<ReplicaView>&, const std::string& model, int64_t oldestVersion);

/// True if by this estimate not all items of all steps can have a result by their due times, in the order of the due
/// times: with all slots busy the work ahead of a step and its own need longer. Load pattern: four trainers submit a
/// step each 4 s, of 1.1 times what the engines can do, or of what they could do before a part of them was lost.
bool isOverloaded(const std::vector<StepView>&, const std::vector<ReplicaView>&, Instant now);

/// Why an item is where it is in the order of an overload; the first goes first. InTurn: its step can still be complete
/// in time. Partial: its step cannot, but its group can. Late: its group cannot be complete in time, but before the
/// trainer gives up. Hopeless: not even that. Surplus: the trainer does not wait for its group.
enum class ItemRank { InTurn, Partial, Late, Hopeless, Surplus };

/// Order of the waiting items of one service.
struct ItemOrder {
    bool isOverloaded = false;
    /// Indices of the waiting items.
    std::vector<size_t> order;
    /// By index of the waiting item; empty unless isOverloaded.
    std::vector<ItemRank> ranks;

    auto operator<=>(const ItemOrder&) const = default;
};

/// While a priority has waiting items, it gets at least one of this many slots that the coordinator's items have,
/// however many items of higher priority wait.
inline constexpr size_t lowPrioritySlotDivisor = 8;

/// Steps that are due within the same period of this length count as due at the same time, so that their organisations
/// are served in turn.
inline constexpr Duration equalDuePeriod = std::chrono::seconds(1);

/// Order of the waiting items: dueTimeOrder() if there is room for all of them now or the steps are not overloaded.
/// Else by priority, and within a priority the steps that can still be complete in time first; within a step whole
/// groups, those with generated tokens first, then those with the least remaining work, and the longest item first
/// within a group. Groups that the trainer does not wait for come last, and only while a tenth of the slots is free, as
/// another coordinator may need the rest. Among steps of equal priority and due time the organisation with the fewest
/// runs goes first. Load pattern: the one of isOverloaded(), under which all groups of all steps were complete a little
/// too late.
ItemOrder orderItems(
    const std::vector<WaitingItem>&, const std::vector<StepView>&, const std::vector<ReplicaView>&, Instant now);

/// Result of weighMove(). CostsMore: the run would end less than moveCost sooner. NoGroupSooner: the group would be
/// complete at the same time, since another item of it takes as long, or the trainer does not wait for it.
enum class MoveVerdict { Worthwhile, CostsMore, NoGroupSooner };

/// Time that a run loses when it moves: a cancelled run, a new connection, and the events so far sent to the new
/// replica.
inline constexpr Duration moveCost = std::chrono::milliseconds(150);

/// Weighs the move of a running item to the fastest other replica that shouldMove() or wouldSpeedUp() allow. It is
/// worthwhile only if the item's group is wanted and is complete sooner by more than moveCost. Items of the group that
/// can also move count with the end that they would have there. Load pattern: on replicas of speeds from 0.7 to 1.7
/// every fifth run was moved, most of them to end before other items of their group did.
MoveVerdict weighMove(const StepView&, size_t itemIndex, const std::vector<ReplicaView>&);

} // namespace endiveroad
