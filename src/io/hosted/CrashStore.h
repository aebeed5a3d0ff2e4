#pragma once

#include "io/CrashGuard.h"
#include "io/Signal.h"
#include "io/hosted/MetadataStore.h"

#include <endiveroad/CrashRegister.h>
#include <functional>
#include <set>
#include <string>

/// Keeps records of crashes in the platform's store, so that they outlast a loss of all processes and reach processes
/// that are cut off from the coordinators.
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

    /// Interval at which an isolated process reads the records.
    static constexpr Duration isolatedInterval = std::chrono::seconds(1);

    /// Part of this process in the exchange of records. Reader: it learns them from peers. Writer: it writes blocked
    /// contents for all. Isolated: it has no connection to a coordinator, so it reads and writes all records itself.
    enum class Part { Reader, Writer, Isolated };
    using PartSource = std::function<Part()>;

    /// With shouldRestore the stored records are read once at the start.
    CrashStore(asio::io_context&, MetadataStore&, CrashGuard&, PartSource, bool shouldRestore);

    /// Passes stored records to the guard and writes changed ones; never returns.
    asio::awaitable<void> run();

    /// A record has changed, here or in another process.
    void onRecord(const ContentId&);

private:
    /// One turn of run().
    asio::awaitable<void> exchange();
    asio::awaitable<void> restore();
    asio::awaitable<void> write();
    /// Drops contents whose records this process does not have to write.
    void dropUnneeded(Part);
    asio::awaitable<int64_t> lease();

    MetadataStore& store_;
    CrashGuard& guard_;
    PartSource part_;
    bool shouldRestore_;
    Signal changed_;
    /// Contents whose records have changed since they were written.
    std::set<ContentId> unwritten_;
    int64_t lease_ = 0;
    Instant leaseReusableUntil_ = Instant::min();
};

} // namespace endiveroad::io
