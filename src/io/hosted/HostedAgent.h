#pragma once

#include "io/hosted/EngineGuard.h"
#include "io/hosted/HostedNode.h"
#include "io/hosted/ItemRunner.h"

/// The process beside an engine replica on a shared platform: the only one that runs items on it and gives it orders.
namespace endiveroad::io {

class HostedAgent : public HostedNode {
public:
    /// Longest pause between two reports to the coordinators.
    static constexpr Duration reportInterval = std::chrono::milliseconds(500);

    /// Time after SIGTERM for the last texts to reach the owners of their jobs.
    static constexpr Duration handoverTime = std::chrono::milliseconds(400);

    HostedAgent(std::unique_ptr<Platform>, HostedOptions);

private:
    void start() override;
    asio::awaitable<void> drain() override;
    void onDirectoryChanged(const Directory& before, const Directory& present) override;
    asio::awaitable<std::string> onNodeRequest(PeerConnectionPtr, PeerMessage) override;
    void onNodeNotice(const PeerConnectionPtr&, const PeerMessage&) override;
    void onPeerUp(const PeerConnectionPtr&) override;
    std::vector<Gauge> gauges() const override;

    /// The replica's registration if it takes new work; null if not.
    const ServerRecord* readyServer() const;
    std::string encodedReport() const;
    asio::awaitable<void> report();

    Signal reportDue_;
    EngineGuard engine_;
    ItemRunner runner_;
};

} // namespace endiveroad::io
