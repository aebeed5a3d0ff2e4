#pragma once

#include "io/EngineClient.h"

#include <boost/asio/steady_timer.hpp>
#include <endiveroad/VersionTracker.h>
#include <endiveroad_types.h>
#include <set>

/// Makes samples on the engine beside the agent, swaps its weights, and keeps every token's version true.
namespace endiveroad::io {

class Generator {
public:
    static constexpr Duration statusInterval = std::chrono::milliseconds(200);
    static constexpr Duration statusTimeout = std::chrono::milliseconds(1000);
    static constexpr Duration loadTimeout = std::chrono::seconds(20);
    static constexpr Duration versionWait = std::chrono::milliseconds(50);
    /// Time after which a sample that waits for the engine to state its version is given back as not run, so that
    /// another engine makes it while a load hangs.
    static constexpr Duration longestSwapWait = std::chrono::seconds(1);

    Generator(asio::io_context&, EngineClient&, VersionTracker&, std::string agentName, std::string model);

    /// Generates a sample, resuming after swaps and engine failures until the deadline. Throws NotRunError if nothing
    /// came of it.
    asio::awaitable<Sample> generate(wire::GenerateRequest, Instant deadline);

    /// Orders the engine to load weights unless it already runs them or a newer order. Returns whether the engine then
    /// states the version.
    asio::awaitable<bool> load(WeightVersion, std::string weights);

    /// Asks the engine for its state for ever; onState is told whether it answers.
    asio::awaitable<void> watchEngine(std::function<void(bool isUp)> onState);

private:
    struct Progress {
        Sample sample;
        bool isFinished = false;
    };

    asio::awaitable<void> runStream(const wire::GenerateRequest&, Progress&, Instant deadline);
    asio::awaitable<bool> refresh();
    asio::awaitable<bool> waitForVersion(WeightVersion atLeast, Instant deadline);
    void cancelStreams();
    void discardStaleTokens(Progress&, WeightVersion oldest) const;

    asio::io_context& context_;
    EngineClient& engine_;
    VersionTracker& tracker_;
    std::string agentName_;
    std::string model_;
    std::set<HttpCancellation*> streams_;
    WeightVersion newestOrder_ = unknownVersion;
};

} // namespace endiveroad::io
