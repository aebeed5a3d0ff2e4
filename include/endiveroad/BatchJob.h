#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// One batch job at the coordinator that owns it: which items wait, run, are scored and may be listed. No I/O: calls
/// bring what happened and the present time, results say what to do next.
namespace endiveroad {

/// A call whose answer scores the text of an item.
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
    /// Items of a group share their prompt; empty for none.
    std::string group;
    /// Tokens that the item is expected to generate; the order in which items start follows it.
    double expectedTokens = 0;
    std::optional<ScoringCall> scoring;

    auto operator<=>(const BatchItem&) const = default;
};

struct BatchJobSpec {
    std::string id;
    std::string host;
    std::string route;
    std::string model;
    /// Oldest weight version that may generate an event of an item.
    int64_t oldestVersion = 0;
    std::vector<BatchItem> items;

    auto operator<=>(const BatchJobSpec&) const = default;
};

/// What the route asks of its jobs, with the deadlines of this one.
struct BatchJobPolicy {
    int32_t maxAttempts = 3;
    int32_t maxScoringAttempts = 3;
    bool isSingleVersion = false;
    Instant dueAt = never;
    Instant giveUpAt = never;

    auto operator<=>(const BatchJobPolicy&) const = default;
};

enum class ResultState { Completed, Terminated };

/// A result as it stands at its position.
struct BatchResult {
    std::string item;
    ResultState state = ResultState::Completed;
    std::string text;
    /// All weight versions that generated an event of the text, ascending.
    std::vector<int64_t> versions;
    std::string score;

    auto operator<=>(const BatchResult&) const = default;
};

struct GeneratedEvent {
    int64_t id = 0;
    std::string data;
    int64_t version = 0;

    auto operator<=>(const GeneratedEvent&) const = default;
};

enum class ItemStage { Waiting, Running, Scoring, Finished, Listed };

/// How a run of an item ended, or that it goes on.
enum class RunState { Running, Completed, Failed, NotRun };

/// News of a run: events of the item from a position on, and how the run stands.
struct RunProgress {
    int64_t run = 0;
    /// Events of the item that go before these.
    size_t firstEvent = 0;
    std::vector<GeneratedEvent> events;
    RunState state = RunState::Running;
    /// HTTP status of the replica; 0 if it gave none.
    int32_t status = 0;

    auto operator<=>(const RunProgress&) const = default;
};

/// What has been generated of an item, kept for a later job that asks for the same item.
struct PartialText {
    std::vector<GeneratedEvent> events;
    bool isComplete = false;
    std::string score;

    auto operator<=>(const PartialText&) const = default;
};

/// State of one item, as status pages, placement and logs see it.
struct ItemState {
    ItemStage stage = ItemStage::Waiting;
    std::string agent;
    int64_t run = 0;
    Instant startedAt = Instant::min();
    Instant lastEventAt = Instant::min();
    /// Not started again before this.
    Instant notBefore = Instant::min();
    size_t eventsOfRun = 0;
    int32_t failedRuns = 0;
    int32_t failedScorings = 0;
    PartialText text;
    std::optional<BatchResult> result;

    auto operator<=>(const ItemState&) const = default;
};

/// What the owner does after a change of an item.
enum class ItemAction { None, Score, Restart, Finished, CancelRun };

class BatchJob {
public:
    /// Pause before an item is started again after a failed or refused run.
    static constexpr Duration retryDelay = std::chrono::milliseconds(60);

    /// Time before dueAt from which finished items are listed though their group is not whole.
    static constexpr Duration flushAhead = std::chrono::milliseconds(700);

    /// Revision is that of the owner record; runs are numbered above it, so that no two owners give the same number.
    BatchJob(BatchJobSpec, BatchJobPolicy, int64_t revision);

    const BatchJobSpec& spec() const { return spec_; }
    const BatchJobPolicy& policy() const { return policy_; }
    const std::vector<ItemState>& items() const { return items_; }
    const std::vector<BatchResult>& listed() const { return listed_; }
    int64_t revision() const { return revision_; }
    bool isEnded() const { return isEnded_; }
    void end() { isEnded_ = true; }

    /// The owner record was written again by this owner.
    void setRevision(int64_t revision) { revision_ = revision; }

    /// Index of an item; nothing if the job has none of that id.
    std::optional<size_t> indexOf(std::string_view item) const;

    /// Items that may start now.
    std::vector<size_t> waiting(Instant now) const;

    /// True if every item is finished or listed.
    bool isFinished() const;

    /// Marks an item as started on an agent's replica of the given weight version and returns the number of the run.
    /// Text of other versions is dropped first where the job allows a single one.
    int64_t start(size_t item, std::string agent, int64_t version, Instant now);

    /// Takes news of the present run; any other run is to be cancelled. Events that are known already are left out.
    /// News behind a gap end the run, since the missing events would be missing in the text.
    ItemAction onProgress(size_t item, const RunProgress&, Instant now);

    /// Takes over a run that an agent started for an earlier owner, if the news hold all of its events and there are
    /// more of them than are known here. It displaces a run of this owner's that is behind it, which is to be
    /// cancelled.
    ItemAction onAdopted(size_t item, std::string agent, const RunProgress&, Instant now);

    /// Gives a run up, so that the item can go on elsewhere from its last event after the pause.
    void withdraw(size_t item, Instant now, Duration pause = retryDelay);

    /// Items that ran on an agent that is gone wait again. Returns them.
    std::vector<size_t> onAgentLost(std::string_view agent, Instant now);

    /// Uses text that an earlier job left of the item, if its versions fit this job.
    ItemAction onCarried(size_t item, const PartialText&);

    ItemAction onScored(size_t item, std::string score);

    /// A scoring call got so many more answers of 500.
    ItemAction onScoringFailed(size_t item, int32_t failures);

    /// Gives up all unfinished items once giveUpAt has passed. Returns them.
    std::vector<size_t> giveUpOverdue(Instant now);

    /// Gives up all unfinished items.
    std::vector<size_t> giveUpAll();

    /// Items to be listed next, in order: finished ones of whole groups, and near dueAt all finished ones.
    std::vector<size_t> listable(Instant now) const;

    /// The results stand at the next positions; also used to restore what an earlier owner listed.
    void onListed(const std::vector<BatchResult>&);

private:
    ItemAction finish(size_t item, ResultState);
    ItemAction afterNews(size_t item, RunState, int32_t status, Instant now);
    bool areVersionsAllowed(const std::vector<GeneratedEvent>&) const;
    void append(ItemState&, const std::vector<GeneratedEvent>&, Instant now);
    bool isGroupWhole(const std::string& group) const;

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
