#pragma once

#include <deque>
#include <endiveroad/SettingsDocument.h>
#include <endiveroad/Time.h>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

/// How settings spread between processes and why they never go back: a process offers the number of the revision that
/// it has in force; one that is behind asks for what changed since its own; only a higher revision is put in force.
namespace endiveroad {

/// What a process tells of its settings.
struct SettingsOffer {
    /// Revision in force; 0 for none.
    int64_t revision = 0;
    /// The process tried the key-value service and got no answer.
    bool isStoreAway = false;

    auto operator<=>(const SettingsOffer&) const = default;
};

/// A message to send.
struct SettingsAction {
    enum class Kind { Offer, Request, Answer };

    Kind kind = Kind::Offer;
    std::string peer;
    SettingsOffer offer;
    /// For a request: the revision that the sender has; 0 asks for all parts.
    int64_t knownRevision = 0;
    /// For an answer.
    SettingsDelta delta;

    auto operator<=>(const SettingsAction&) const = default;
};

enum class SettingsPeerRole { Entry, Agent };

class SettingsSync {
public:
    /// Entries that hear of a new revision at once; the others hear from those.
    static constexpr size_t fanout = 4;
    /// Every process compares revisions with one random peer in this interval.
    static constexpr Duration exchangeInterval = std::chrono::milliseconds(500);
    static constexpr Duration requestTimeout = std::chrono::milliseconds(700);
    /// A process that starts listens to its peers this long before it puts its first revision in force, so that an old
    /// answer of the key-value service does not take it back behind its former self.
    static constexpr Duration startHold = std::chrono::milliseconds(1000);
    /// Revisions whose changes are remembered for peers that are behind.
    static constexpr size_t maxChanges = 64;
    static constexpr size_t watchersPerRegion = 2;
    /// How long a peer's word that it cannot reach the key-value service counts.
    static constexpr Duration storeAwayLifetime = std::chrono::seconds(30);

    /// Checks a document and puts it in force. Returns false if this process cannot accept it.
    using PutInForce = std::function<bool(const SettingsDocument&)>;

    SettingsSync(uint64_t seed, Instant start, PutInForce);

    /// Revision in force; 0 before the first.
    int64_t revision() const { return document_.revision; }
    const SettingsDocument& document() const { return document_; }

    /// Number of peers that this process was told to ask when it starts.
    void expectPeers(size_t count) { expectedPeers_ = count; }

    void onPeer(const std::string& peer, SettingsPeerRole, Instant now);
    void onPeerLost(const std::string& peer);
    void onOffer(const std::string& peer, const SettingsOffer&, Instant now);
    void onRequest(const std::string& peer, int64_t knownRevision);
    void onAnswer(const std::string& peer, const SettingsDelta&, Instant now);

    /// The key-value service gave a document, which may be an old one.
    void onStored(const SettingsDocument&, Instant now);

    /// Whether the key-value service answers this process; a change is told to all entries.
    void onStoreReachable(bool isReachable);

    /// Does what is due.
    void onTimer(Instant now);

    /// When onTimer() has something to do.
    Instant deadline() const;

    /// Messages to send since the last call.
    std::vector<SettingsAction> takeActions();

    /// Whether this entry is one of the few of its region that watch the key-value service. Live entries include
    /// itself. Those that cannot reach the service are passed over while others may.
    bool isWatcher(const std::string& self, const std::vector<std::string>& liveEntries, Instant now) const;

private:
    struct PendingRequest {
        std::string peer;
        Instant deadline = never;
    };

    struct Change {
        int64_t revision = 0;
        /// The revision that was in force before.
        int64_t before = 0;
        std::set<std::string> names;
    };

    void adopt(const SettingsDocument&, Instant now);
    void putInForce(const SettingsDocument&);
    void offerTo(const std::string& peer);
    void request(const std::string& peer, int64_t knownRevision, Instant now);
    void requestFromBest(Instant now);
    void spreadOffer();
    bool isHolding(Instant now) const;
    /// Highest revision that need not be asked for.
    int64_t knownRevision() const { return std::max({ document_.revision, refused_, candidate_.revision }); }
    SettingsDelta deltaSince(int64_t knownRevision) const;
    std::vector<std::string> peersOf(SettingsPeerRole) const;

    std::minstd_rand random_;
    PutInForce putInForce_;
    SettingsDocument document_;
    /// The best document while the start hold lasts.
    SettingsDocument candidate_;
    Instant holdUntil_;
    Instant nextExchange_;
    size_t expectedPeers_ = 0;
    std::map<std::string, SettingsPeerRole> peers_;
    std::map<std::string, int64_t> offered_;
    std::map<std::string, Instant> storeAwayUntil_;
    std::optional<PendingRequest> pending_;
    std::deque<Change> changes_;
    int64_t refused_ = 0;
    bool isStoreAway_ = false;
    std::vector<SettingsAction> actions_;
};

} // namespace endiveroad
