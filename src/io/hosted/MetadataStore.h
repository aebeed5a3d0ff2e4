#pragma once

#include "io/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <endiveroad/DocumentSet.h>
#include <endiveroad/Time.h>
#include <optional>
#include <string>
#include <vector>

/// The platform's store as the system uses it: keys with revisions, conditional transactions, leases and watches.
namespace endiveroad::io {

namespace asio = boost::asio;

/// Carries a call to the store. Throws StoreUnavailableError if the call surely has not been carried out,
/// OutcomeUnknownError if it may have been.
class StoreTransport {
public:
    virtual ~StoreTransport() = default;
    /// With mayWait the store may hold its answer back until something changes.
    virtual asio::awaitable<HttpResponse> send(HttpRequest, Instant deadline, bool mayWait) = 0;
};

/// All keys of a prefix.
struct StoreListing {
    std::vector<Document> documents;
    /// Revision of the store before the listing was begun.
    int64_t asOf = 0;
};

struct StoreChanges {
    std::vector<Document> documents;
    int64_t asOf = 0;
};

struct StorePut {
    std::string key;
    std::string value;
    /// Lease with which the key ends; 0 for none.
    int64_t lease = 0;
};

struct StoreCondition {
    std::string key;
    /// Revision of the key's last change; 0 if the key must not exist.
    int64_t revision = 0;
};

struct StoreTransaction {
    std::vector<StoreCondition> conditions;
    std::vector<StorePut> puts;
    std::vector<std::string> removals;
};

struct CommitResult {
    bool isCommitted = false;
    /// Revision of the changes if committed.
    int64_t revision = 0;
    /// Present states of the keys of the conditions if not.
    std::vector<Document> present;
};

/// All calls throw StoreUnavailableError if nothing was done, OutcomeUnknownError if a change may have taken effect or
/// may still do so.
class MetadataStore {
public:
    virtual ~MetadataStore() = default;

    virtual asio::awaitable<std::optional<Document>> read(std::string key, Instant deadline) = 0;

    /// With isStaleAllowed the answer may be seconds old and costs less.
    virtual asio::awaitable<StoreListing> list(std::string prefix, bool isStaleAllowed, Instant deadline) = 0;

    /// Changes of a prefix after a revision, as soon as there is one, or none after the wait. Throws HistoryLostError
    /// if the store no longer has them all.
    virtual asio::awaitable<StoreChanges> watch(
        std::string prefix, int64_t afterRevision, std::chrono::milliseconds wait, Instant deadline)
        = 0;

    virtual asio::awaitable<CommitResult> commit(StoreTransaction, Instant deadline) = 0;

    /// Returns the id of a new lease.
    virtual asio::awaitable<int64_t> grantLease(std::chrono::milliseconds lifetime, Instant deadline) = 0;

    /// Returns false if the lease has ended.
    virtual asio::awaitable<bool> renewLease(int64_t lease, Instant deadline) = 0;

    virtual asio::awaitable<void> endLease(int64_t lease, Instant deadline) = 0;
};

} // namespace endiveroad::io
