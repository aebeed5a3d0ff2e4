#pragma once

#include "io/hosted/OwnedJob.h"

#include <endiveroad/BatchPlacement.h>
#include <endiveroad/Directory.h>
#include <map>
#include <string>
#include <vector>

/// Decides from which agents a coordinator requests weight loads for the models of its jobs.
namespace endiveroad::io {

class WeightLoads {
public:
    /// How long after the last open job of a model its home replicas (homeReplicas()) are still asked to
    /// load announced versions.
    static constexpr Duration modelUseLifetime = std::chrono::seconds(12);

    /// Minimum time between two requests to the same agent: its time to report that it has begun the load.
    static constexpr Duration requestInterval = std::chrono::milliseconds(300);

    /// Weight of the newest job in the moving average of a model's demand.
    static constexpr double newestJobWeight = 0.4;

    /// This coordinator accepted or took over a job. Adds the job's demand to the moving average of its model: expected
    /// tokens divided by the time from submission to due time.
    void onJob(const OwnedJob&);

    /// Another coordinator reported the demand of a model. Replaces the demand known here; 0 is ignored.
    void onDemandReport(const std::string& model, double tokensPerSecond);

    /// Tokens per second that the jobs of a model need; 0 if unknown.
    double demandOf(const std::string& model) const;

    /// A trainer announced a new version of the model.
    void onVersionAnnounced(const std::string& model, Instant now) { announcedAt_[model] = now; }

    /// The coordinator has an open job of the model on replicas of the service.
    void onOpenJob(const std::string& model, const std::string& service, Instant now);

    /// Weight loads to request now from the agents of a service's replicas.
    std::vector<WeightLoadChoice> choose(
        const std::string& service, const std::vector<ReplicaView>&, const JobTable&, const Directory&, Instant now);

private:
    /// Service on which open jobs last used a model, and the time at which that use is forgotten.
    struct ModelUse {
        std::string service;
        Instant expiry;
    };

    WeightLoadDemand demandFor(const std::string& model, const std::string& service, const std::vector<ReplicaView>&,
        const JobTable&, const Directory&) const;

    ModelDemands demands_;
    /// When the newest version was announced, by model.
    std::map<std::string, Instant> announcedAt_;
    /// By model.
    std::map<std::string, ModelUse> modelUses_;
    /// Earliest time of the next request, by agent.
    std::map<std::string, Instant> nextRequestAt_;
};

} // namespace endiveroad::io
