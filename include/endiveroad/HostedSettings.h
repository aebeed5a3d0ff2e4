#pragma once

#include <compare>
#include <endiveroad/Settings.h>
#include <endiveroad/Time.h>
#include <optional>
#include <string>
#include <vector>

/// Settings that a process on a shared platform gets at its start. It reads all others from the platform's store.
namespace endiveroad {

struct HostedSettings {
    std::string name;
    std::string failureDomain;
    /// IP address of this VM.
    std::string host;
    /// Address on which callers connect; entries only.
    std::optional<Address> callers;
    /// Address on which the platform asks whether this process is ready for callers; entries only.
    std::optional<Address> readiness;
    /// Address on which other processes of the system connect.
    Address peers;
    /// Addresses at which coordinators may be found while the store lists none or the process has just started; some
    /// may no longer exist.
    std::vector<Address> seeds;
    Address store;
    /// The engine replica on which this agent runs requests; agents only.
    std::optional<Address> replica;
    /// Time from SIGTERM until the process is killed.
    Duration graceTime = std::chrono::seconds(8);
    /// Time after the submission of a job for which its results are kept.
    Duration resultLifetime = std::chrono::seconds(120);

    auto operator<=>(const HostedSettings&) const = default;
};

} // namespace endiveroad
