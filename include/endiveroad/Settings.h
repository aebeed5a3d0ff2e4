#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The settings in force, resolved from the operators' tree into typed values. Sections set high in the tree apply
/// below unless a lower node overrides single keys of them.
namespace endiveroad {

struct SettingsValue;

/// Where a process or backend server can be reached.
struct Address {
    std::string host;
    uint16_t port = 0;

    auto operator<=>(const Address&) const = default;

    /// Reads "host:port". Throws SettingsInvalidError.
    static Address parse(std::string_view text);

    std::string text() const;
};

/// Section "call": how requests to a pool are treated.
struct CallPolicy {
    Duration timeout = std::chrono::seconds(5);
    uint64_t maxBodyBytes = 1U << 20;
    int32_t slots = 16;
    int32_t reservedSlots = 1;
    Duration outcomeRetention = std::chrono::minutes(10);
    Duration drainTimeout = std::chrono::seconds(30);

    auto operator<=>(const CallPolicy&) const = default;
};

/// Section "rollout": how the steps of a job are treated.
struct RolloutPolicy {
    /// Largest allowed difference between the trainer's version and a sample's oldest segment, in versions.
    int64_t stalenessBound = 2;
    /// 0: only staleness counts; 1: only trainer idle time counts.
    double idleWeight = 0.5;
    int32_t priority = 0;
    Duration stepTimeout = std::chrono::minutes(19);
    bool wholeGroups = true;
    /// Largest share of a pool's replicas that swap weights at once.
    double swapShare = 0.34;
    uint64_t heldBytesPerAgent = 32U << 20;

    auto operator<=>(const RolloutPolicy&) const = default;
};

enum class PoolKind { Engine, Service, Scorer };

struct EntryDeclaration {
    std::string name;
    std::string region;
    std::string failureDomain;
    Address http;
    Address peer;

    auto operator<=>(const EntryDeclaration&) const = default;
};

struct ReplicaDeclaration {
    std::string name;
    std::string failureDomain;
    Address server;
    Address peer;

    auto operator<=>(const ReplicaDeclaration&) const = default;
};

struct PoolDeclaration {
    std::string name;
    std::string region;
    PoolKind kind = PoolKind::Service;
    std::string model;
    /// The engines refuse an order with an old fencing number.
    bool honoursFencing = true;
    /// The engines state the weight version in every chunk (system_fingerprint).
    bool statesVersion = false;
    /// Calls may be repeated freely; if not, they need an Idempotency-Key.
    bool isIdempotent = true;
    CallPolicy call;
    std::map<std::string, ReplicaDeclaration> replicas;

    auto operator<=>(const PoolDeclaration&) const = default;
};

struct JobDeclaration {
    std::string name;
    std::string region;
    std::string trainer;
    std::string model;
    std::string pool;
    std::optional<std::string> scoringPool;
    RolloutPolicy rollout;

    auto operator<=>(const JobDeclaration&) const = default;
};

/// Immutable snapshot of one revision.
struct Settings {
    int64_t revision = 0;
    std::string organisation;
    std::map<std::string, EntryDeclaration> entries;
    std::map<std::string, PoolDeclaration> pools;
    std::map<std::string, JobDeclaration> jobs;

    auto operator<=>(const Settings&) const = default;

    /// Resolves a merged tree document. Throws SettingsInvalidError with one line for each fault.
    static Settings fromDocument(std::string_view json, int64_t revision);

    /// Resolves a tree that was read. Throws SettingsInvalidError with one line for each fault.
    static Settings fromTree(const SettingsValue&, int64_t revision);

    /// Declared pool or job by name. Throws PoolUnknownError or JobUnknownError.
    const PoolDeclaration& pool(const std::string& name) const;
    const JobDeclaration& job(const std::string& name) const;
};

} // namespace endiveroad
