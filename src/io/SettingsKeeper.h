#pragma once

#include "io/Frame.h"
#include "io/RateLimitedStoreClient.h"

#include <endiveroad/Settings.h>
#include <endiveroad/SettingsSync.h>
#include <functional>
#include <memory>

/// Keeps the settings in force in this process: the highest valid revision received from the key-value service or any
/// peer.
namespace endiveroad::io {

class SettingsKeeper {
public:
    static constexpr Duration readTimeout = std::chrono::seconds(2);
    /// A watch is reopened at this age, so that changes are missed for about this long at most if its connection
    /// goes silent.
    static constexpr Duration watchLifetime = std::chrono::seconds(2);
    static constexpr Duration pollInterval = std::chrono::milliseconds(200);
    static constexpr Duration firstRetryDelay = std::chrono::milliseconds(100);
    static constexpr Duration maxRetryDelay = std::chrono::seconds(2);
    /// Interval at which a process without settings logs that they are missing.
    static constexpr Duration missingSettingsLogInterval = std::chrono::seconds(5);

    using OnChange
        = std::function<void(std::shared_ptr<const Settings> before, std::shared_ptr<const Settings> inForce)>;
    using Send = std::function<void(const std::string& peer, MessageType, const std::string& payload)>;

    /// Called with an instant of this process's clock at which the revision was already in force in at least one
    /// process.
    using OnInForceSince = std::function<void(int64_t revision, Instant)>;

    SettingsKeeper(OnChange, Send, OnInForceSince);

    /// Settings in force; null until a valid revision was received.
    std::shared_ptr<const Settings> current() const { return current_; }
    int64_t revision() const { return sync_.revision(); }
    const SettingsDocument& document() const { return sync_.document(); }

    /// Number of calls made to the key-value service.
    uint64_t storeCalls() const { return storeClient_ ? storeClient_->calls() : 0; }

    /// Sets the number of peers that are asked for settings when the process starts.
    void expectPeers(size_t count) { sync_.expectPeers(count); }

    /// Call if this process has no address of the key-value service and depends on peers for settings.
    void onNoStore() { sync_.onStoreReachable(false); }

    void onPeer(const std::string& peer, SettingsPeerRole);
    void onPeerLost(const std::string& peer);

    /// Handles a message from a peer. Returns false, and does nothing, if the message is not about settings.
    bool onMessage(const std::string& peer, MessageType, const std::string& payload);

    /// Exchanges revisions with peers; never returns.
    asio::awaitable<void> runGossip();

    /// Reads the settings from the key-value service and watches them for changes, whenever isWanted() returns true;
    /// never returns. After a failed read it waits an exponential delay with jitter before the
    /// next read, after a watch that reported no change up to firstRetryDelay, after a change not at all.
    asio::awaitable<void> follow(StoreClient&, std::function<bool()> isWanted);

    /// Whether this entry is among those of its region that watch the key-value service.
    bool isWatcher(const std::string& self, const std::vector<std::string>& liveEntries) const;

private:
    bool putInForce(const SettingsDocument&);
    void sendMessages();
    int64_t inForceMs() const;
    void recordInForceTime(int64_t revision, int64_t inForceMs);
    void reportInForceSince();
    /// Returns whether the watch reported a change.
    asio::awaitable<bool> readAndWatch();
    void onStoreAnswer(bool isReachable, const std::string& reason);
    Duration retryDelay(int failures);

    OnChange onChange_;
    Send send_;
    OnInForceSince onInForceSince_;
    /// Earliest known instant at which this process or a peer had a revision in force, for the current revision and
    /// later ones.
    std::map<int64_t, Instant> inForceSince_;
    std::shared_ptr<const Settings> current_;
    SettingsSync sync_;
    std::unique_ptr<RateLimitedStoreClient> storeClient_;
    std::minstd_rand random_;
    bool isStoreReachable_ = true;
    Instant nextMissingSettingsLog_;
};

} // namespace endiveroad::io
