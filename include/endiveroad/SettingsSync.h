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

/// Distributes settings between processes by gossip. A process offers its peers the number of the revision that it has
/// in force. A peer with a lower revision requests what changed since its own and gets a delta as the answer. A process
/// puts only higher revisions in force, so that its settings never go back to an older revision.
namespace endiveroad {

/// What a process tells its peers about its settings.
struct SettingsOffer {
    /// Revision in force; 0 for none.
    int64_t revision = 0;
    /// The process's last attempt to reach the key-value service failed.
    bool isStoreUnreachable = false;

    auto operator<=>(const SettingsOffer&) const = default;
};

/// A message to send to a peer.
struct SettingsMessage {
    enum class Kind { Offer, Request, Answer };

    Kind kind = Kind::Offer;
    std::string peer;
    /// For an Offer.
    SettingsOffer offer;
    /// For a Request: the revision that the sender has in force; 0 asks for all parts.
    int64_t knownRevision = 0;
    /// For an Answer.
    SettingsDelta delta;

    auto operator<=>(const SettingsMessage&) const = default;
};

enum class SettingsPeerRole { Entry, Agent };

/// The synchronisation of one process, without I/O: the caller reports events and the time, and sends the messages that
/// takeMessages() returns.
class SettingsSync {
public:
    /// Number of random entries to which a process offers a new revision at once; the other entries learn of it by
    /// further offers. Connected agents all get an offer at once.
    static constexpr size_t fanout = 4;
    /// Mean interval at which a process offers its revision to one random entry.
    static constexpr Duration gossipInterval = std::chrono::milliseconds(500);
    /// After this time without an answer, another peer that offered a higher revision is asked.
    static constexpr Duration requestTimeout = std::chrono::milliseconds(700);
    /// A starting process waits for offers of its peers for at most this long before it puts its first revision in
    /// force. Otherwise an outdated read of the key-value service could take it back to an older revision than it had
    /// before it was restarted.
    static constexpr Duration startupWait = std::chrono::milliseconds(1000);
    /// Number of past changes that are kept to answer requests with a delta. A peer that is further behind gets all
    /// parts.
    static constexpr size_t maxChanges = 64;
    /// Number of entries of a region that watch the key-value service for new revisions.
    static constexpr size_t watchersPerRegion = 2;
    /// How long a peer's report that it cannot reach the key-value service is believed.
    static constexpr Duration storeReportLifetime = std::chrono::seconds(30);

    /// Validates a document and puts it in force. Returns false if the document is invalid for this process.
    using PutInForce = std::function<bool(const SettingsDocument&)>;

    SettingsSync(uint64_t seed, Instant start, PutInForce);

    /// Revision in force; 0 before the first.
    int64_t revision() const { return document_.revision; }
    const SettingsDocument& document() const { return document_; }

    /// Sets how many peers must have sent an offer before the first revision is put in force. After startupWait a
    /// revision is put in force without them.
    void expectPeers(size_t count) { expectedPeers_ = count; }

    void onPeer(const std::string& peer, SettingsPeerRole, Instant now);
    void onPeerLost(const std::string& peer);
    void onOffer(const std::string& peer, const SettingsOffer&, Instant now);
    void onRequest(const std::string& peer, int64_t knownRevision);
    void onAnswer(const std::string& peer, const SettingsDelta&, Instant now);

    /// Called with a document read from the key-value service, which may be outdated.
    void onStoreRead(const SettingsDocument&, Instant now);

    /// Called with the result of each attempt to reach the key-value service. If it differs from the previous result,
    /// all connected entries get an offer that reports it. Before the first call the service counts as reachable.
    void onStoreReachable(bool isReachable);

    /// Sends offers that are due, gives up requests that timed out, and ends the wait at the start.
    void onTimer(Instant now);

    /// When onTimer() must be called next.
    Instant deadline() const;

    /// Returns the messages to send that were created since the last call.
    std::vector<SettingsMessage> takeMessages();

    /// Whether this entry must watch the key-value service for its region. liveEntries are the connected entries of the
    /// region and this one. If watchers reported that they cannot reach the service, others watch as well; the former
    /// watchers keep trying.
    bool isWatcher(const std::string& self, const std::vector<std::string>& liveEntries, Instant now) const;

private:
    struct PendingRequest {
        std::string peer;
        Instant deadline = never;
    };

    struct Change {
        int64_t revision = 0;
        /// The revision that was in force before this one.
        int64_t before = 0;
        /// Names of the parts that were added, changed or removed.
        std::set<std::string> names;
    };

    void receiveDocument(const SettingsDocument&, Instant now);
    void putInForce(const SettingsDocument&);
    void offerTo(const std::string& peer);
    void request(const std::string& peer, int64_t knownRevision, Instant now);
    void requestFromNewest(Instant now);
    void offerNewRevision();
    bool isWaitingForPeers(Instant now) const;
    /// Highest revision that is in force, was rejected or waits for the end of the startup wait. Only higher ones are
    /// requested or accepted.
    int64_t highestReceivedRevision() const
    {
        return std::max({ document_.revision, rejectedRevision_, startupDocument_.revision });
    }
    SettingsDelta deltaSince(int64_t knownRevision) const;
    std::vector<std::string> peersOf(SettingsPeerRole) const;

    std::minstd_rand random_;
    PutInForce putInForce_;
    SettingsDocument document_;
    /// Document with the highest revision so far, while this process waits for its peers at the start.
    SettingsDocument startupDocument_;
    Instant startupWaitEnd_;
    Instant nextGossip_;
    size_t expectedPeers_ = 0;
    std::map<std::string, SettingsPeerRole> peers_;
    /// Revision that each peer offered last.
    std::map<std::string, int64_t> offeredRevisions_;
    std::map<std::string, Instant> storeUnreachableUntil_;
    /// The request in flight; there is at most one.
    std::optional<PendingRequest> pendingRequest_;
    std::deque<Change> changes_;
    /// Highest revision that this process could not put in force; 0 for none.
    int64_t rejectedRevision_ = 0;
    bool isStoreUnreachable_ = false;
    std::vector<SettingsMessage> outgoingMessages_;
};

} // namespace endiveroad
