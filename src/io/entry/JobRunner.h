#pragma once

#include "io/HttpServer.h"
#include "io/entry/AgentDirectory.h"
#include "io/entry/CallRouter.h"

#include <endiveroad/JobCoordinator.h>

/// Drives one job's coordinator: dispatches samples to agents, has them scored, answers the trainer.
namespace endiveroad::io {

class JobRunner {
public:
    static constexpr Duration failedDispatchDelay = std::chrono::milliseconds(100);
    static constexpr Duration failedScoringDelay = std::chrono::milliseconds(200);
    static constexpr Duration idleRound = std::chrono::milliseconds(100);
    static constexpr Duration recoveryTimeout = std::chrono::seconds(2);
    static constexpr Duration scoringTimeout = std::chrono::seconds(5);
    /// Work goes on this long after the trainer was last heard of by this entry.
    static constexpr Duration trainerLease = std::chrono::seconds(60);
    static constexpr size_t scoringBatch = 16;

    JobRunner(asio::io_context&, AgentDirectory&, CallRouter&, JobDeclaration);

    void onDeclaration(JobDeclaration);
    void onPolicyVersion(WeightVersion);
    void stop();

    /// PUT of a step. Throws StepConflictError, BadRequestError.
    asio::awaitable<HttpResponse> submit(StepNumber, std::string body);

    /// POST of a fetch. Throws CursorInvalidError, BadRequestError.
    asio::awaitable<HttpResponse> fetch(std::string body);

    HttpResponse state() const;
    std::vector<StepProgress> progress() const { return coordinator_.progress(); }

    /// Newest version that the trainer has named in a fetch or an announcement.
    WeightVersion policyVersion() const { return coordinator_.policyVersion(); }

private:
    asio::awaitable<void> run();
    void dispatchWork();
    asio::awaitable<void> generate(Dispatch, std::string agent);
    asio::awaitable<void> score(std::vector<ScoringItem>);
    /// Finished samples of a step that agents hold, asked of every agent of the pool.
    asio::awaitable<std::vector<Sample>> heldSamples(StepNumber, uint64_t digest);
    void sendReleases(const Cursor&);
    void wake();

    asio::io_context& context_;
    AgentDirectory& agents_;
    CallRouter& calls_;
    JobCoordinator coordinator_;
    asio::steady_timer wakeup_;
    Instant activeUntil_ = Instant::min();
    bool isStopped_ = false;
    uint64_t nextRequest_ = 1;
};

} // namespace endiveroad::io
