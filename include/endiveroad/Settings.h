#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The settings as typed values, resolved from the settings tree that operators write. The sections "call" and
/// "rollout" are inherited: a key set on a node applies to all nodes below it unless a lower node sets the same key.
namespace endiveroad {

struct SettingsValue;

/// Network address of a process or backend server.
struct Address {
    std::string host;
    uint16_t port = 0;

    auto operator<=>(const Address&) const = default;

    /// Parses "host:port". Throws SettingsInvalidError for any other text.
    static Address parse(std::string_view text);

    std::string text() const;
};

/// Section "call": limits and timeouts of the requests to a pool. SettingsKeys.def documents each key.
struct CallPolicy {
    Duration timeout = std::chrono::seconds(5);
    uint64_t maxBodyBytes = 1U << 20;
    int32_t slots = 16;
    int32_t reservedSlots = 1;
    Duration outcomeRetention = std::chrono::minutes(10);
    Duration drainTimeout = std::chrono::seconds(30);

    auto operator<=>(const CallPolicy&) const = default;
};

/// Section "rollout": how the steps of a job are scheduled. SettingsKeys.def documents each key.
struct RolloutPolicy {
    /// Largest allowed difference between the trainer's weight version and that of a sample's oldest segment.
    int64_t stalenessBound = 2;
    /// Relative importance of trainer idle time and staleness: 0 counts only staleness, 1 only idle time.
    double idleWeight = 0.5;
    int32_t priority = 0;
    /// Timeout of each attempt at generating a sample.
    Duration stepTimeout = std::chrono::minutes(19);
    /// Whether the samples of a group are delivered together.
    bool wholeGroups = true;
    /// Largest fraction of a pool's replicas that load new weights at the same time; the number is rounded down but
    /// is at least one.
    double swapShare = 0.34;
    /// Memory in which an agent holds finished samples, in bytes.
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
    /// Whether the engines reject a command whose fencing token is lower than one they have seen.
    bool honoursFencing = true;
    /// Whether the engines report the weight version in every streamed chunk (field system_fingerprint).
    bool statesVersion = false;
    /// Whether a call may run more than once. If not, every call but GET needs an Idempotency-Key.
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

/// Immutable snapshot of one revision of the settings.
struct Settings {
    int64_t revision = 0;
    std::string organisation;
    std::map<std::string, EntryDeclaration> entries;
    std::map<std::string, PoolDeclaration> pools;
    std::map<std::string, JobDeclaration> jobs;

    auto operator<=>(const Settings&) const = default;

    /// Parses the JSON text of a whole tree, validates and resolves it. Throws SettingsInvalidError with one line for
    /// each fault.
    static Settings fromDocument(std::string_view json, int64_t revision);

    /// Validates and resolves a parsed tree. Throws SettingsInvalidError with one line for each fault: first those
    /// found by checkAgainstSchema(), then those found by checkReferences(). Values with faults of the first kind are
    /// removed before the second check, which can then report further faults that only follow from them.
    static Settings fromTree(const SettingsValue&, int64_t revision);

    /// The pool or job of this name. Throws PoolUnknownError or JobUnknownError if the settings do not declare it.
    const PoolDeclaration& pool(const std::string& name) const;
    const JobDeclaration& job(const std::string& name) const;
};

} // namespace endiveroad
