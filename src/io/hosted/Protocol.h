#pragma once

#include "io/HttpClient.h"
#include "io/HttpServer.h"
#include "io/hosted/MetadataStore.h"

#include <endiveroad/BatchJob.h>
#include <endiveroad/Directory.h>
#include <endiveroad/DocumentSet.h>
#include <endiveroad/HostedSettings.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// What the system needs a platform to translate. Implementations hold names and formats and decide nothing.
namespace endiveroad::io {

/// What a caller wants.
enum class CallerOperation { Call, ReadJob, ReadItem, EndJob };

/// A caller's request, decoded. Job, item, firstPosition and wait are set for the operations on batch jobs.
struct CallerRequest {
    CallerOperation operation = CallerOperation::Call;
    std::string id;
    /// Without a port.
    std::string host;
    /// Without the query.
    std::string path;
    /// Time that the caller waits; nothing if it did not say.
    std::optional<Duration> patience;
    std::string job;
    std::string item;
    int64_t firstPosition = 0;
    std::chrono::milliseconds wait {};
};

class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    /// Throws BadRequestError.
    virtual CallerRequest decode(const HttpQuery&) const = 0;

    /// Answer for a failure of the system; retryAfter of zero sends no hint.
    virtual HttpResponse encodeError(const Error&, Duration retryAfter) const = 0;

    /// Target at which the platform asks for readiness.
    virtual std::string readinessTarget() const = 0;
};

/// A request for a backend server.
struct ReplicaRequest {
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
    /// Request id that the server sees and repeats; empty to leave the headers as they are.
    std::string id;
    std::string host;
    /// Server that alone may run it; empty for any.
    std::string server;
    /// Time after which nobody waits for the answer; nothing for no limit.
    std::optional<Duration> patience;
    /// Last event that the sender has of a stream that is resumed.
    std::optional<int64_t> lastEventId;
};

/// What a server's answer says about the request.
enum class ReplicaVerdict { Ran, NotRun, OtherServer };

struct ReplicaAnswer {
    ReplicaVerdict verdict = ReplicaVerdict::Ran;
    /// Proof of the server that the answer is its own; empty if missing.
    std::string stamp;
    /// Weight version with which an answer begins.
    std::optional<int64_t> version;
    struct Load {
        int32_t running = 0;
        int32_t waiting = 0;
    };
    std::optional<Load> load;
};

/// State that an engine replica tells of itself.
struct EngineState {
    std::map<std::string, int64_t> versions;
    bool isLoading = false;
    /// Orders accepted since its start.
    int64_t orders = 0;
};

struct WeightOrder {
    std::string model;
    int64_t version = 0;
    /// Runs go on under the new version; else they finish first.
    bool doRunsGoOn = true;
    std::string holder;
    int64_t fence = 0;
    int64_t expectedOrders = 0;
    std::string server;
};

enum class OrderOutcome { Accepted, AlreadyHolds, Busy, Fenced, Refused };

class ReplicaProtocol {
public:
    virtual ~ReplicaProtocol() = default;

    virtual HttpRequest encode(ReplicaRequest) const = 0;
    virtual ReplicaAnswer decode(const HttpResponse&) const = 0;
    /// Weight version that a line at the head of an event states; nothing if the line is of another kind.
    virtual std::optional<int64_t> versionOfLine(std::string_view line) const = 0;
    virtual HttpRequest encodeStateQuery() const = 0;
    /// Throws FrameInvalidError.
    virtual EngineState decodeState(const std::string& body) const = 0;
    virtual HttpRequest encodeOrder(const WeightOrder&) const = 0;
    virtual OrderOutcome decodeOrderOutcome(const HttpResponse&) const = 0;
};

class BatchProtocol {
public:
    virtual ~BatchProtocol() = default;

    /// Throws BadRequestError.
    virtual BatchJobSpec decodeJob(
        const std::string& id, const std::string& host, const std::string& route, const std::string& body) const = 0;

    /// Results from a position on, at most as many as an answer may hold.
    virtual std::string encodeResults(
        const std::vector<BatchResult>& listed, size_t firstPosition, size_t totalItems) const = 0;
};

/// Form of what the platform's store holds of interest to every process.
class DirectoryProtocol {
public:
    virtual ~DirectoryProtocol() = default;

    /// Prefix of what operators and trainers write.
    virtual std::string operatorPrefix() const = 0;
    /// Prefix of the backend servers' registrations.
    virtual std::string serverPrefix() const = 0;

    /// Replaces the parts of the directory that come from these prefixes. What cannot be read is left out, and named in
    /// `unreadable`.
    virtual Directory decode(const DocumentSet&, std::vector<std::string>& unreadable) const = 0;

    /// True if two states of a key mean the same.
    virtual bool isSame(const Document&, const Document&) const = 0;

    /// Document that reports that a VM has been emptied.
    virtual StorePut retirementDone(const std::string& vm) const = 0;
};

/// A platform on which the system runs.
class Platform {
public:
    virtual ~Platform() = default;

    /// Reads the settings of this process again. Throws SettingsInvalidError, FileUnreadableError.
    virtual HostedSettings readSettings() const = 0;
    virtual std::unique_ptr<MetadataStore> makeStore(StoreTransport&) const = 0;
    virtual const CallerProtocol& callers() const = 0;
    virtual const ReplicaProtocol& replicas() const = 0;
    virtual const BatchProtocol& batches() const = 0;
    virtual const DirectoryProtocol& directory() const = 0;
};

} // namespace endiveroad::io
