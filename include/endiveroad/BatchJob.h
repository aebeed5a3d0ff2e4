#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/SoftwareVersion.h>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// State machine of one batch job, held by the coordinator that owns the job. It tracks which items wait, run, are
/// being scored, have a result and have that result in the job's result list. It does no I/O: the caller passes in each
/// event and the current time, and the return value says what to do next.
namespace endiveroad {

/// HTTP call to a scoring service; its answer is the score of an item's text.
struct ScoringCall {
    std::string id;
    std::string host;
    std::string path;
    std::string body;

    auto operator<=>(const ScoringCall&) const = default;
};

struct BatchItem {
    std::string id;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Items of a group share a prompt, and their results are listed together unless the job is nearly due. Empty if
    /// the item has no group.
    std::string group;
    /// Number of tokens that the item is expected to generate; within a job, longer items start first.
    double expectedTokens = 0;
    std::optional<ScoringCall> scoring;

    auto operator<=>(const BatchItem&) const = default;
};

/// A job as its trainer submitted it.
struct BatchJobSpec {
    std::string id;
    std::string host;
    std::string route;
    std::string model;
    /// Oldest weight version that may generate events of the items.
    int64_t oldestVersion = 0;
    std::vector<BatchItem> items;
    /// Number of complete groups that the trainer waits for; 0 if it waits for all.
    size_t targetGroups = 0;

    auto operator<=>(const BatchJobSpec&) const = default;
};

/// Limits that the route sets for its jobs, and the deadlines of this job.
struct BatchJobPolicy {
    /// Runs that fail with status 500 before the item is terminated. Status 422 terminates it at once; other failures
    /// do not count.
    int32_t maxFailedRuns = 3;
    /// Scoring calls that are answered with 500 before the item is terminated.
    int32_t maxFailedScorings = 3;
    /// All events of an item must come from a single weight version.
    bool isSingleVersion = false;
    /// When the trainer wants all results.
    Instant dueAt = never;
    /// When all items without a result are terminated.
    Instant terminateAt = never;

    auto operator<=>(const BatchJobPolicy&) const = default;
};

/// Terminated: the job no longer tries to complete the item, and the result has no text.
enum class ResultState { Completed, Terminated };

/// An entry of the job's result list. Its position there never changes, and the trainer reads the list by position.
struct BatchResult {
    std::string item;
    ResultState state = ResultState::Completed;
    std::string text;
    /// Distinct weight versions that generated the text, ascending.
    std::vector<int64_t> versions;
    std::string score;

    auto operator<=>(const BatchResult&) const = default;
};

/// One event of the stream that a replica generates for an item.
struct GeneratedEvent {
    /// Position in the item's text; a run that continues an earlier one goes on numbering from there.
    int64_t id = 0;
    std::string data;
    int64_t version = 0;

    auto operator<=>(const GeneratedEvent&) const = default;
};

/// Finished: the item has a result that is not in the result list yet. Listed: it is in the list.
enum class ItemStage { Waiting, Running, Scoring, Finished, Listed };

/// State of a run, one attempt of a replica to generate an item. NotRun: the replica refused it.
enum class RunState { Running, Completed, Failed, NotRun };

/// An agent's report on a run.
struct RunProgress {
    int64_t run = 0;
    /// Number of events of the item that precede these.
    size_t firstEvent = 0;
    std::vector<GeneratedEvent> events;
    RunState state = RunState::Running;
    /// HTTP status that the replica answered; 0 if it did not answer.
    int32_t status = 0;
    /// What wrote the item's events, those before these included.
    SoftwareVersion software = {};

    auto operator<=>(const RunProgress&) const = default;
};

/// Text generated so far for an item. It outlives the job, so that a later job with the same item can continue it.
struct GeneratedText {
    std::vector<GeneratedEvent> events;
    bool isComplete = false;
    std::string score;
    /// The software that wrote all of the events, which alone may go on with them. A text of an unknown version is
    /// finished by the run that writes it, or begins anew.
    SoftwareVersion software = {};

    auto operator<=>(const GeneratedText&) const = default;
};

/// State of one item.
struct ItemState {
    ItemStage stage = ItemStage::Waiting;
    /// Agent of the latest run.
    std::string agent;
    /// Number of the latest run; 0 before the first one.
    int64_t run = 0;
    /// When the latest run started.
    Instant startedAt = Instant::min();
    /// When the latest run last delivered a new event; before its first one, when it started.
    Instant lastEventAt = Instant::min();
    /// Earliest time of the next run.
    Instant notBefore = Instant::min();
    /// Number of new events that the latest run has delivered.
    size_t runEventCount = 0;
    /// Runs that failed with status 500.
    int32_t failedRuns = 0;
    /// Scoring calls that were answered with 500.
    int32_t failedScorings = 0;
    GeneratedText text;
    std::optional<BatchResult> result;

    auto operator<=>(const ItemState&) const = default;
};

/// What the owner of the job has to do after an item changed. Score: send its scoring call. Restart: place it again.
/// Finished: it has a result. CancelRun: tell the agent to cancel the run that it reported.
enum class ItemAction { None, Score, Restart, Finished, CancelRun };

class BatchJob {
public:
    /// Default delay before an item is started again after a run that failed, was refused or lost its agent.
    static constexpr Duration retryDelay = std::chrono::milliseconds(60);

    /// How long before dueAt finished items are listed even if other items of their group are not finished.
    static constexpr Duration flushLeadTime = std::chrono::milliseconds(700);

    /// The revision is that of the stored record that names the job's owner. Run numbers start at revision * 2^20, so
    /// that no two owners assign the same number.
    BatchJob(BatchJobSpec, BatchJobPolicy, int64_t revision);

    const BatchJobSpec& spec() const { return spec_; }
    const BatchJobPolicy& policy() const { return policy_; }
    const std::vector<ItemState>& items() const { return items_; }
    const std::vector<BatchResult>& listed() const { return listed_; }
    int64_t revision() const { return revision_; }
    bool isEnded() const { return isEnded_; }
    /// Marks the job as ended; no item starts from then on.
    void end() { isEnded_ = true; }

    /// Records the new revision after this owner has rewritten the owner record; run numbers go on as before.
    void setRevision(int64_t revision) { revision_ = revision; }

    /// Index of the item with this id, or nothing if the job has no such item.
    std::optional<size_t> indexOf(std::string_view item) const;

    /// Indices of the items that may start now.
    std::vector<size_t> waiting(Instant now) const;

    /// True if every item has a result.
    bool isFinished() const;

    /// Marks an item as started on an agent whose replica has the given weight version and software. Returns the run's
    /// number. Text that other software wrote is dropped first, and so is, if the job allows only a single weight
    /// version, text of another one.
    int64_t start(size_t item, std::string agent, int64_t version, const SoftwareVersion&, Instant now);

    /// Applies progress of the item's current run; any other run is to be cancelled. Events already received are
    /// skipped. If events are missing before the reported ones, the run is withdrawn, since the text would lack them;
    /// if other software wrote the text known here, it is also dropped.
    ItemAction onProgress(size_t item, const RunProgress&, Instant now);

    /// Takes over a run that an agent started for an earlier owner of the job. The run must be running or completed,
    /// and the report must hold its events from the first one on: at least as many as are known here if the item waits.
    /// If the item runs, the report must hold more events than are known here, all of allowed versions; it then
    /// replaces the run that this owner had started, and the caller must cancel that one. A run that is not taken over
    /// is to be cancelled if it still runs. A report of the item's current run is handled as in onProgress().
    ItemAction onAdopted(size_t item, std::string agent, const RunProgress&, Instant now);

    /// Ends the item's current run here and makes the item wait again. After the pause it can continue from its last
    /// event on any replica.
    void withdraw(size_t item, Instant now, Duration pause = retryDelay);

    /// Makes all items that ran on a lost agent wait again. Returns their indices.
    std::vector<size_t> onAgentLost(std::string_view agent, Instant now);

    /// Continues from the text that an earlier job generated for the same item, if this job allows its versions. Has
    /// no effect on an item that is not waiting or has text already.
    ItemAction onEarlierText(size_t item, const GeneratedText&);

    ItemAction onScored(size_t item, std::string score);

    /// The scoring call failed; `failures` of its attempts were answered with 500. Only these count towards
    /// maxFailedScorings.
    ItemAction onScoringFailed(size_t item, int32_t failures);

    /// Runs of the item failed for earlier owners or in earlier jobs. Terminates the item if it waits and they are too
    /// many.
    ItemAction onKnownFailures(size_t item, int32_t failedRuns, bool isUnprocessable);

    /// Terminates all items without a result once terminateAt has passed. Returns their indices.
    std::vector<size_t> terminateOverdue(Instant now);

    /// Terminates all items without a result. Returns their indices.
    std::vector<size_t> terminateAll();

    /// Terminates an item that has no result yet.
    ItemAction terminate(size_t item);

    /// Indices of the items to append to the result list, in order: finished items without a group or whose whole group
    /// is finished; from flushLeadTime before dueAt on, all finished items.
    std::vector<size_t> listable(Instant now) const;

    /// Appends results to the result list after they have been stored. Also restores the list of an earlier owner.
    void onListed(const std::vector<BatchResult>&);

private:
    ItemAction finish(size_t item, ResultState);
    ItemAction applyRunState(size_t item, RunState, int32_t status, Instant now);
    bool areVersionsAllowed(const std::vector<GeneratedEvent>&) const;
    void append(ItemState&, const RunProgress&, Instant now);
    bool isGroupFinished(const std::string& group) const;

    BatchJobSpec spec_;
    BatchJobPolicy policy_;
    int64_t revision_ = 0;
    int64_t nextRun_ = 0;
    bool isEnded_ = false;
    std::vector<ItemState> items_;
    std::map<std::string, size_t, std::less<>> indices_;
    std::map<std::string, std::vector<size_t>> groups_;
    std::vector<BatchResult> listed_;
};

} // namespace endiveroad
