#pragma once

#include "io/Frame.h"
#include "io/StoreBudget.h"

#include <endiveroad/Settings.h>
#include <endiveroad/SettingsSync.h>
#include <functional>
#include <memory>

/// The settings in force in this process: the highest valid revision seen from the key-value service or any peer.
namespace endiveroad::io {

class SettingsKeeper {
public:
    static constexpr Duration readTimeout = std::chrono::seconds(2);
    /// A watch is opened again at this age, so that one whose connection went silent costs no more.
    static constexpr Duration watchLifetime = std::chrono::seconds(2);
    static constexpr Duration watchCheckInterval = std::chrono::milliseconds(200);
    static constexpr Duration firstRetryDelay = std::chrono::milliseconds(100);
    static constexpr Duration maxRetryDelay = std::chrono::seconds(2);
    /// A process without settings says so this often.
    static constexpr Duration missingNotice = std::chrono::seconds(5);

    using OnChange
        = std::function<void(std::shared_ptr<const Settings> before, std::shared_ptr<const Settings> inForce)>;
    using Send = std::function<void(const std::string& peer, MessageType, const std::string& payload)>;

    /// Some process has had the revision in force since an instant of this process's clock, or longer.
    using OnInForceSince = std::function<void(int64_t revision, Instant)>;

    SettingsKeeper(OnChange, Send, OnInForceSince);

    /// Settings in force; null before the first.
    std::shared_ptr<const Settings> current() const { return current_; }
    int64_t revision() const { return sync_.revision(); }
    const SettingsDocument& document() const { return sync_.document(); }

    /// Calls to the key-value service so far.
    uint64_t storeCalls() const { return budget_ ? budget_->calls() : 0; }

    /// Number of peers that are asked when the process starts.
    void expectPeers(size_t count) { sync_.expectPeers(count); }

    /// This process has no way to the key-value service.
    void onNoStore() { sync_.onStoreReachable(false); }

    void onPeer(const std::string& peer, SettingsPeerRole);
    void onPeerLost(const std::string& peer);

    /// Takes a message between processes; returns false if it is not about settings.
    bool onMessage(const std::string& peer, MessageType, const std::string& payload);

    /// Compares revisions with peers for ever.
    asio::awaitable<void> runExchange();

    /// Follows the key-value service for ever, while wanted says so: reads, then watches.
    asio::awaitable<void> follow(StoreClient&, std::function<bool()> wanted);

    /// Whether this entry is one of those of its region that watch the key-value service.
    bool isWatcher(const std::string& self, const std::vector<std::string>& liveEntries) const;

private:
    bool putInForce(const SettingsDocument&);
    void sendActions();
    int64_t inForceMs() const;
    void onHeardInForce(int64_t revision, int64_t inForceMs);
    void reportInForceSince();
    /// Returns whether the watch told a change.
    asio::awaitable<bool> readAndWatch();
    void onStoreAnswer(bool isReachable, const std::string& reason);
    Duration retryDelay(int failures);

    OnChange onChange_;
    Send send_;
    OnInForceSince onInForceSince_;
    /// When this process or a peer put a revision in force, for the present one and later ones.
    std::map<int64_t, Instant> inForceSince_;
    std::shared_ptr<const Settings> current_;
    SettingsSync sync_;
    std::unique_ptr<BudgetedStoreClient> budget_;
    std::minstd_rand random_;
    bool isStoreReachable_ = true;
    Instant nextMissingNotice_;
};

} // namespace endiveroad::io
