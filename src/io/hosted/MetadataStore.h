#pragma once

#include "io/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <endiveroad/DocumentSet.h>
#include <endiveroad/Time.h>
#include <optional>
#include <string>
#include <vector>

/// Interface to the platform's metadata store: keys with revisions, conditional transactions, leases and watches.
namespace endiveroad::io {

namespace asio = boost::asio;

/// Sends HTTP requests to the store. Throws StoreUnavailableError if the store certainly has not carried the request
/// out, OutcomeUnknownError if it may have. DirectStoreTransport returns rejections (status 429 or 503) as answers;
/// RelayedStoreTransport throws if its other attempts bring no answer either.
class StoreTransport {
public:
    virtual ~StoreTransport() = default;
    /// With mayWait the store may delay its answer until a watched key changes.
    virtual asio::awaitable<HttpResponse> send(HttpRequest, Instant deadline, bool mayWait) = 0;
};

/// All keys with a prefix.
struct StoreListing {
    std::vector<Document> documents;
    /// Revision of the store when the listing began; documents may be newer.
    int64_t asOf = 0;
};

/// Changes of the keys with a prefix.
struct StoreChanges {
    std::vector<Document> documents;
    /// Revision up to which the changes are complete.
    int64_t asOf = 0;
};

struct StorePut {
    std::string key;
    std::string value;
    /// Lease with whose end the store removes the key; 0 for none.
    int64_t lease = 0;
};

struct StoreCondition {
    std::string key;
    /// Revision of the key's last change; 0 if the key must not exist.
    int64_t revision = 0;
};

/// Puts and removals that take effect together, and only if all conditions hold.
struct StoreTransaction {
    std::vector<StoreCondition> conditions;
    std::vector<StorePut> puts;
    std::vector<std::string> removals;
};

struct CommitResult {
    bool isCommitted = false;
    /// Revision of the changes, if they were committed.
    int64_t revision = 0;
    /// Current states of the conditions' keys, if not.
    std::vector<Document> present;
};

/// All calls throw StoreUnavailableError if the store has changed nothing and will not, OutcomeUnknownError if a change
/// may have taken effect or may still do so.
class MetadataStore {
public:
    virtual ~MetadataStore() = default;

    /// Returns nothing if the key does not exist.
    virtual asio::awaitable<std::optional<Document>> read(std::string key, Instant deadline) = 0;

    /// With isStaleAllowed the store may answer with data that is seconds old, which costs it less.
    virtual asio::awaitable<StoreListing> list(std::string prefix, bool isStaleAllowed, Instant deadline) = 0;

    /// Waits for changes of the keys with a prefix after a revision. Returns as soon as there are any, or with none
    /// after the wait. Throws HistoryLostError if the store no longer has all of them.
    virtual asio::awaitable<StoreChanges> watch(
        std::string prefix, int64_t afterRevision, std::chrono::milliseconds wait, Instant deadline)
        = 0;

    /// Applies the transaction if all its conditions hold, else changes nothing.
    virtual asio::awaitable<CommitResult> commit(StoreTransaction, Instant deadline) = 0;

    /// Returns the id of a new lease.
    virtual asio::awaitable<int64_t> grantLease(std::chrono::milliseconds lifetime, Instant deadline) = 0;

    /// Returns false if the lease has ended.
    virtual asio::awaitable<bool> renewLease(int64_t lease, Instant deadline) = 0;

    /// Ends a lease at once; the store removes its keys.
    virtual asio::awaitable<void> endLease(int64_t lease, Instant deadline) = 0;
};

} // namespace endiveroad::io
