/**
 * Messages between endiveroad processes. Only structs are used: framing,
 * correlation and deadlines belong to the frame header (src/io/Frame.h).
 * Fields are never renumbered; an unknown field is skipped by the reader.
 */
namespace cpp endiveroad.wire

enum Outcome { Done = 1, NotRun = 2, Unknown = 3 }

struct Hello {
  1: string node
  2: string role
  3: i64 incarnation
  4: i64 settingsRevision
  5: string organisation
}

struct AgentReport {
  1: string agent
  2: string pool
  3: i64 incarnation
  4: i64 sequence
  5: i32 freeSlots
  6: i32 running
  /** -1 while the weight version is unknown. */
  7: i64 version
  8: bool isDraining
  9: i64 settingsRevision
  10: i64 heldBytes
  11: bool isSwapping
  12: bool isServerUp
  13: string region
  14: string failureDomain
}

struct Header { 1: string name  2: string value }

struct CallRequest {
  1: string requestId
  2: string pool
  3: string method
  4: string target
  5: list<Header> headers
  6: binary body
  7: bool isIdempotent
  8: string idempotencyKey
  9: i32 priority
  10: i64 fingerprint
  /** Wall time in ms at which the caller made its key; 0 when not stated. */
  11: i64 keyCreatedMs
}

struct CallAnswer {
  1: Outcome outcome
  2: i32 status
  3: list<Header> headers
  4: binary body
  5: string errorCode
  6: i32 retryAfterMs
  7: string detail
}

struct Segment { 1: i32 firstToken  2: i32 endToken  3: i64 version }

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

struct GenerateRequest {
  1: string requestId
  2: string job
  3: i64 step
  4: i32 index
  5: i64 stepDigest
  6: binary prompt
  7: i32 maxTokens
  8: i32 priority
  9: i64 oldestVersion
  10: i64 stalenessBound
  11: double idleWeight
}

struct GenerateAnswer {
  1: Outcome outcome
  2: optional Sample sample
  3: string errorCode
  4: i32 retryAfterMs
}

/** Asks an agent for the finished samples it holds of a step. */
struct HeldRequest { 1: string job  2: i64 step  3: i64 stepDigest  4: binary receivedBits }
struct HeldAnswer { 1: list<Sample> samples  2: list<i32> running }

/** Tells an agent which samples the trainer has received. */
struct ReleaseNotice { 1: string job  2: i64 step  3: i64 stepDigest  4: binary receivedBits }

struct CancelNotice { 1: string requestId }

struct LoadRequest { 1: string model  2: i64 version  3: string weights  4: i64 order }
struct LoadAnswer { 1: Outcome outcome  2: i64 version  3: string errorCode }

/** What a process tells of its settings; 0 for no revision in force. */
struct SettingsOffer {
  1: i64 revision
  /** The sender gets no answer from the key-value service. */
  2: bool isStoreAway
  /** Time for which the sender has had the revision in force. */
  3: i64 inForceMs
}

/** Asks for what changed since a revision; 0 asks for all parts. */
struct SettingsRequest { 1: i64 knownRevision }

struct SettingsPart { 1: string name  2: string key  3: binary text }

/** Field 2 was a whole document. */
struct SettingsAnswer {
  1: i64 revision
  /** Time for which the sender has had the revision in force. */
  3: i64 inForceMs
  4: i64 baseRevision
  5: string writeId
  6: i64 digest
  7: list<SettingsPart> parts
  8: list<string> removed
}

/** Newest weights that a trainer announced for a model. */
struct PolicyNotice { 1: string model  2: i64 version  3: string weights  4: i64 order }

struct DrainRequest { 1: string node  2: i64 withinMs }
struct TextRequest { 1: string argument }
struct TextAnswer { 1: binary json }

/** State of one key of the platform's store; a removed key keeps the revision of its removal. */
struct Document { 1: string key  2: i64 revision  3: binary value  4: bool isRemoved }

/** Documents that changed at the sender. A sender that reads the store itself says so with isFresh. */
struct DirectoryUpdate { 1: list<Document> documents  2: bool isFresh }

/** A call to the platform's store, made by the receiver for a sender that cannot reach the store. */
struct StoreCall {
  1: string method
  2: string target
  3: binary body
  /** The store may hold its answer back until something changes. */
  4: bool mayWait
}
struct StoreAnswer { 1: i32 status  2: binary body }

enum BatchOperation { Submit = 1, Read = 2, ReadItem = 3, Cancel = 4 }

struct BatchCall {
  1: BatchOperation operation
  2: string job
  3: string host
  4: string route
  5: binary body
  6: i64 firstPosition
  7: string item
  8: i32 waitMs
  /** Coordinators that the sender could not reach. */
  9: list<string> unreachable
}

struct BatchAnswer {
  1: i32 status
  2: binary body
  /** Set if another coordinator owns the job: the sender asks that one. */
  3: string owner
  4: i32 retryAfterMs
}

struct GeneratedEvent { 1: i64 id  2: binary data  3: i64 version }

/** Starts an item on an agent's replica. Revision is that of the owner record under which the sender acts. */
struct ItemStart {
  1: string job
  2: i64 revision
  3: string item
  4: i64 run
  5: string host
  6: string path
  7: list<Header> headers
  8: binary body
  /** Events of earlier runs, behind the last of which this run goes on. */
  9: list<GeneratedEvent> events
  10: i64 oldestVersion
  11: string model
}
/** Revision is the highest known for the owner of the job; isJobEnded says that the job has ended. */
struct ItemStartAnswer { 1: bool isAccepted  2: string reason  3: i64 revision  4: bool isJobEnded }

enum RunState { Running = 1, Completed = 2, Failed = 3, NotRun = 4 }

struct ItemProgress {
  1: string job
  2: string item
  3: i64 run
  4: RunState state
  /** HTTP status of the replica if it refused or failed the item; 0 if it gave none. */
  5: i32 status
  6: list<GeneratedEvent> events
  /** Events of the item that go before these. */
  7: i32 firstEvent
}
struct ItemProgressNotice { 1: list<ItemProgress> items }

/** Ends the runs of an item, or of the whole job if item is empty. */
struct ItemCancelNotice { 1: string job  2: i64 revision  3: string item  4: bool isJobEnded }

/** A coordinator owns the job from now on; agents send it all progress of the job's runs. */
struct JobOwnerNotice {
  1: string job
  2: i64 revision
  3: string owner
  4: string model
  /** What the model's jobs ask for, as far as the owner knows; 0 if nothing. */
  5: double tokensPerSecond
}

struct ModelVersion { 1: string model  2: i64 version }

struct ReplicaReport {
  1: string agent
  2: string pool
  3: string server
  4: bool isUp
  5: i32 running
  6: i32 slots
  7: list<ModelVersion> models
  8: string loadingModel
  9: string failureDomain
  /** Mean time between events of the present runs, in ms; 0 while unknown. */
  10: double eventMs
}

struct LoadModelNotice { 1: string model  2: i64 version }
