#pragma once

#include <compare>
#include <endiveroad/Settings.h>
#include <endiveroad/Time.h>
#include <optional>
#include <string>
#include <vector>

/// What a process on a shared platform is told at its start. Everything else it learns from the platform's store.
namespace endiveroad {

struct HostedSettings {
    std::string name;
    std::string failureDomain;
    /// IP number of this VM.
    std::string host;
    /// Where callers connect; entries only.
    std::optional<Address> callers;
    /// Where the platform asks whether this process wants callers; entries only.
    std::optional<Address> readiness;
    /// Where other processes of the system connect.
    Address peers;
    /// Processes of the system that may be up; some may be gone.
    std::vector<Address> seeds;
    Address store;
    /// The engine replica beside this process; agents only.
    std::optional<Address> replica;
    /// Time from SIGTERM until the process is killed.
    Duration graceTime = std::chrono::seconds(8);
    /// Time for which results are kept after a job was submitted.
    Duration resultLifetime = std::chrono::seconds(120);

    auto operator<=>(const HostedSettings&) const = default;
};

} // namespace endiveroad
