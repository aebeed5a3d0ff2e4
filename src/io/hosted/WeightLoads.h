#pragma once

#include "io/hosted/OwnedJob.h"

#include <endiveroad/BatchPlacement.h>
#include <endiveroad/Directory.h>
#include <map>
#include <string>
#include <vector>

/// Which agents a coordinator asks to load weights, for the models of its jobs.
namespace endiveroad::io {

class WeightLoads {
public:
    /// Time after the last job of a model during which its replicas are kept current.
    static constexpr Duration modelInterest = std::chrono::seconds(12);

    /// Time for an agent to report that it has begun a load.
    static constexpr Duration askPause = std::chrono::milliseconds(300);

    /// Share of the newest job in the moving average of a model's demand.
    static constexpr double newestShare = 0.4;

    /// This coordinator accepted or took over a job: its tokens are wanted by its due time.
    void onJob(const OwnedJob&);

    /// The owner of a job says what the jobs of its model ask for.
    void onDemand(const std::string& model, double tokensPerSecond);

    /// What the jobs of a model ask for; 0 if nothing is known.
    double demandOf(const std::string& model) const;

    /// A trainer named a version of the model.
    void onVersionNamed(const std::string& model, Instant now) { namedAt_[model] = now; }

    /// The coordinator has an open job of the model on replicas of the service.
    void onOpenJob(const std::string& model, const std::string& service, Instant now);

    /// Loads to ask for now, of replicas of one service.
    std::vector<WeightLoadChoice> choose(
        const std::string& service, const std::vector<ReplicaView>&, const JobTable&, const Directory&, Instant now);

private:
    struct Interest {
        std::string service;
        Instant expiry;
    };

    WeightLoadDemand demandFor(const std::string& model, const std::string& service, const std::vector<ReplicaView>&,
        const JobTable&, const Directory&) const;

    ModelDemands demands_;
    std::map<std::string, Instant> namedAt_;
    /// By model.
    std::map<std::string, Interest> interests_;
    /// When a load may be asked for again, by agent.
    std::map<std::string, Instant> askAgainAt_;
};

} // namespace endiveroad::io
