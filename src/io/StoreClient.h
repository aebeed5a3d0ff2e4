#pragma once

#include "io/HttpClient.h"

#include <optional>

/// Client of the platform's key-value service.
namespace endiveroad::io {

/// A value and the service's revision at its last modification.
struct StoredValue {
    std::string value;
    int64_t modRevision = 0;

    auto operator<=>(const StoredValue&) const = default;
};

/// Interface to a key-value service with compare-and-swap and watches. Calls throw StoreUnavailableError when
/// the service gives no usable answer; a write may then have taken effect.
class StoreClient {
public:
    virtual ~StoreClient() = default;

    virtual asio::awaitable<std::optional<StoredValue>> read(std::string key, Instant deadline) = 0;

    /// Writes the value if the key was last modified at expectedRevision (0: if the key does not exist). Returns
    /// whether it was written.
    virtual asio::awaitable<bool> compareAndSwap(
        std::string key, int64_t expectedRevision, std::string value, Instant deadline)
        = 0;

    /// Removes a key; has no effect if the key does not exist.
    virtual asio::awaitable<void> remove(std::string key, Instant deadline) = 0;

    /// Called for each change of a watched key. Returns false to end the watch.
    using OnChange = std::function<bool(StoredValue)>;

    /// Calls onChange for every change of the key after the given revision. Returns when onChange returns false or
    /// the service ends the stream; throws StoreUnavailableError when the connection breaks, the deadline passes or a
    /// message cannot be read.
    virtual asio::awaitable<void> watch(std::string key, int64_t afterRevision, Instant deadline, OnChange onChange)
        = 0;
};

/// Client of etcd v3 through its JSON gateway (/v3/kv/range, /v3/kv/txn, /v3/kv/deleterange, /v3/watch).
class EtcdStoreClient : public StoreClient {
public:
    EtcdStoreClient(HttpClient&, Address);

    asio::awaitable<std::optional<StoredValue>> read(std::string key, Instant deadline) override;
    asio::awaitable<bool> compareAndSwap(
        std::string key, int64_t expectedRevision, std::string value, Instant deadline) override;
    asio::awaitable<void> remove(std::string key, Instant deadline) override;
    asio::awaitable<void> watch(std::string key, int64_t afterRevision, Instant deadline, OnChange onChange) override;

private:
    asio::awaitable<std::string> post(std::string target, std::string body, Instant deadline);

    HttpClient& http_;
    Address address_;
};

} // namespace endiveroad::io
