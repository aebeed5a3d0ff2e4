/**
 * Messages between endiveroad processes. The file defines no services: framing,
 * correlation and deadlines belong to the frame header (src/io/Frame.h).
 * Field numbers are never changed or reused; a reader skips unknown fields.
 */
namespace cpp endiveroad.wire

/** NotRun: the request has not run and will not. Unknown: it may have run. */
enum Outcome { Done = 1, NotRun = 2, Unknown = 3 }

/** Introduces the sender; each side of a new connection sends it. */
struct Hello {
  /** Name of the sending process. */
  1: string node
  2: string role
  3: i64 incarnation
  /** Revision in force; 0 for none. */
  4: i64 settingsRevision
  5: string organisation
}

/**
 * State of an agent and its backend server, sent to all connected
 * entries. An entry ignores a report that is older than the last one by
 * incarnation, then by sequence.
 */
struct AgentReport {
  1: string agent
  2: string pool
  /** Increases each time the agent's process starts. */
  3: i64 incarnation
  /** Increases with each report of an incarnation. */
  4: i64 sequence
  5: i32 freeSlots
  6: i32 running
  /** -1 while the weight version is unknown. */
  7: i64 version
  8: bool isDraining
  9: i64 settingsRevision
  /** Bytes of finished samples in the agent's sample cache. */
  10: i64 heldBytes
  /** A swap of the engine's weights is in progress. */
  11: bool isSwapping
  12: bool isServerUp
  13: string region
  14: string failureDomain
}

struct Header { 1: string name  2: string value }

/**
 * Used by two message types. Call: a caller's call, which an agent runs on its
 * backend server. Forward: a caller's request about a job, which one entry passes
 * on to the entry that coordinates the job; only method, target and body are set.
 */
struct CallRequest {
  1: string requestId
  2: string pool
  3: string method
  /** Path and query of the HTTP request. */
  4: string target
  5: list<Header> headers
  6: binary body
  7: bool isIdempotent
  8: string idempotencyKey
  9: i32 priority
  /** Hash of method, target and body; the same key with another hash is a conflict. */
  10: i64 fingerprint
  /** Wall time in ms at which the caller created its key; 0 if it did not say. */
  11: i64 keyCreatedMs
}

/** Done: status, headers and body are set; otherwise errorCode, retryAfterMs and detail. */
struct CallAnswer {
  1: Outcome outcome
  2: i32 status
  3: list<Header> headers
  4: binary body
  5: string errorCode
  /** 0 for no hint; the entry then sends its default to the caller. */
  6: i32 retryAfterMs
  7: string detail
}

/** Tokens [firstToken, endToken) of a sample, generated with one weight version. */
struct Segment { 1: i32 firstToken  2: i32 endToken  3: i64 version }

/** A finished sample; include/endiveroad/Sample.h describes the fields. */
struct Sample {
  1: string job
  2: i64 step
  3: i32 index
  4: i64 stepDigest
  5: binary text
  6: i32 tokens
  7: list<Segment> segments
  8: string agent
  9: string finishReason
}

/**
 * Asks an agent for one sample. The agent answers from its sample cache if it
 * holds the sample, and joins a generation of it that runs already.
 */
struct GenerateRequest {
  1: string requestId
  2: string job
  3: i64 step
  4: i32 index
  /** Hash of the step's content; tells apart steps with the same number. */
  5: i64 stepDigest
  6: binary prompt
  7: i32 maxTokens
  8: i32 priority
  /** Oldest weight version that may have generated a token of the sample. */
  9: i64 oldestVersion
  /**
   * The job's objective, by which the agent decides on restarts after a swap.
   * idleWeight: 0 counts only staleness, 1 only the trainer's idle time.
   */
  10: i64 stalenessBound
  11: double idleWeight
}

/** The sample is set if the outcome is Done. */
struct GenerateAnswer {
  1: Outcome outcome
  2: optional Sample sample
  3: string errorCode
  4: i32 retryAfterMs
}

/**
 * Asks an agent for the finished samples of a step in its cache, without those
 * in receivedBits, in which index i is bit i % 8 of byte i / 8.
 */
struct HeldRequest { 1: string job  2: i64 step  3: i64 stepDigest  4: binary receivedBits }
/** Running lists the indices of the step's samples that the agent is generating. */
struct HeldAnswer { 1: list<Sample> samples  2: list<i32> running }

/** Tells an agent which samples of a step the trainer has received; the agent evicts these first. */
struct ReleaseNotice { 1: string job  2: i64 step  3: i64 stepDigest  4: binary receivedBits }

/** The sender no longer waits for this GenerateRequest. */
struct CancelNotice { 1: string requestId }

/**
 * Tells an agent to load weights into its engine. Has no effect if the agent
 * knows a higher order, if its engine runs these weights already, or if it
 * isn't ready to swap (VersionTracker::beginSwap()). Model holds the name of the
 * pool; the agent does not read it.
 */
struct LoadRequest { 1: string model  2: i64 version  3: string weights  4: i64 order }
/**
 * Done if the engine then runs the ordered version, otherwise Unknown. Version is
 * the one that it runs, or -1 while unknown. errorCode is not set.
 */
struct LoadAnswer { 1: Outcome outcome  2: i64 version  3: string errorCode }

/** A process tells a peer which settings it has in force. */
struct SettingsOffer {
  /** 0 for none. */
  1: i64 revision
  /** The sender's last attempt to reach the key-value service failed. */
  2: bool isStoreAway
  /** Time for which the sender has had the revision in force. */
  3: i64 inForceMs
}

/** Asks a peer for the changes since a revision; 0 asks for all parts. */
struct SettingsRequest { 1: i64 knownRevision }

struct SettingsPart { 1: string name  2: string key  3: binary text }

/**
 * Changes from one settings document, the base, to a later one. If
 * baseRevision is 0, it holds all parts. Field number 2 is retired; it
 * held a whole document.
 */
struct SettingsAnswer {
  1: i64 revision
  /** Time for which the sender has had the revision in force. */
  3: i64 inForceMs
  4: i64 baseRevision
  5: string writeId
  /** Hash of the later document, against which the receiver checks its result. */
  6: i64 digest
  /** New and changed parts. */
  7: list<SettingsPart> parts
  /** Names of the parts that only the base has. */
  8: list<string> removed
}

/**
 * Newest weights that a trainer announced for a pool, sent between entries.
 * Model holds the name of the pool. Order is the announcement's sequence number;
 * the highest is the newest.
 */
struct PolicyNotice { 1: string model  2: i64 version  3: string weights  4: i64 order }

/** Asks the receiver to drain and then end. It answers with its status and does not read the fields. */
struct DrainRequest { 1: string node  2: i64 withinMs }
/** An operator's query for status or timeline; the argument is a JSON text (src/io/Survey.h). */
struct TextRequest { 1: string argument }
struct TextAnswer { 1: binary json }

// The following messages are those of the processes on a hosted platform
// (src/io/hosted).

/** Software that a backend server of a pool runs; version is empty if it is not known. */
struct SoftwareVersion { 1: string pool  2: string version }

/** State of one key of the platform's store; a removed key has the revision of its removal. */
struct Document { 1: string key  2: i64 revision  3: binary value  4: bool isRemoved }

/**
 * Documents that changed at the sender. A coordinator that has just read the
 * store itself sets isFresh; the receiver passes that on to its ReaderElection.
 */
struct DirectoryUpdate { 1: list<Document> documents  2: bool isFresh }

/** A request to the platform's store that the receiver forwards for a sender that cannot reach the store. */
struct StoreCall {
  1: string method
  2: string target
  3: binary body
  /** Long poll: the store may delay its answer until something changes. */
  4: bool mayWait
}
struct StoreAnswer { 1: i32 status  2: binary body }

enum BatchOperation { Submit = 1, Read = 2, ReadItem = 3, Cancel = 4 }

/** An operation on a batch job, sent to a coordinator. */
struct BatchCall {
  1: BatchOperation operation
  2: string job
  /** Host header of the caller's request. */
  3: string host
  /** For Submit. */
  4: string route
  /** For Submit. */
  5: binary body
  /** For Read: position of the first result to return. */
  6: i64 firstPosition
  /** For ReadItem. */
  7: string item
  /** For Read: longest time to wait for a result at firstPosition. */
  8: i32 waitMs
  /** Coordinators that the sender could not reach. */
  9: list<string> unreachable
  /** Organisation of the caller's API key; empty if the configuration declares no organisations. */
  10: string organisation
}

struct BatchAnswer {
  1: i32 status
  2: binary body
  /** Set if another coordinator owns the job; the sender then repeats the call there. */
  3: string owner
  4: i32 retryAfterMs
  /** Revision of the record that names the owner; 0 if it is not known. */
  5: i64 ownerRevision
  /** The answer comes from the memory of a coordinator that can't tell whether it still owns the job. It holds only if no other coordinator knows better. */
  6: bool isUnconfirmed
  /** What is wrong with the call; set for a malformed one only. */
  7: optional string detail
}

/** One event of an item's result stream, with the weight version that generated it. */
struct GeneratedEvent { 1: i64 id  2: binary data  3: i64 version }

/** Starts a run of an item on an agent's replica. */
struct ItemStart {
  1: string job
  /** Revision of the owner record under which the sender acts; the agent refuses one lower than it knows. */
  2: i64 revision
  3: string item
  /** Number of this run; all runs of a job have different numbers, also under different owners. */
  4: i64 run
  5: string host
  6: string path
  7: list<Header> headers
  8: binary body
  /** Events of earlier runs; this run continues after the last of them. */
  9: list<GeneratedEvent> events
  /** The agent refuses the run if its replica has older weights than this. */
  10: i64 oldestVersion
  11: string model
  /** Number of the item's runs that stalled; see StallLimit.h. */
  12: i32 stalls
  /** Software that wrote the events; the agent refuses the run if its replica runs another. */
  13: SoftwareVersion software
  /** Organisation that the job belongs to; empty if none. */
  14: string organisation
  /** Priority of the organisation towards the replica; not set if it has none. */
  15: optional i32 priority
}
/** Revision is the highest that the agent knows for the job's owner record. Reason is empty if the run is accepted. */
struct ItemStartAnswer {
  1: bool isAccepted
  2: string reason
  3: i64 revision
  4: bool isJobEnded
  /** The item cannot be written as a request, so no agent can run it. */
  5: optional bool isUnsendable
}

enum RunState { Running = 1, Completed = 2, Failed = 3, NotRun = 4 }

/** New events and the state of one run. */
struct ItemProgress {
  1: string job
  2: string item
  3: i64 run
  4: RunState state
  /** HTTP status of the replica if it refused or failed the item; 0 if it gave none. */
  5: i32 status
  6: list<GeneratedEvent> events
  /** Number of the item's events before these. */
  7: i32 firstEvent
  /** The agent has cancelled the run because it delivered nothing for too long. */
  8: bool isStalled
  /** Software that wrote the item's events, those before these included. */
  9: SoftwareVersion software
}
struct ItemProgressNotice { 1: list<ItemProgress> items }

/**
 * Ends the run of an item, or all runs of the job if item is empty, except runs
 * that belong to a higher revision of the owner record. If isJobEnded is set,
 * the agent also refuses later starts of the job's items.
 */
struct ItemCancelNotice { 1: string job  2: i64 revision  3: string item  4: bool isJobEnded }

/**
 * The sending coordinator owns the job from now on; sent to agents and to other
 * coordinators. Agents answer with the state and all events of the job's runs,
 * and send it their further progress.
 */
struct JobOwnerNotice {
  1: string job
  /** Revision of the owner record; agents ignore a notice with one lower than they know. */
  2: i64 revision
  3: string owner
  4: string model
  /** Output tokens per second that the model's jobs need, as the owner estimates; 0 if unknown, which the receiver ignores. */
  5: double tokensPerSecond
}

struct ModelVersion { 1: string model  2: i64 version }

/** State of an agent and its replica, sent to the coordinators. */
struct ReplicaReport {
  1: string agent
  2: string pool
  /** Id under which the replica is registered; empty if it is not ready. */
  3: string server
  4: bool isUp
  5: i32 running
  6: i32 slots
  7: list<ModelVersion> models
  /** Empty if no load is in progress. */
  8: string loadingModel
  9: string failureDomain
  /** Mean time between events of the replica's runs, in ms; 0 while unknown. */
  10: double eventMs
}

/** Asks an agent to have its replica load at least this version of the model's weights. */
struct LoadModelNotice { 1: string model  2: i64 version }

/** CrashTrial.h; phase is the number of a CrashTrial::Phase. */
struct CrashTrial {
  1: i64 round
  2: i64 ticket
  3: i32 phase
  4: string server
  /** Time until it is due, in ms; since it was sent if negative. */
  5: i64 sendInMs
  /** Time until it counts as ended, in ms; 0 if it has. */
  6: i64 leftMs
}
struct FailedTrial { 1: string serverStart  2: bool isLate }

/** What the sender knows of a content under which servers ended; see CrashRecord in CrashRegister.h. */
struct CrashRecord {
  /** Halves of the content id. */
  1: i64 contentHigh
  2: i64 contentLow
  3: i64 generation
  4: list<string> crashedServers
  /** Time until the end of the block, in ms; 0 if the content is not blocked. */
  5: i64 blockedForMs
  /** Whether jobs owe the content (ContentKind in CrashRegister.h). */
  6: bool isOwed
  7: list<FailedTrial> failedTrials
  8: CrashTrial trial
  /** Time since a process first knew of enough ends to hold the content back, in ms; negative if none has. */
  9: i64 heldForMs
}
struct CrashNotice { 1: list<CrashRecord> records }

/**
 * A server that said in an answer that it is leaving, or whose place another one has taken, and which of its starts
 * (ServerRecord::startedMs).
 */
struct LeavingServer { 1: string id  2: i64 startedMs  3: bool isReplaced }
struct LeavingNotice { 1: list<LeavingServer> servers }

/** Runs of items that failed (FailedRuns.h). */
struct ItemFailure { 1: string item  2: i64 run  3: bool isUnprocessable }
struct ItemFailureNotice { 1: list<ItemFailure> failures }

/** A request limit that a server named (LimitedServers.h); limit is negative if the server names none any more. */
struct ServerLimit {
  1: string server
  2: i64 startedMs
  3: double limit
  4: i64 issuer
  5: i64 sequence
}
struct LimitNotice { 1: list<ServerLimit> limits }

/** Asks the process that issues the permits for a server. isForwarded: by a coordinator on behalf of the process. */
struct PermitRequest {
  1: ServerLimit known
  2: string process
  3: i32 priority
  4: i32 count
  5: bool isForwarded
}
/** count is 0 if no permit can be issued in time; retryInMs then tells when one could have been. */
struct PermitAnswer {
  1: ServerLimit limit
  2: i32 count
  3: i64 retryInMs
  4: i64 intervalMs
}

/** Streams that the same software began. */
struct StreamOriginGroup {
  1: SoftwareVersion software
  /** Keys of the streams, 16 bytes each (StreamKey), without separators. */
  2: binary keys
  /** Time for which each stream is worth knowing, in ms, in the order of the keys. */
  3: list<i32> lifetimesMs
}

/** Streams that an entry began, for those who keep them for other entries (StreamOrigins.h). No entry: the sender. */
struct StreamOriginNotice { 1: string entry  2: list<StreamOriginGroup> groups }

/** Asks a coordinator what began a stream. */
struct StreamOriginQuery { 1: binary key }
struct StreamOriginAnswer { 1: bool isKnown  2: SoftwareVersion software }

/**
 * What a coordinator answers when another one, whose VM is being retired,
 * asks whether it could take the work over. The question has no content.
 */
struct SuccessionAnswer {
  /** It works, and can do so without the one that asks. */
  1: bool isServing
  /** Its own VM is being retired as well. */
  2: bool isRetiring
  /** Number of entries and agents that are connected to it. */
  3: i32 entries
  4: i32 agents
}

struct OrganisationUsage { 1: string organisation  2: i64 requests }

/** Requests that backend servers began to run in one window, as one entry has counted them so far. */
struct UsageWindow {
  1: i64 window
  2: list<OrganisationUsage> counts
}

/** Cumulative counts of an entry; a later notice replaces an earlier one window by window. */
struct UsageNotice {
  1: string entry
  /** Increases each time the entry's process starts. */
  2: i64 incarnation
  3: list<UsageWindow> windows
}

/** The sender holds the duties towards the platform. */
struct DutyHolderNotice {
  1: string holder
  2: i64 fencingToken
  /** All windows up to this one have a report that can no longer change. */
  3: i64 reportedWindow
  /** Time for which the sender holds the duties at least, in ms. */
  4: i64 validForMs
}
