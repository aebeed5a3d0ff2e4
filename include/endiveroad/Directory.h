#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Settings.h>
#include <endiveroad/SoftwareVersion.h>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// What every process knows of the shared platform that it runs on: routes, services, backend servers and coordinators.
namespace endiveroad {

/// Kind of traffic on a route. It determines whether a request may be repeated, and the form of the answers: a single
/// answer, a stream of events, or a batch job whose results are fetched later.
enum class TrafficKind { Idempotent, NonIdempotent, Streaming, BatchJobs };

/// One of the services of a route, which receive traffic in proportion to their weights.
struct WeightedService {
    std::string service;
    int32_t weight = 1;

    auto operator<=>(const WeightedService&) const = default;
};

/// A route as the operator configured it: which requests it matches, and how they are treated.
struct RouteDeclaration {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    TrafficKind kind = TrafficKind::Idempotent;
    /// Longest time that a caller waits for the answer.
    Duration timeout = std::chrono::seconds(10);
    /// Latency objective: time within which the caller wants the answer.
    Duration latencyObjective = std::chrono::seconds(1);
    /// 0 is the most urgent.
    int32_t priority = 0;
    std::vector<WeightedService> services;
    /// Number of replicas to which one request may be sent. Batch jobs: number of failed runs, at least one, after
    /// which an item is terminated.
    int32_t maxAttempts = 1;
    /// Streaming: a stream that breaks off is continued by a further run, as long as maxAttempts allows.
    bool isResumable = false;
    /// Batch jobs: all events of an item must come from a single weight version.
    bool isSingleVersion = false;
    /// Batch jobs: time from submission until the trainer wants all results.
    Duration resultDue = std::chrono::seconds(10);
    /// Batch jobs: time from submission after which items without a result are terminated. Includes the time that items
    /// run.
    Duration maxQueueTime = std::chrono::seconds(40);
    /// Callers need no API key, although the configuration declares organisations.
    bool isPublic = false;

    auto operator<=>(const RouteDeclaration&) const = default;
};

/// An organisation whose callers authenticate with API keys.
struct OrganisationDeclaration {
    std::string name;
    /// Takes precedence over the route's priority; 0 is the most urgent, 9 the least. Nothing if it has none.
    std::optional<int32_t> priority;
    /// Digests of its valid API keys; the keys themselves are not kept.
    std::set<std::string> keyDigests;

    auto operator<=>(const OrganisationDeclaration&) const = default;
};

/// Bounds for the number of replicas of a service that the system orders, in each failure domain.
struct ReplicaBounds {
    int32_t min = 0;
    int32_t max = 0;
    /// Time from the order of a replica until it serves.
    Duration bootTime {};

    auto operator<=>(const ReplicaBounds&) const = default;
};

/// A service as the operator configured it.
struct ServiceDeclaration {
    std::string name;
    /// Models that its replicas serve; empty if the service runs no models.
    std::vector<std::string> models;
    /// Nothing if the number of its replicas is not the system's to order.
    std::optional<ReplicaBounds> scaling = std::nullopt;

    auto operator<=>(const ServiceDeclaration&) const = default;
};

/// Limits on the size of callers' requests and on the time that they take to send them.
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
    /// By name. Nothing if the configuration declares none: then callers need no keys.
    std::optional<std::map<std::string, OrganisationDeclaration>> organisations;

    auto operator<=>(const RoutingTable&) const = default;

    /// True if requests of the route need the key of an organisation.
    bool requiresKey(const RouteDeclaration& route) const { return organisations && !route.isPublic; }

    /// The organisation that alone holds the key with this digest; null if there is none.
    const OrganisationDeclaration* organisationOf(const std::string& keyDigest) const;

    /// Priority of requests of an organisation on a route: the organisation's, else the route's.
    int32_t priorityOf(const RouteDeclaration&, const std::string& organisation) const;

    /// Priority of an organisation towards engines; nothing if it has none or is not declared.
    std::optional<int32_t> organisationPriority(const std::string& organisation) const;

    /// Route of the host with the longest prefix that matches the path; null if there is none.
    const RouteDeclaration* match(std::string_view host, std::string_view path) const;

    /// Route with this name; null if there is none.
    const RouteDeclaration* route(std::string_view name) const;

    /// True if the host has a route for batch jobs.
    bool hasBatchRoute(std::string_view host) const;

    /// Route of the host that matches the path, if it is one for batch jobs; null otherwise.
    const RouteDeclaration* batchRoute(std::string_view host, std::string_view path) const;

    /// Sorted names of all models of all services.
    std::vector<std::string> models() const;
};

/// Registration of a backend server.
struct ServerRecord {
    std::string id;
    std::string service;
    Address address;
    std::string failureDomain;
    bool isDraining = false;
    /// Number of requests that it can run at once.
    int32_t slots = 1;
    /// Wall time of its start in ms since the epoch; 0 if the registration does not tell it.
    int64_t startedMs = 0;
    /// Another server has answered at its address, so it has ended. Not a part of the registration.
    bool isReplaced = false;
    /// SoftwareVersion::version; empty if the registration does not tell it.
    std::string softwareVersion {};

    auto operator<=>(const ServerRecord&) const = default;

    SoftwareVersion software() const { return { service, softwareVersion }; }
};

/// Registration of a coordinator.
struct CoordinatorRecord {
    std::string name;
    /// Where it accepts connections of other processes of this system.
    Address peer;
    std::string failureDomain;

    auto operator<=>(const CoordinatorRecord&) const = default;
};

/// Immutable snapshot of the registrations, of the operator's configuration and of the VMs that the operator retires.
struct Directory {
    /// Nothing until a configuration has been read.
    std::optional<RoutingTable> routing;
    /// By id.
    std::map<std::string, ServerRecord> servers;
    /// Newest weight version announced by a trainer, by model.
    std::map<std::string, int64_t> announcedVersions;
    /// By name.
    std::map<std::string, CoordinatorRecord> coordinators;
    /// Revision of the operator's request to retire a VM, by VM.
    std::map<std::string, int64_t> retirements;

    auto operator<=>(const Directory&) const = default;

    /// Servers of the service that are not draining.
    std::vector<const ServerRecord*> readyServers(std::string_view service) const;

    /// True if a server of the service was replaced at its address by one that is not registered yet. What answers
    /// there may belong to another service, so only its registration brings it into use.
    bool isServerExpected(std::string_view service) const;

    /// Server at this address; null if there is none. Of several registrations with the same address, the one of the
    /// server started last.
    const ServerRecord* serverAt(const Address&) const;

    /// True if the service is configured to run models, so that its servers are engines.
    bool runsModels(const std::string& service) const;

    /// Marks servers as draining and replaced at whose addresses a server started later is registered.
    void markReplacedServers();

    /// Coordinators that a process connects to: those registered, and also the seeds if areSeedsNeeded (the process may
    /// not know all registrations yet) or if no coordinator is registered.
    std::set<Address> coordinatorAddresses(const std::vector<Address>& seeds, bool areSeedsNeeded) const;

    /// Newest announced version of the model. If none was announced, 1, the version that replicas have at their start.
    int64_t announcedVersion(const std::string& model) const;
};

} // namespace endiveroad
