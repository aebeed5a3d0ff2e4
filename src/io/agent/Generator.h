#pragma once

#include "io/CrashGuard.h"
#include "io/EngineClient.h"
#include "io/Signal.h"

#include <endiveroad/SampleProgress.h>
#include <endiveroad/VersionTracker.h>
#include <endiveroad_types.h>
#include <memory>
#include <set>

namespace endiveroad::io {

/// Cancels a generation from another coroutine when nobody waits for it any more.
struct GenerationHandle {
    bool isCancelled = false;
    /// The open stream of the generation, or null.
    HttpCancellation* stream = nullptr;

    void cancel();
};

/// Generates samples on the agent's engine and swaps the engine's weights. Keeps only tokens whose weight version is
/// confirmed: a status requested after them shows that the engine has loaded no weights since the stream was opened
/// (VersionTracker). A swap first cancels all open streams and confirms their tokens by one status request.
class Generator {
public:
    static constexpr Duration statusInterval = std::chrono::milliseconds(200);
    static constexpr Duration statusTimeout = std::chrono::milliseconds(1000);
    static constexpr Duration loadTimeout = std::chrono::seconds(20);
    /// Delay before the next stream if no token of the last one was kept and no swap had cancelled it.
    static constexpr Duration emptyStreamDelay = std::chrono::milliseconds(20);
    /// Longest time that a sample waits for a known weight version. After it the request is refused as not run, so that
    /// the entry can send the sample to another engine while a load hangs here.
    static constexpr Duration maxVersionWait = std::chrono::seconds(1);

    Generator(asio::io_context&, EngineClient&, VersionTracker&, CrashGuard&, Address engineAddress,
        std::string agentName, std::string model);

    /// Generates a sample. After a swap or an engine failure it continues the sample or starts it again. Throws
    /// NotRunError if the deadline passes, if the generation is cancelled, or if the engine's version stays unknown for
    /// maxVersionWait or is older than the request allows, or if engines have ended under the prompt. NotRunError means
    /// here that no sample was kept, so that it may be generated again.
    asio::awaitable<Sample> generate(wire::GenerateRequest, Instant deadline, std::shared_ptr<GenerationHandle>);

    /// Orders the engine to load weights, unless it runs them already or VersionTracker::beginSwap() rejects the order.
    /// Returns whether the engine's status then shows the version.
    asio::awaitable<bool> load(WeightVersion, std::string weights, int64_t order);

    /// Requests the engine's status at regular intervals, forever, except during a swap. Passes to onState whether the
    /// engine answered.
    asio::awaitable<void> watchEngine(std::function<void(bool isUp)> onState);

private:
    /// A stream whose tokens have no confirmed weight version yet.
    struct OpenStream {
        HttpCancellation cancellation;
        uint64_t epoch = 0;
        /// Set by the status that a swap requests after it has cancelled the stream: whether the epoch lasted until
        /// then.
        std::optional<bool> isConfirmed;
        /// The engine has sent a token.
        bool isAnswered = false;
        /// The engine broke the stream off after it had been sent.
        bool isBrokenOff = false;
    };

    /// Opens one stream, reads it to its end and keeps its tokens if they are confirmed.
    asio::awaitable<void> runStream(const wire::GenerateRequest&, SampleProgress&, Instant deadline, GenerationHandle&);
    asio::awaitable<void> readStream(const wire::GenerateRequest&, SampleProgress&, Instant deadline, OpenStream&,
        GenerationHandle&, const ServerAttempt&);
    /// The attempt at the engine with the sample's prompt.
    ServerAttempt attemptOf(const wire::GenerateRequest&) const;
    /// Returns whether a status requested after the last token of the ended stream confirms the tokens' version.
    asio::awaitable<bool> confirmTokens(SampleProgress&, OpenStream&);
    /// Passes the engine's status to the tracker. Returns whether the engine answered.
    asio::awaitable<bool> refreshStatus();
    /// Waits until the weight version is known, at most maxVersionWait. Returns whether it is minVersion or higher.
    asio::awaitable<bool> waitForVersion(WeightVersion minVersion, Instant deadline);
    /// Cancels all open streams and sets their isConfirmed by one status request.
    asio::awaitable<void> confirmOpenStreams();

    EngineClient& engine_;
    VersionTracker& tracker_;
    CrashGuard& crashGuard_;
    Address engineAddress_;
    std::string agentName_;
    std::string model_;
    std::set<OpenStream*> streams_;
    /// Notified after each status request and each load order; waiters then check the tracker and their stream again.
    Signal changed_;
};

} // namespace endiveroad::io
