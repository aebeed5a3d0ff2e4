#pragma once

#include "io/HttpServer.h"
#include "io/Signal.h"
#include "io/entry/AgentDirectory.h"
#include "io/entry/CallRouter.h"

#include <endiveroad/JobCoordinator.h>
#include <endiveroad_types.h>
#include <map>

/// Drives one job's coordinator: dispatches samples to agents, has them scored, answers the trainer.
namespace endiveroad::io {

class JobRunner {
public:
    static constexpr Duration failedDispatchDelay = std::chrono::milliseconds(100);
    static constexpr Duration scoringRetryBaseDelay = std::chrono::milliseconds(200);
    static constexpr Duration maxScoringRetryDelay = std::chrono::seconds(5);
    /// Longest time between two looks for work when nothing wakes the runner.
    static constexpr Duration idleInterval = std::chrono::milliseconds(250);
    static constexpr Duration recoveryTimeout = std::chrono::seconds(2);
    static constexpr Duration scoringTimeout = std::chrono::seconds(5);
    /// Work goes on this long after the trainer was last heard of by this entry.
    static constexpr Duration trainerLease = std::chrono::seconds(60);
    static constexpr size_t maxScoringBatch = 16;

    JobRunner(asio::io_context&, AgentDirectory&, CallRouter&, JobDeclaration);

    void onDeclaration(JobDeclaration);
    void onPolicy(const PolicyState&);

    /// Capacity of the job's pool may have become free.
    void onCapacity() { wake(); }

    /// Another entry answers for the job now: no new work until the trainer comes here again.
    void onCoordinatedElsewhere() { activeUntil_ = Instant::min(); }

    void stop();

    /// PUT of a step. Throws StepConflictError, BadRequestError.
    asio::awaitable<HttpResponse> submit(StepNumber, std::string body);

    /// POST of a fetch. Throws CursorInvalidError, BadRequestError.
    asio::awaitable<HttpResponse> fetch(std::string body);

    HttpResponse state() const;
    std::vector<StepProgress> progress() const { return coordinator_.progress(); }

    const JobDeclaration& declaration() const { return coordinator_.declaration(); }

    /// Policy of the highest order that the trainer has named in a fetch or an announcement.
    const PolicyState& policy() const { return coordinator_.policy(); }

private:
    /// A request to an agent that has not been answered yet.
    struct Attempt {
        std::string requestId;
        std::string agent;
    };

    /// What the agents of a pool know of a step.
    struct StepRecovery {
        std::vector<Sample> samples;
        /// Agent by the index of a sample that it is generating.
        std::map<uint32_t, std::string> running;
        size_t pendingQueries = 0;
    };

    asio::awaitable<void> run();
    void dispatchWork();
    void dispatchDuplicates();
    void startScoring();
    void startAttempt(const Dispatch&, const std::string& agent, bool hasSlot);
    wire::GenerateRequest generateRequest(const Dispatch&);
    asio::awaitable<void> generate(Dispatch, std::string agent, bool hasSlot);
    /// Asks the agent, and returns the reason if no usable sample came of it, else the empty text.
    asio::awaitable<std::string> requestSample(wire::GenerateRequest, std::string agent, Instant deadline);
    void cancelOtherAttempts(StepNumber, uint32_t index, const std::string& finishedRequest);
    asio::awaitable<void> score(std::vector<ScoringItem>);
    asio::awaitable<std::shared_ptr<StepRecovery>> queryAgents(StepNumber, uint64_t digest);
    asio::awaitable<void> queryAgent(PeerConnectionPtr, std::string request, std::shared_ptr<StepRecovery>);
    /// Takes over what agents hold and generate of a step. Returns the number of finished samples.
    size_t recover(StepNumber, StepRecovery&);
    void sendReleases(const Cursor&);
    void wake();

    asio::io_context& context_;
    AgentDirectory& agents_;
    CallRouter& calls_;
    JobCoordinator coordinator_;
    Signal changed_;
    bool isWoken_ = false;
    Instant activeUntil_ = Instant::min();
    bool isStopped_ = false;
    uint64_t nextRequest_ = 1;
    std::multimap<std::pair<StepNumber, uint32_t>, Attempt> attempts_;
};

} // namespace endiveroad::io
