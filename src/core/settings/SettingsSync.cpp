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
    , holdUntil_(start + startHold)
    , nextExchange_(start + exchangeInterval)
{
}

void SettingsSync::offerTo(const std::string& peer)
{
    SettingsMessage message;
    message.kind = SettingsMessage::Kind::Offer;
    message.peer = peer;
    message.offer = { document_.revision, isStoreAway_ };
    outgoingMessages_.push_back(std::move(message));
}

void SettingsSync::request(const std::string& peer, int64_t knownRevision, Instant now)
{
    SettingsMessage message;
    message.kind = SettingsMessage::Kind::Request;
    message.peer = peer;
    message.knownRevision = knownRevision;
    outgoingMessages_.push_back(std::move(message));
    pending_ = PendingRequest { peer, now + requestTimeout };
}

void SettingsSync::onPeer(const std::string& peer, SettingsPeerRole role, Instant)
{
    peers_[peer] = role;
    offerTo(peer);
}

void SettingsSync::onPeerLost(const std::string& peer)
{
    peers_.erase(peer);
    offered_.erase(peer);
    storeAwayUntil_.erase(peer);
    if (pending_ && pending_->peer == peer)
        pending_.reset();
}

void SettingsSync::onOffer(const std::string& peer, const SettingsOffer& offer, Instant now)
{
    if (offer.isStoreAway)
        storeAwayUntil_[peer] = now + storeAwayLifetime;
    else
        storeAwayUntil_.erase(peer);
    offered_[peer] = offer.revision;
    if (offer.revision > knownRevision()) {
        if (!pending_ || now >= pending_->deadline)
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
    if (pending_ && pending_->peer == peer)
        pending_.reset();
    if (delta.revision <= knownRevision())
        return;
    const auto document = delta.applyTo(document_);
    if (document)
        adopt(*document, now);
    else if (delta.baseRevision != 0)
        request(peer, 0, now);
}

void SettingsSync::onStored(const SettingsDocument& document, Instant now)
{
    adopt(document, now);
}

bool SettingsSync::isHolding(Instant now) const
{
    if (document_.revision != 0 || now >= holdUntil_)
        return false;
    // A peer that offered a higher revision than the candidate's is still expected to answer the request for it.
    const bool hasBetterOffer = std::any_of(
        offered_.begin(), offered_.end(), [&](const auto& offer) { return offer.second > candidate_.revision; });
    return offered_.size() < expectedPeers_ || hasBetterOffer;
}

void SettingsSync::adopt(const SettingsDocument& document, Instant now)
{
    if (document.revision <= knownRevision())
        return;
    if (isHolding(now))
        candidate_ = document;
    else
        putInForce(document);
    if (candidate_.revision != 0 && !isHolding(now))
        putInForce(SettingsDocument(candidate_));
}

void SettingsSync::putInForce(const SettingsDocument& document)
{
    candidate_ = {};
    if (!putInForce_(document)) {
        refused_ = std::max(refused_, document.revision);
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
    spreadOffer();
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

void SettingsSync::spreadOffer()
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
    if (isStoreAway_ == !isReachable)
        return;
    isStoreAway_ = !isReachable;
    for (const std::string& peer : peersOf(SettingsPeerRole::Entry))
        offerTo(peer);
}

void SettingsSync::requestFromBest(Instant now)
{
    const auto best = std::max_element(
        offered_.begin(), offered_.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    if (best != offered_.end() && best->second > knownRevision())
        request(best->first, document_.revision, now);
}

void SettingsSync::onTimer(Instant now)
{
    if (candidate_.revision != 0 && !isHolding(now))
        putInForce(SettingsDocument(candidate_));
    if (pending_ && now >= pending_->deadline) {
        // The peer did not answer in time; ask another one that offered a higher revision.
        offered_.erase(pending_->peer);
        pending_.reset();
        requestFromBest(now);
    }
    if (now < nextExchange_)
        return;
    const int64_t half = exchangeInterval.count() / 2;
    nextExchange_ = now + Duration(half + std::uniform_int_distribution<int64_t>(0, 2 * half)(random_));
    std::vector<std::string> entries = peersOf(SettingsPeerRole::Entry);
    if (!entries.empty())
        offerTo(entries[std::uniform_int_distribution<size_t>(0, entries.size() - 1)(random_)]);
}

Instant SettingsSync::deadline() const
{
    Instant result = nextExchange_;
    if (pending_)
        result = std::min(result, pending_->deadline);
    if (candidate_.revision != 0)
        result = std::min(result, holdUntil_);
    return result;
}

std::vector<SettingsMessage> SettingsSync::takeMessages()
{
    return std::exchange(outgoingMessages_, {});
}

bool SettingsSync::isWatcher(const std::string& self, const std::vector<std::string>& liveEntries, Instant now) const
{
    std::vector<std::string> candidates;
    for (const std::string& entry : liveEntries) {
        const auto away = storeAwayUntil_.find(entry);
        const bool isAway = entry == self ? isStoreAway_ : away != storeAwayUntil_.end() && now < away->second;
        if (!isAway)
            candidates.push_back(entry);
    }
    // An entry that would be a watcher if all could reach the service stays one and keeps trying. Otherwise two entries
    // with reports of different age could each take the other for the watcher, and none would watch.
    const auto isOwner = [&](const std::vector<std::string>& names) {
        const auto owners = rendezvousOwners(watchKey, names, watchersPerRegion);
        return std::find(owners.begin(), owners.end(), self) != owners.end();
    };
    return isOwner(candidates) || isOwner(liveEntries);
}

} // namespace endiveroad
