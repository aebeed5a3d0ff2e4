#pragma once

#include "io/Signal.h"
#include "io/hosted/CrashGuard.h"
#include "io/hosted/MetadataStore.h"

#include <endiveroad/CrashRegister.h>
#include <functional>
#include <map>

/// Keeps the records of blocked contents in the platform's store, so that they outlast a loss of all processes.
namespace endiveroad::io {

/// Text form of a record in the store. The end of the block is wall time.
std::string encodeCrashRecord(const CrashRecord&);

/// Throws FrameInvalidError.
CrashRecord decodeCrashRecord(const std::string& text);

class CrashStore {
public:
    static constexpr const char* keyPrefix = "endiveroad/crashes/";

    static constexpr Duration callTimeout = std::chrono::milliseconds(1500);
    static constexpr Duration retryPause = std::chrono::milliseconds(400);

    /// The store removes a record this long after the lease under which it was written was granted.
    static constexpr std::chrono::milliseconds leaseLifetime { 600'000 };

    /// A lease older than this is replaced before the next write.
    static constexpr Duration leaseReuseTime = std::chrono::minutes(5);

    /// One coordinator writes for all.
    using IsWriter = std::function<bool()>;

    CrashStore(asio::io_context&, MetadataStore&, CrashGuard&, IsWriter);

    /// Passes the stored records to the guard, then writes changed ones; never returns.
    asio::awaitable<void> run();

    /// A record has changed, here or in another process.
    void onRecord(const CrashRecord&);

private:
    asio::awaitable<void> restore();
    asio::awaitable<void> write();
    asio::awaitable<int64_t> lease();

    MetadataStore& store_;
    CrashGuard& guard_;
    IsWriter isWriter_;
    Signal changed_;
    /// Changed records that have not been written.
    std::map<ContentId, CrashRecord> unwritten_;
    int64_t lease_ = 0;
    Instant leaseReusableUntil_ = Instant::min();
};

} // namespace endiveroad::io
