#pragma once

#include "io/Clock.h"
#include "io/PeerConnection.h"
#include "io/hosted/ItemScorer.h"
#include "io/hosted/OwnedJob.h"
#include "io/hosted/WeightLoads.h"

#include <endiveroad/BatchPlacement.h>
#include <endiveroad/Directory.h>
#include <endiveroad/GeneratedTextCache.h>
#include <endiveroad_types.h>
#include <functional>
#include <map>
#include <string>

/// Gives items of owned jobs to agents, follows their runs, and asks agents to load weights.
namespace endiveroad::io {

/// How a coordinator reaches agents.
class AgentLinks {
public:
    virtual ~AgentLinks() = default;

    /// Null if the agent is not connected or leaves.
    virtual PeerConnectionPtr agent(const std::string& name) const = 0;
    virtual std::vector<PeerConnectionPtr> agents() const = 0;

    /// False while this coordinator cannot know whether others have taken its jobs over.
    virtual bool mayAct() const = 0;
};

class ItemDispatcher : public JobWorker {
public:
    static constexpr Duration startTimeout = std::chrono::milliseconds(800);

    /// A run without any news for this long is given up, whatever its agent does.
    static constexpr Duration silenceLimit = std::chrono::milliseconds(3000);

    /// Age of a run from which it may be moved away from a slow replica.
    static constexpr Duration minRunBeforeMove = std::chrono::milliseconds(400);

    /// Time before a job is due in which its last runs move to faster replicas, and how often one run does so.
    static constexpr Duration finalStretch = std::chrono::milliseconds(4700);
    static constexpr int32_t maxSpeedups = 2;

    using DirectorySource = std::function<std::shared_ptr<const Directory>()>;

    /// Called when an agent says that a job has another owner or has ended.
    using OnDoubt = std::function<void(const OwnedJobPtr&)>;

    ItemDispatcher(asio::io_context&, const JobTable&, AgentLinks&, ItemScorer&, DirectorySource, OnDoubt);

    /// Places, moves and loads whenever something has changed.
    asio::awaitable<void> run();

    /// Something has changed that may let an item start.
    void wake() { wake_.notifyAll(); }

    void onReport(const std::string& agent, const wire::ReplicaReport&);
    void onProgress(const PeerConnectionPtr& agent, const wire::ItemProgressNotice&);
    void onAgentUp(const PeerConnectionPtr&);
    void onAgentDown(const std::string& agent);
    void onVersionNamed(const std::string& model);

    void onJob(const OwnedJobPtr&) override;
    void cancelRuns(const OwnedJob&) override;
    void keepTexts(const OwnedJob& owned) override { carried_.keep(owned.job, now()); }

    /// Does what an item's new state asks for.
    void act(const OwnedJobPtr&, size_t item, ItemAction);

    /// Tells a peer that this coordinator owns a job, and what the jobs of its model ask for.
    void sendOwner(const OwnedJob&, const PeerConnectionPtr&) const;

    /// Another coordinator says what the jobs of a model ask for.
    void onDemand(const std::string& model, double tokensPerSecond);

    /// Items of open jobs that are not listed yet, by model and by what they wait for.
    std::map<std::string, std::map<ItemStage, size_t>> queues() const;

    size_t replicas() const { return reports_.size(); }

private:
    struct Report {
        wire::ReplicaReport last;
        /// Starts whose answers have not come.
        int32_t starting = 0;
    };

    void tick();
    void terminateOrphans(OwnedJob&);
    std::string serviceOf(const OwnedJob&) const;
    std::map<std::string, std::vector<ReplicaView>> views() const;
    void place(const std::string& service, std::vector<ReplicaView>&);
    void move(const std::string& service, std::vector<ReplicaView>&);
    bool isMoveDue(const OwnedJob&, size_t item, const ReplicaView& from, const std::vector<ReplicaView>&) const;
    void giveUpSilent(OwnedJob&);
    void load(const std::map<std::string, std::vector<ReplicaView>>&);
    /// Takes over a run of an earlier owner if it is ahead of what is known here, and cancels this owner's own.
    ItemAction adopt(OwnedJob&, size_t item, const std::string& agent, const RunProgress&);
    void withdraw(OwnedJob&, size_t item, const std::string& reason);
    void startItem(const OwnedJobPtr&, size_t item, const ReplicaView&);
    asio::awaitable<void> sendStart(OwnedJobPtr, size_t item, std::string agent, wire::ItemStart);
    static std::string encodedCancel(const OwnedJob&, const std::string& item);

    asio::io_context& context_;
    const JobTable& jobs_;
    AgentLinks& links_;
    ItemScorer& scorer_;
    DirectorySource directory_;
    OnDoubt doubt_;
    Signal wake_;
    /// By agent.
    std::map<std::string, Report> reports_;
    WeightLoads loads_;
    GeneratedTextCache carried_;
};

} // namespace endiveroad::io
