#pragma once

#include "io/PeerConnection.h"
#include "io/hosted/EngineGuard.h"
#include "io/hosted/Protocol.h"

#include <endiveroad/BatchJob.h>
#include <endiveroad_types.h>
#include <map>
#include <memory>
#include <set>
#include <string>

/// Runs items of batch jobs on the engine replica beside the agent, and tells the jobs' owners how they go.
namespace endiveroad::io {

class ItemRunner {
public:
    /// Pause between two reports of a run's events.
    static constexpr Duration progressInterval = std::chrono::milliseconds(100);

    /// A run without an event for this long has stalled.
    static constexpr Duration stallLimit = std::chrono::milliseconds(1300);

    /// Longest time of one run.
    static constexpr Duration runLimit = std::chrono::seconds(60);

    /// Time for which an ended run is kept for a new owner of its job.
    static constexpr Duration endedLifetime = std::chrono::seconds(8);

    /// Time for which the end of a job is remembered, so that a late start of an item is refused.
    static constexpr Duration endedJobLifetime = std::chrono::seconds(60);

    ItemRunner(
        asio::io_context&, HttpClient&, const ReplicaProtocol&, EngineGuard&, Address replica, EngineGuard::OnChange);

    /// Reports progress and looks for stalled runs.
    asio::awaitable<void> report();

    wire::ItemStartAnswer start(const PeerConnectionPtr& owner, const wire::ItemStart&, int32_t slots);
    void cancel(const wire::ItemCancelNotice&);

    /// The connection's coordinator owns the job from now on, and gets everything known of its runs.
    void adopt(const PeerConnectionPtr& owner, const wire::JobOwnerNotice&);

    /// Ends all runs, so that their owners continue them elsewhere.
    void stopAll();

    int32_t running() const;

    /// Mean time between events in ms: of late, else what is typical of the replica; 0 if nothing is known.
    double eventMs() const;

private:
    struct Run;
    using RunPtr = std::shared_ptr<Run>;

    struct Owner {
        int64_t revision = 0;
        std::weak_ptr<PeerConnection> connection;
        /// When the job is forgotten if it has no run.
        Instant expiry = never;
    };

    std::string refusal(const wire::ItemStart&, int32_t slots) const;
    asio::awaitable<void> execute(RunPtr);
    HttpRequest requestFor(const Run&) const;
    void takeHead(Run&, const HttpResponse&);
    void takeBody(Run&, std::string_view piece);
    void end(Run&, RunState, int32_t status, const std::string& reason);
    void sendProgress(bool isAll);
    void dropExpired();
    void measure(Run&);

    asio::io_context& context_;
    HttpClient& http_;
    const ReplicaProtocol& protocol_;
    EngineGuard& engine_;
    Address replica_;
    EngineGuard::OnChange onChange_;
    Signal wake_;
    /// By item.
    std::map<std::string, RunPtr> runs_;
    std::map<std::string, Owner> owners_;
    std::map<std::string, Instant> endedJobs_;
    double eventMs_ = 0;
    /// Mean over a longer time, without spells in which the replica was slow.
    double typicalEventMs_ = 0;
    Instant eventMsExpiry_ = Instant::min();
};

} // namespace endiveroad::io
