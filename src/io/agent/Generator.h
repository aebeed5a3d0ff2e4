#pragma once

#include "io/EngineClient.h"
#include "io/Signal.h"

#include <endiveroad/SampleProgress.h>
#include <endiveroad/VersionTracker.h>
#include <endiveroad_types.h>
#include <memory>
#include <set>

/// Makes samples on the engine beside the agent, swaps its weights, and keeps every token's version true.
namespace endiveroad::io {

/// Lets others end a generation that nobody waits for any more.
struct GenerationHandle {
    bool isCancelled = false;
    HttpCancellation* stream = nullptr;

    void cancel();
};

class Generator {
public:
    static constexpr Duration statusInterval = std::chrono::milliseconds(200);
    static constexpr Duration statusTimeout = std::chrono::milliseconds(1000);
    static constexpr Duration loadTimeout = std::chrono::seconds(20);
    static constexpr Duration emptyStreamDelay = std::chrono::milliseconds(20);
    /// Time after which a sample that waits for the engine to state its version is given back as not run, so that
    /// another engine makes it while a load hangs.
    static constexpr Duration maxVersionWait = std::chrono::seconds(1);

    Generator(asio::io_context&, EngineClient&, VersionTracker&, std::string agentName, std::string model);

    /// Generates a sample, resuming after swaps and engine failures until the deadline. Throws NotRunError if nothing
    /// came of it.
    asio::awaitable<Sample> generate(wire::GenerateRequest, Instant deadline, std::shared_ptr<GenerationHandle>);

    /// Orders the engine to load weights unless it already runs them or has a newer order. Returns whether the engine
    /// then states the version.
    asio::awaitable<bool> load(WeightVersion, std::string weights, int64_t order);

    /// Asks the engine for its state for ever; onState is told whether it answers.
    asio::awaitable<void> watchEngine(std::function<void(bool isUp)> onState);

private:
    /// A stream whose tokens are not proven yet.
    struct OpenStream {
        HttpCancellation cancellation;
        uint64_t epoch = 0;
        /// Set by the statement that a swap asks for after it cancelled the stream.
        std::optional<bool> isConfirmed;
    };

    asio::awaitable<void> runStream(const wire::GenerateRequest&, SampleProgress&, Instant deadline, GenerationHandle&);
    asio::awaitable<void> readStream(
        const wire::GenerateRequest&, SampleProgress&, Instant deadline, OpenStream&, GenerationHandle&);
    asio::awaitable<bool> confirmTokens(SampleProgress&, OpenStream&);
    asio::awaitable<bool> refreshStatus();
    asio::awaitable<bool> waitForVersion(WeightVersion minVersion, Instant deadline);
    asio::awaitable<void> confirmOpenStreams();

    EngineClient& engine_;
    VersionTracker& tracker_;
    std::string agentName_;
    std::string model_;
    std::set<OpenStream*> streams_;
    /// Notified whenever the tracker or a stream's proof has changed.
    Signal changed_;
};

} // namespace endiveroad::io
