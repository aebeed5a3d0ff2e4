#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Settings.h>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// What a process on a shared platform knows of routes, services, backend servers and coordinators.
namespace endiveroad {

/// What may be repeated on a route, and in which form its answers come.
enum class TrafficKind { Idempotent, NonIdempotent, Streaming, BatchJobs };

/// One of the services that share the traffic of a route.
struct WeightedService {
    std::string service;
    int32_t weight = 1;

    auto operator<=>(const WeightedService&) const = default;
};

struct RouteDeclaration {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    TrafficKind kind = TrafficKind::Idempotent;
    /// Longest time for which a caller is kept waiting.
    Duration timeout = std::chrono::seconds(10);
    /// Time within which an answer is of full use to the caller.
    Duration objective = std::chrono::seconds(1);
    /// 0 is the most urgent.
    int32_t priority = 0;
    std::vector<WeightedService> services;
    /// Replicas to which one request may be sent.
    int32_t maxAttempts = 1;
    bool isResumable = false;
    /// Batch jobs: all events of an item come from a single weight version.
    bool isSingleVersion = false;
    /// Batch jobs: time from the submission until results are of full use.
    Duration resultDue = std::chrono::seconds(10);
    /// Batch jobs: time from the submission after which an unfinished item may be given up.
    Duration maxQueueTime = std::chrono::seconds(40);

    auto operator<=>(const RouteDeclaration&) const = default;
};

struct ServiceDeclaration {
    std::string name;
    /// Models that its replicas serve; empty for a plain service.
    std::vector<std::string> models;

    auto operator<=>(const ServiceDeclaration&) const = default;
};

/// What callers may send, and how long they may take.
struct CallerLimits {
    uint32_t maxHeaderBytes = 16U << 10;
    uint64_t maxBodyBytes = 64U << 20;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);

    auto operator<=>(const CallerLimits&) const = default;
};

/// One version of the operator's configuration.
struct RoutingTable {
    int64_t version = 0;
    std::vector<RouteDeclaration> routes;
    std::map<std::string, ServiceDeclaration> services;
    CallerLimits limits;

    auto operator<=>(const RoutingTable&) const = default;

    /// Route of the host whose prefix is the longest that begins the path; null if there is none.
    const RouteDeclaration* match(std::string_view host, std::string_view path) const;

    /// Route by name; null if there is none.
    const RouteDeclaration* route(std::string_view name) const;

    /// True if the host has a route for batch jobs.
    bool hasBatchJobs(std::string_view host) const;

    /// Sorted names of all models of all services.
    std::vector<std::string> models() const;
};

/// A backend server as it registered itself.
struct ServerRecord {
    std::string id;
    std::string service;
    Address address;
    std::string failureDomain;
    bool isDraining = false;
    int32_t slots = 1;
    /// Wall time of its start in ms since the epoch; 0 if it does not say.
    int64_t startedMs = 0;

    auto operator<=>(const ServerRecord&) const = default;
};

/// A coordinator as it registered itself.
struct CoordinatorRecord {
    std::string name;
    Address peer;
    std::string failureDomain;

    auto operator<=>(const CoordinatorRecord&) const = default;
};

/// Immutable snapshot of everything that processes learn of each other and of the operator.
struct Directory {
    std::optional<RoutingTable> routing;
    /// By id.
    std::map<std::string, ServerRecord> servers;
    /// Newest weight version that a trainer named, by model.
    std::map<std::string, int64_t> namedVersions;
    /// By name.
    std::map<std::string, CoordinatorRecord> coordinators;
    /// VMs that the operator wants emptied.
    std::set<std::string> retiring;

    auto operator<=>(const Directory&) const = default;

    /// Servers of a service that take new work.
    std::vector<const ServerRecord*> readyServers(std::string_view service) const;

    /// Server at an address, the last started if several are still registered there; null if there is none.
    const ServerRecord* serverAt(const Address&) const;

    /// Peers that a process connects to: the registered coordinators, and the seeds as long as it may not know all of
    /// the former.
    std::set<Address> coordinatorAddresses(const std::vector<Address>& seeds, bool areSeedsNeeded) const;

    /// Newest named version of a model; 1, with which replicas start, if none was named.
    int64_t namedVersion(const std::string& model) const;
};

} // namespace endiveroad
