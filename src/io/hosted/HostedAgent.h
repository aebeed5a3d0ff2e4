#pragma once

#include "io/hosted/EngineController.h"
#include "io/hosted/HostedNode.h"
#include "io/hosted/ItemRunner.h"

/// Agent on a shared platform. It serves one engine replica, and only it runs items there and orders weight loads.
namespace endiveroad::io {

class HostedAgent : public HostedNode {
public:
    /// Longest pause between two reports to the coordinators.
    static constexpr Duration reportInterval = std::chrono::milliseconds(500);

    /// Time that a demand for such permits may wait.
    static constexpr Duration permitWait = std::chrono::seconds(2);

    /// Priority of permits for items that may be placed on the replica, behind that of callers' requests.
    static constexpr int32_t itemPriority = 100;

    /// Time after SIGTERM in which the last progress notices reach the coordinators that own the jobs.
    static constexpr Duration progressFlushTime = std::chrono::milliseconds(400);

    HostedAgent(std::unique_ptr<Platform>, HostedOptions);

private:
    void start() override;
    asio::awaitable<void> drain() override;
    void onDirectoryChanged(const Directory& before, const Directory& current) override;
    asio::awaitable<std::string> onNodeRequest(PeerConnectionPtr, PeerMessage) override;
    void onNodeNotice(const PeerConnectionPtr&, const PeerMessage&) override;
    void onPeerUp(const PeerConnectionPtr&) override;
    std::vector<Gauge> gauges() const override;

    /// The replica's registration; null if there is none or the server is draining.
    const ServerRecord* readyServer() const;
    /// Number of items that the replica may run at once: its slots, or what its request limit lets begin.
    int32_t usableSlots(const ServerRecord&) const;
    /// Asks for permits for the items that may be placed here, if the replica has a request limit.
    void demandPermits();
    /// An encoded wire::ReplicaReport.
    std::string encodedReport() const;
    /// Sends reports to all coordinators on changes and at intervals; never returns.
    asio::awaitable<void> report();

    Signal reportDue_;
    EngineController engine_;
    ItemRunner runner_;
};

} // namespace endiveroad::io
