#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Settings.h>
#include <endiveroad/Time.h>
#include <optional>
#include <string>
#include <vector>

/// Settings that a process on a shared platform gets at its start. It reads all others from the platform's store.
namespace endiveroad {

/// Duties towards the platform, of which one process at a time is in charge.
struct DutySettings {
    /// HTTP API of the platform; nothing if there are no duties.
    std::optional<Address> api;
    bool reportsUsage = false;
    bool ordersReplicas = false;
    /// Calls a second that the API accepts from all processes together.
    double callsPerSecond = 50;
    /// The API rejects calls with a lower fencing token than it has seen.
    bool areTokensChecked = true;
    /// Lifetime of the lease with which a process holds the duties.
    Duration leaseTime = std::chrono::seconds(3);
    /// Length of the windows of which usage is reported.
    Duration usageWindow = std::chrono::seconds(5);
    /// Time after the end of a window at which its report is due.
    Duration usageReportTime = std::chrono::seconds(10);

    auto operator<=>(const DutySettings&) const = default;
};

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
    /// Memory of the VM for this process in bytes; 0 if it is not known.
    uint64_t memoryBytes = 0;
    /// Number of descriptors that this process may open; 0 if it is not known.
    uint32_t maxDescriptors = 0;
    /// Time within which an API key that the configuration no longer has must be refused.
    Duration revocationTime = std::chrono::seconds(5);
    /// Requests that need a key are refused while the configuration has not been confirmed for revocationTime.
    bool isFailClosed = false;
    DutySettings duties;

    auto operator<=>(const HostedSettings&) const = default;
};

} // namespace endiveroad
