#include <endiveroad/SettingsSync.h>

#include <algorithm>
#include <endiveroad/Rendezvous.h>
#include <utility>

namespace endiveroad {

namespace {

constexpr std::string_view watchKey = "settings-watch";

} // namespace

SettingsSync::SettingsSync(uint64_t seed, Instant start, PutInForce putInForce)
    : random_(static_cast<uint32_t>(seed))
    , putInForce_(std::move(putInForce))
    , startupWaitEnd_(start + startupWait)
    , nextGossip_(start + gossipInterval)
{
}

void SettingsSync::offerTo(const std::string& peer)
{
    SettingsMessage message;
    message.kind = SettingsMessage::Kind::Offer;
    message.peer = peer;
    message.offer = { document_.revision, isStoreUnreachable_ };
    outgoingMessages_.push_back(std::move(message));
}

void SettingsSync::request(const std::string& peer, int64_t knownRevision, Instant now)
{
    SettingsMessage message;
    message.kind = SettingsMessage::Kind::Request;
    message.peer = peer;
    message.knownRevision = knownRevision;
    outgoingMessages_.push_back(std::move(message));
    pendingRequest_ = PendingRequest { peer, now + requestTimeout };
}

void SettingsSync::onPeer(const std::string& peer, SettingsPeerRole role, Instant)
{
    peers_[peer] = role;
    offerTo(peer);
}

void SettingsSync::onPeerLost(const std::string& peer)
{
    peers_.erase(peer);
    offeredRevisions_.erase(peer);
    storeUnreachableUntil_.erase(peer);
    if (pendingRequest_ && pendingRequest_->peer == peer)
        pendingRequest_.reset();
}

void SettingsSync::onOffer(const std::string& peer, const SettingsOffer& offer, Instant now)
{
    if (offer.isStoreUnreachable)
        storeUnreachableUntil_[peer] = now + storeReportLifetime;
    else
        storeUnreachableUntil_.erase(peer);
    offeredRevisions_[peer] = offer.revision;
    if (offer.revision > highestReceivedRevision()) {
        if (!pendingRequest_ || now >= pendingRequest_->deadline)
            request(peer, document_.revision, now);
    } else if (offer.revision < document_.revision) {
        offerTo(peer);
    }
}

void SettingsSync::onRequest(const std::string& peer, int64_t knownRevision)
{
    if (document_.revision <= knownRevision)
        return;
    SettingsMessage message;
    message.kind = SettingsMessage::Kind::Answer;
    message.peer = peer;
    message.delta = deltaSince(knownRevision);
    outgoingMessages_.push_back(std::move(message));
}

SettingsDelta SettingsSync::deltaSince(int64_t knownRevision) const
{
    const auto base = std::find_if(
        changes_.begin(), changes_.end(), [&](const Change& change) { return change.before == knownRevision; });
    if (knownRevision == 0 || base == changes_.end())
        return SettingsDelta::between({}, document_);
    SettingsDelta delta;
    delta.baseRevision = knownRevision;
    delta.revision = document_.revision;
    delta.writeId = document_.writeId;
    delta.digest = document_.digest();
    std::set<std::string> names;
    for (auto change = base; change != changes_.end(); ++change)
        names.insert(change->names.begin(), change->names.end());
    for (const std::string& name : names) {
        const auto part = document_.parts.find(name);
        if (part == document_.parts.end())
            delta.removed.push_back(name);
        else
            delta.parts.insert(*part);
    }
    return delta;
}

void SettingsSync::onAnswer(const std::string& peer, const SettingsDelta& delta, Instant now)
{
    if (pendingRequest_ && pendingRequest_->peer == peer)
        pendingRequest_.reset();
    if (delta.revision <= highestReceivedRevision())
        return;
    const auto document = delta.applyTo(document_);
    if (document)
        receiveDocument(*document, now);
    else if (delta.baseRevision != 0)
        request(peer, 0, now);
}

void SettingsSync::onStoreRead(const SettingsDocument& document, Instant now)
{
    receiveDocument(document, now);
}

bool SettingsSync::isWaitingForPeers(Instant now) const
{
    if (document_.revision != 0 || now >= startupWaitEnd_)
        return false;
    // A peer that offered a higher revision than that of startupDocument_ is still expected to answer the request for
    // it.
    const bool hasNewerOffer = std::any_of(offeredRevisions_.begin(), offeredRevisions_.end(),
        [&](const auto& offer) { return offer.second > startupDocument_.revision; });
    return offeredRevisions_.size() < expectedPeers_ || hasNewerOffer;
}

void SettingsSync::receiveDocument(const SettingsDocument& document, Instant now)
{
    if (document.revision <= highestReceivedRevision())
        return;
    if (isWaitingForPeers(now))
        startupDocument_ = document;
    else
        putInForce(document);
    if (startupDocument_.revision != 0 && !isWaitingForPeers(now))
        putInForce(SettingsDocument(startupDocument_));
}

void SettingsSync::putInForce(const SettingsDocument& document)
{
    startupDocument_ = {};
    if (!putInForce_(document)) {
        rejectedRevision_ = std::max(rejectedRevision_, document.revision);
        return;
    }
    const SettingsDelta delta = SettingsDelta::between(document_, document);
    Change change { document.revision, document_.revision, {} };
    change.names.insert(delta.removed.begin(), delta.removed.end());
    for (const auto& [name, part] : delta.parts)
        change.names.insert(name);
    changes_.push_back(std::move(change));
    if (changes_.size() > maxChanges)
        changes_.pop_front();
    document_ = document;
    offerNewRevision();
}

std::vector<std::string> SettingsSync::peersOf(SettingsPeerRole role) const
{
    std::vector<std::string> result;
    for (const auto& [peer, peerRole] : peers_) {
        if (peerRole == role)
            result.push_back(peer);
    }
    return result;
}

void SettingsSync::offerNewRevision()
{
    std::vector<std::string> entries = peersOf(SettingsPeerRole::Entry);
    std::shuffle(entries.begin(), entries.end(), random_);
    entries.resize(std::min(entries.size(), fanout));
    for (const std::string& peer : entries)
        offerTo(peer);
    for (const std::string& peer : peersOf(SettingsPeerRole::Agent))
        offerTo(peer);
}

void SettingsSync::onStoreReachable(bool isReachable)
{
    if (isStoreUnreachable_ == !isReachable)
        return;
    isStoreUnreachable_ = !isReachable;
    for (const std::string& peer : peersOf(SettingsPeerRole::Entry))
        offerTo(peer);
}

void SettingsSync::requestFromNewest(Instant now)
{
    const auto newest = std::max_element(offeredRevisions_.begin(), offeredRevisions_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    if (newest != offeredRevisions_.end() && newest->second > highestReceivedRevision())
        request(newest->first, document_.revision, now);
}

void SettingsSync::onTimer(Instant now)
{
    if (startupDocument_.revision != 0 && !isWaitingForPeers(now))
        putInForce(SettingsDocument(startupDocument_));
    if (pendingRequest_ && now >= pendingRequest_->deadline) {
        // The peer did not answer in time; ask another one that offered a higher revision.
        offeredRevisions_.erase(pendingRequest_->peer);
        pendingRequest_.reset();
        requestFromNewest(now);
    }
    if (now < nextGossip_)
        return;
    const int64_t half = gossipInterval.count() / 2;
    nextGossip_ = now + Duration(half + std::uniform_int_distribution<int64_t>(0, 2 * half)(random_));
    std::vector<std::string> entries = peersOf(SettingsPeerRole::Entry);
    if (!entries.empty())
        offerTo(entries[std::uniform_int_distribution<size_t>(0, entries.size() - 1)(random_)]);
}

Instant SettingsSync::deadline() const
{
    Instant result = nextGossip_;
    if (pendingRequest_)
        result = std::min(result, pendingRequest_->deadline);
    if (startupDocument_.revision != 0)
        result = std::min(result, startupWaitEnd_);
    return result;
}

std::vector<SettingsMessage> SettingsSync::takeMessages()
{
    return std::exchange(outgoingMessages_, {});
}

bool SettingsSync::isWatcher(const std::string& self, const std::vector<std::string>& liveEntries, Instant now) const
{
    std::vector<std::string> reachingEntries;
    for (const std::string& entry : liveEntries) {
        const auto report = storeUnreachableUntil_.find(entry);
        const bool isStoreUnreachable
            = entry == self ? isStoreUnreachable_ : report != storeUnreachableUntil_.end() && now < report->second;
        if (!isStoreUnreachable)
            reachingEntries.push_back(entry);
    }
    // An entry that would be a watcher if all could reach the service stays one and keeps trying. Otherwise two entries
    // with reports of different age could each take the other for the watcher, and none would watch.
    const auto isOwner = [&](const std::vector<std::string>& names) {
        const auto owners = rendezvousOwners(watchKey, names, watchersPerRegion);
        return std::find(owners.begin(), owners.end(), self) != owners.end();
    };
    return isOwner(reachingEntries) || isOwner(liveEntries);
}

} // namespace endiveroad
