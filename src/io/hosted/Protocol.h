#pragma once

#include "io/HttpClient.h"
#include "io/HttpServer.h"
#include "io/hosted/MetadataStore.h"

#include <endiveroad/BatchJob.h>
#include <endiveroad/Directory.h>
#include <endiveroad/DocumentSet.h>
#include <endiveroad/HostedSettings.h>
#include <endiveroad/LeavingServers.h>
#include <endiveroad/UsageReport.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Interfaces that a platform implements. They encode and decode messages and documents in the platform's formats and
/// take no decisions.
namespace endiveroad::io {

/// Operation that a caller requests. Call is a service call or, on a route for batch jobs, the submission of a job.
enum class CallerOperation { Call, ReadJob, ReadItem, CancelJob };

/// A decoded request of a caller. Job, item, firstPosition and maxWait are set for ReadJob, ReadItem and CancelJob; a
/// submission has its job id in `id`.
struct CallerRequest {
    CallerOperation operation = CallerOperation::Call;
    std::string id;
    /// Without a port.
    std::string host;
    /// Without the query.
    std::string path;
    /// Time for which the caller waits for the answer; nothing if the request does not say.
    std::optional<Duration> timeout;
    /// The caller has events of the stream that it asks for, and wants those that follow.
    bool isResumption = false;
    /// Id of the caller's request that brought the first event of that stream; empty if the caller does not say.
    std::string resumedRequest;
    std::string job;
    std::string item;
    int64_t firstPosition = 0;
    /// Time for which a read waits for new results.
    std::chrono::milliseconds maxWait {};
    /// Digest of the caller's API key; empty if the request has none, an empty one, or several that differ.
    std::string keyDigest;
};

class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    /// Throws BadRequestError.
    virtual CallerRequest decode(const HttpQuery&) const = 0;

    /// Encodes an error answer. With a retryAfter of zero it has no hint on when to try again.
    virtual HttpResponse encodeError(const Error&, Duration retryAfter) const = 0;

    /// Request target of the platform's readiness probe.
    virtual std::string readinessTarget() const = 0;
};

/// HTTP method of the requests with which items of batch jobs are sent to replicas.
inline constexpr const char* itemMethod = "POST";

/// A request to a backend server.
struct ReplicaRequest {
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
    /// Request id that is sent to the server, which echoes it; if empty, the headers stay as they are.
    std::string id;
    std::string host;
    /// Id of the only server that may run the request; empty for any.
    std::string server;
    /// Time after which the sender no longer needs the answer; nothing for no limit.
    std::optional<Duration> timeout;
    /// Id of the last event that the sender has received, if a stream is to be resumed after it.
    std::optional<int64_t> lastEventId;
    /// Drops what the headers say of a last event, since only the sender knows it. Not set for callers, who may take a
    /// stream up.
    bool isPositionRemoved = false;
    /// Drops what the caller sent as its API key and organisation. Set where the configuration declares organisations;
    /// elsewhere these headers mean nothing and are forwarded like any other.
    bool isIdentityRemoved = false;
    /// Organisation on whose behalf the request is made; empty for none.
    std::string organisation;
    /// Priority towards an engine, from 0, the most urgent, to 9; nothing to leave it to the engine.
    std::optional<int32_t> priority;
};

/// Whether the server has run the request. NotRun: the server refused it. ServerMismatch: another server than the one
/// named in the request answered, and has not run it.
enum class ReplicaVerdict { Ran, NotRun, ServerMismatch };

struct ReplicaAnswer {
    ReplicaVerdict verdict = ReplicaVerdict::Ran;
    /// Header value with which a server marks an answer as its own; empty if the answer has none. A success answer of a
    /// service call without it is treated as broken.
    std::string stamp;
    /// Weight version at the beginning of the answer; later events may state another.
    std::optional<int64_t> version;
    struct Load {
        int32_t running = 0;
        int32_t waiting = 0;
    };
    std::optional<Load> load;
    /// The server that answered is leaving and must get no new requests.
    bool isLeaving = false;
    /// What the answer says of that in place of the value that means it; empty if it says nothing else.
    std::string unknownLeavingValue;
    /// Requests a second that the server takes from all processes together; nothing if it states no limit.
    std::optional<double> requestLimit;
    /// What the answer states in place of a limit that can be read; empty if it states nothing else.
    std::string unknownLimitValue;
    /// Id of the server that answered; empty if the answer does not state it.
    std::string server;
};

/// Told of the answers of backend servers as soon as their heads have arrived, whether or not the rest follows.
class ServerAnswerListener {
public:
    virtual ~ServerAnswerListener() = default;

    /// `receiver` is the server that the request was sent to. An answer with the verdict ServerMismatch comes from
    /// another one.
    virtual void onAnswer(const ReplicaAnswer&, const ServerIncarnation& receiver) = 0;

    /// Nothing listens at the address of this start of a server, so it has ended.
    virtual void onEnded(const ServerIncarnation&) { }
};

/// State that an engine replica reports.
struct EngineState {
    /// Weight version by model.
    std::map<std::string, int64_t> versions;
    bool isLoading = false;
    /// Number of orders that the replica has accepted since its start.
    int64_t acceptedOrders = 0;
    /// Wall time of its start in ms since the epoch; 0 if the report does not tell it.
    int64_t startedMs = 0;
};

/// An order to a replica to load a weight version. The replica carries it out only if `fencingToken` is not lower than
/// that of an earlier order and its count of accepted orders is `expectedOrders`; a repeated or delayed order has no
/// effect.
struct WeightLoadOrder {
    std::string model;
    int64_t version = 0;
    /// Active runs continue under the new version; if false, the replica loads after they have finished.
    /// Nothing sets it to false at present.
    bool areRunsKept = true;
    /// Name of the agent that gives the order.
    std::string holder;
    /// Fencing token of the agent.
    int64_t fencingToken = 0;
    int64_t expectedOrders = 0;
    /// Id of the only server that may carry out the order.
    std::string server;
};

/// Busy: the replica is loading, or its count of accepted orders is not the expected one. Fenced: it has seen a higher
/// fencing token, so another agent controls it.
enum class OrderOutcome { Accepted, AlreadyLoaded, Busy, Fenced, Refused };

class ReplicaProtocol {
public:
    virtual ~ReplicaProtocol() = default;

    virtual HttpRequest encode(ReplicaRequest) const = 0;
    virtual ReplicaAnswer decode(const HttpResponse&) const = 0;
    /// Parses a line of an event that states a weight version; returns nothing for any other line.
    virtual std::optional<int64_t> parseVersionLine(std::string_view line) const = 0;
    virtual HttpRequest encodeStateQuery() const = 0;
    /// Throws FrameInvalidError.
    virtual EngineState decodeState(const std::string& body) const = 0;
    virtual HttpRequest encodeOrder(const WeightLoadOrder&) const = 0;
    virtual OrderOutcome decodeOrderOutcome(const HttpResponse&) const = 0;
};

class BatchProtocol {
public:
    virtual ~BatchProtocol() = default;

    /// Throws BadRequestError. Items that cannot be sent are decoded like others: earlier versions stored such jobs.
    virtual BatchJobSpec decodeJob(
        const std::string& id, const std::string& host, const std::string& route, const std::string& body) const = 0;

    /// Throws BadRequestError with the place of the first item that cannot be sent; see itemFault().
    virtual void requireSendable(const BatchJobSpec&) const = 0;

    /// Encodes results from a position on, up to the size limit of an answer.
    virtual std::string encodeResults(
        const std::vector<BatchResult>& listed, size_t firstPosition, size_t totalItems) const = 0;
};

/// State of the retirement of a VM, as it is reported to the operator. The platform removes a VM that is completed at
/// once.
enum class RetirementState { Running, Completed };

/// Format of the documents in the platform's store from which every process builds its directory.
class DirectoryProtocol {
public:
    virtual ~DirectoryProtocol() = default;

    /// Key prefix of the documents that operators and trainers write.
    virtual std::string operatorPrefix() const = 0;
    /// Key prefix of the backend servers' registrations.
    virtual std::string serverPrefix() const = 0;

    /// Builds the parts of the directory that come from these prefixes. Documents that cannot be decoded are left out
    /// and listed in `unreadable`.
    virtual Directory decode(const DocumentSet&, std::vector<std::string>& unreadable) const = 0;

    /// The document as processes keep it and send it to each other: API keys are replaced by digests.
    virtual Document withoutSecrets(Document) const = 0;

    /// True if two revisions of a key have the same meaning, though their bytes may differ.
    virtual bool isEquivalent(const Document&, const Document&) const = 0;

    /// Key of the document in which the operator finds the state of a VM's retirement.
    virtual std::string retirementReportKey(const std::string& vm) const = 0;
    virtual std::string encodeRetirementReport(RetirementState) const = 0;
    /// A value that cannot be decoded completes nothing.
    virtual RetirementState decodeRetirementReport(const std::string& value) const = 0;
};

/// Number of replicas that a service is to have in a failure domain.
struct ScaleOrder {
    std::string service;
    std::string failureDomain;
    int32_t replicas = 0;

    auto operator<=>(const ScaleOrder&) const = default;
};

/// Who performs a duty towards the platform, and under which fencing token.
struct DutyAuthority {
    std::string holder;
    int64_t fencingToken = 0;

    auto operator<=>(const DutyAuthority&) const = default;
};

/// Done: the platform carried the call out. Fenced: it has seen a higher fencing token. Rejected: it has not carried it
/// out and may do so if the call is repeated later.
enum class DutyOutcome { Done, Fenced, Rejected };

/// Calls to the platform that only the holder of the duties makes.
class DutyProtocol {
public:
    virtual ~DutyProtocol() = default;

    virtual HttpRequest encodeUsage(const UsageReport&, const DutyAuthority&) const = 0;
    virtual HttpRequest encodeScaleOrder(const ScaleOrder&, const DutyAuthority&) const = 0;
    virtual DutyOutcome decodeOutcome(const HttpResponse&) const = 0;
};

/// A platform on which the system runs.
class Platform {
public:
    virtual ~Platform() = default;

    /// Reads the settings of this process. Throws SettingsInvalidError, FileUnreadableError.
    virtual HostedSettings readSettings() const = 0;
    virtual std::unique_ptr<MetadataStore> makeStore(StoreTransport&) const = 0;
    virtual const CallerProtocol& callerProtocol() const = 0;
    virtual const ReplicaProtocol& replicaProtocol() const = 0;
    virtual const BatchProtocol& batchProtocol() const = 0;
    virtual const DirectoryProtocol& directoryProtocol() const = 0;
    virtual const DutyProtocol& dutyProtocol() const = 0;
};

} // namespace endiveroad::io
