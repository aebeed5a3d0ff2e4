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

    /// A trainer named a version of the model.
    void onVersionNamed(const std::string& model, Instant now) { namedAt_[model] = now; }

    /// The coordinator has an open job of the model on replicas of the service.
    void onOpenJob(const std::string& model, const std::string& service, Instant now);

    /// Loads to ask for now, of replicas of one service.
    std::vector<LoadChoice> choose(
        const std::string& service, const std::vector<ReplicaView>&, const JobTable&, const Directory&, Instant now);

private:
    struct Interest {
        std::string service;
        Instant expiry;
    };

    LoadDemand demandFor(const std::string& model, const std::string& service, const std::vector<ReplicaView>&,
        const JobTable&, const Directory&) const;

    std::map<std::string, Instant> namedAt_;
    /// By model.
    std::map<std::string, Interest> interests_;
    /// When a load may be asked for again, by agent.
    std::map<std::string, Instant> askAgainAt_;
};

} // namespace endiveroad::io
