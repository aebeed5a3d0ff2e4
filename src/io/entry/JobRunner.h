#pragma once

#include "io/HttpServer.h"
#include "io/Signal.h"
#include "io/entry/AgentDirectory.h"
#include "io/entry/CallRouter.h"

#include <endiveroad/JobCoordinator.h>
#include <endiveroad_types.h>
#include <map>

namespace endiveroad::io {

/// Carries out what one job's JobCoordinator decides: sends samples to agents for generation, calls the scorer, and
/// answers the trainer.
class JobRunner {
public:
    /// Time after a failed attempt until the sample is sent to an agent again.
    static constexpr Duration failedDispatchDelay = std::chrono::milliseconds(100);
    /// A failed scoring call is repeated after this times 2^attempt, at most maxScoringRetryDelay.
    static constexpr Duration scoringRetryBaseDelay = std::chrono::milliseconds(200);
    static constexpr Duration maxScoringRetryDelay = std::chrono::seconds(5);
    /// Longest time between two checks for work.
    static constexpr Duration idleInterval = std::chrono::milliseconds(250);
    /// Time for the agents to say which samples of a newly submitted step they have. Those of an agent that does not
    /// answer in time are generated again.
    static constexpr Duration recoveryTimeout = std::chrono::seconds(2);
    static constexpr Duration scoringTimeout = std::chrono::seconds(5);
    /// Time after the trainer's last submission or fetch at this entry for which the runner starts new work.
    static constexpr Duration trainerLease = std::chrono::seconds(60);
    static constexpr size_t maxScoringBatch = 16;

    JobRunner(asio::io_context&, AgentDirectory&, CallRouter&, JobDeclaration);

    void onDeclaration(JobDeclaration);
    void onPolicy(const PolicyState&);

    /// An agent of the job's pool has reported; it may have free slots.
    void onCapacity() { wake(); }

    /// Another entry coordinates the job now: starts no new work until the trainer submits or fetches here again.
    void onCoordinatedElsewhere() { activeUntil_ = Instant::min(); }

    /// Starts no more work, and lets fetches that wait for samples return.
    void stop();

    /// Answers the submission of a step. For a step that is new to this entry, first collects what the agents have of
    /// it. Throws StepConflictError, BadRequestError.
    asio::awaitable<HttpResponse> submit(StepNumber, std::string body);

    /// Answers a fetch; waits up to the trainer's time limit for a sample. Throws CursorInvalidError, BadRequestError.
    asio::awaitable<HttpResponse> fetch(std::string body);

    /// Answer to a query of the job's state.
    HttpResponse state() const;
    std::vector<StepProgress> progress() const { return coordinator_.progress(); }

    const JobDeclaration& declaration() const { return coordinator_.declaration(); }

    /// Policy with the highest order that the trainer has sent in a fetch or an announcement.
    const PolicyState& policy() const { return coordinator_.policy(); }

private:
    /// A request to an agent for a sample, not answered yet.
    struct Attempt {
        std::string requestId;
        std::string agent;
    };

    /// Samples of a step that the agents of the pool have or are generating, as far as they have answered.
    struct StepRecovery {
        std::vector<Sample> samples;
        /// Name of the agent that is generating a sample, by the sample's index.
        std::map<uint32_t, std::string> running;
        /// Queries to agents that have neither been answered nor failed.
        size_t pendingQueries = 0;
    };

    asio::awaitable<void> run();
    void dispatchWork();
    /// Starts duplicate attempts at the samples that JobCoordinator::nextDuplicate() returns.
    void dispatchDuplicates();
    void startScoring();
    /// hasSlot: a slot of the agent was taken in the ReplicaTable for this attempt, which releases it at its end.
    void startAttempt(const Dispatch&, const std::string& agent, bool hasSlot);
    wire::GenerateRequest generateRequest(const Dispatch&);
    asio::awaitable<void> generate(Dispatch, std::string agent, bool hasSlot);
    /// Sends a generate request and passes the sample on to the coordinator. Returns why that failed; empty on success.
    asio::awaitable<std::string> requestSample(wire::GenerateRequest, std::string agent, Instant deadline);
    /// Cancels the attempts at a sample except the one that has finished it.
    void cancelOtherAttempts(StepNumber, uint32_t index, const std::string& finishedRequest);
    asio::awaitable<void> score(std::vector<ScoringItem>);
    /// Asks all connected agents of the pool for their samples of a step. Returns when all have answered, or after
    /// recoveryTimeout.
    asio::awaitable<std::shared_ptr<StepRecovery>> queryAgents(StepNumber, uint64_t digest);
    asio::awaitable<void> queryAgent(PeerConnectionPtr, std::string request, std::shared_ptr<StepRecovery>);
    /// Passes the agents' finished samples on to the coordinator and attaches attempts to the generations in progress.
    /// Returns the number of finished samples that the coordinator accepted.
    size_t recover(StepNumber, StepRecovery&);
    /// Tells the agents which samples the trainer's cursor contains.
    void sendReleases(const Cursor&);
    void wake();

    asio::io_context& context_;
    AgentDirectory& agents_;
    CallRouter& calls_;
    JobCoordinator coordinator_;
    Signal changed_;
    /// Set by wake(). If it was set during a round of run(), the next round starts without a wait.
    bool isWoken_ = false;
    /// The runner starts new work until then; see trainerLease.
    Instant activeUntil_ = Instant::min();
    bool isStopped_ = false;
    uint64_t nextRequest_ = 1;
    /// Running attempts by step and sample index.
    std::multimap<std::pair<StepNumber, uint32_t>, Attempt> attempts_;
};

} // namespace endiveroad::io
