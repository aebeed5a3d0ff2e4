#include "io/SettingsKeeper.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/SettingsStore.h"
#include "io/Tasks.h"
#include "wire/Codec.h"

#include <endiveroad/Error.h>
#include <endiveroad_types.h>
#include <random>

namespace endiveroad::io {

namespace {

/// Makes a single attempt per call, because SettingsKeeper::follow() itself retries.
class SingleAttempt : public StoreRetryPolicy {
public:
    Instant callDeadline() const override { return now() + SettingsKeeper::readTimeout; }
    asio::awaitable<bool> waitBeforeRetry(int) override { co_return false; }
};

wire::SettingsAnswer toWire(const SettingsDelta& delta)
{
    wire::SettingsAnswer answer;
    answer.revision = delta.revision;
    answer.baseRevision = delta.baseRevision;
    answer.writeId = delta.writeId;
    answer.digest = static_cast<int64_t>(delta.digest);
    answer.removed = delta.removed;
    for (const auto& [name, part] : delta.parts) {
        wire::SettingsPart& wirePart = answer.parts.emplace_back();
        wirePart.name = name;
        wirePart.key = part.key;
        wirePart.text = part.text;
    }
    return answer;
}

SettingsDelta fromWire(wire::SettingsAnswer answer)
{
    SettingsDelta delta;
    delta.revision = answer.revision;
    delta.baseRevision = answer.baseRevision;
    delta.writeId = answer.writeId;
    delta.digest = static_cast<uint64_t>(answer.digest);
    delta.removed = std::move(answer.removed);
    for (wire::SettingsPart& part : answer.parts)
        delta.parts[part.name] = { std::move(part.key), std::move(part.text) };
    return delta;
}

} // namespace

SettingsKeeper::SettingsKeeper(OnChange onChange, Send send, OnInForceSince onInForceSince)
    : onChange_(std::move(onChange))
    , send_(std::move(send))
    , onInForceSince_(std::move(onInForceSince))
    , sync_(std::random_device {}(), now(), [this](const SettingsDocument& document) { return putInForce(document); })
    , random_(std::random_device {}())
    , nextMissingSettingsLog_(now() + missingSettingsLogInterval)
{
}

bool SettingsKeeper::putInForce(const SettingsDocument& document)
{
    try {
        auto settings = std::make_shared<const Settings>(Settings::fromTree(document.tree(), document.revision));
        auto before = std::exchange(current_, settings);
        log(Event::SettingsInForce,
            { { "revision", std::to_string(document.revision) }, { "write", document.writeId } });
        inForceSince_.try_emplace(document.revision, now());
        inForceSince_.erase(inForceSince_.begin(), inForceSince_.find(document.revision));
        onChange_(before, settings);
        reportInForceSince();
        return true;
    } catch (const Error& error) {
        log(Event::SettingsRefused, { { "revision", std::to_string(document.revision) }, { "reason", error.what() } });
        return false;
    }
}

void SettingsKeeper::onPeer(const std::string& peer, SettingsPeerRole role)
{
    sync_.onPeer(peer, role, now());
    sendMessages();
}

void SettingsKeeper::onPeerLost(const std::string& peer)
{
    sync_.onPeerLost(peer);
}

bool SettingsKeeper::onMessage(const std::string& peer, MessageType type, const std::string& payload)
{
    if (type == MessageType::SettingsOffer) {
        const auto offer = wire::decode<wire::SettingsOffer>(payload);
        recordInForceTime(offer.revision, offer.inForceMs);
        sync_.onOffer(peer, { offer.revision, offer.isStoreAway }, now());
    } else if (type == MessageType::SettingsRequest) {
        sync_.onRequest(peer, wire::decode<wire::SettingsRequest>(payload).knownRevision);
    } else if (type == MessageType::SettingsAnswer) {
        auto answer = wire::decode<wire::SettingsAnswer>(payload);
        recordInForceTime(answer.revision, answer.inForceMs);
        sync_.onAnswer(peer, fromWire(std::move(answer)), now());
    } else {
        return false;
    }
    sendMessages();
    return true;
}

void SettingsKeeper::sendMessages()
{
    for (const SettingsMessage& message : sync_.takeMessages()) {
        if (message.kind == SettingsMessage::Kind::Offer) {
            wire::SettingsOffer offer;
            offer.revision = message.offer.revision;
            offer.isStoreAway = message.offer.isStoreUnreachable;
            offer.inForceMs = inForceMs();
            send_(message.peer, MessageType::SettingsOffer, wire::encode(offer));
        } else if (message.kind == SettingsMessage::Kind::Request) {
            wire::SettingsRequest request;
            request.knownRevision = message.knownRevision;
            send_(message.peer, MessageType::SettingsRequest, wire::encode(request));
        } else {
            wire::SettingsAnswer answer = toWire(message.delta);
            answer.inForceMs = inForceMs();
            send_(message.peer, MessageType::SettingsAnswer, wire::encode(answer));
        }
    }
}

int64_t SettingsKeeper::inForceMs() const
{
    const auto since = inForceSince_.find(sync_.revision());
    if (since == inForceSince_.end())
        return 0;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now() - since->second).count();
}

void SettingsKeeper::recordInForceTime(int64_t revision, int64_t inForceMs)
{
    if (revision == 0 || revision < sync_.revision() || inForceMs < 0)
        return;
    const Instant since = now() - std::chrono::milliseconds(inForceMs);
    const auto [known, isNew] = inForceSince_.try_emplace(revision, since);
    known->second = std::min(known->second, since);
    if (revision == sync_.revision())
        reportInForceSince();
}

void SettingsKeeper::reportInForceSince()
{
    const auto since = inForceSince_.find(current_ ? current_->revision : 0);
    if (since != inForceSince_.end())
        onInForceSince_(since->first, since->second);
}

asio::awaitable<void> SettingsKeeper::runGossip()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        // A message may move the deadline forward. Waking at a short interval notices this without a wake-up for each
        // message.
        co_await waitUntil(timer, std::min(sync_.deadline(), now() + pollInterval));
        sync_.onTimer(now());
        sendMessages();
        if (!current_ && now() >= nextMissingSettingsLog_) {
            nextMissingSettingsLog_ = now() + missingSettingsLogInterval;
            log(Event::SettingsMissing, { { "isStoreReachable", isStoreReachable_ ? "unknown" : "no" } });
        }
    }
}

void SettingsKeeper::onStoreAnswer(bool isReachable, const std::string& reason)
{
    const bool wasReachable = std::exchange(isStoreReachable_, isReachable);
    if (wasReachable && !isReachable)
        log(Event::StoreUnavailable, { { "reason", reason } });
    if (!wasReachable && isReachable)
        log(Event::StoreAvailable);
    sync_.onStoreReachable(isReachable);
    sendMessages();
}

asio::awaitable<bool> SettingsKeeper::readAndWatch()
{
    SingleAttempt retryPolicy;
    SettingsStore store(*storeClient_, retryPolicy);
    const auto document = co_await store.load(sync_.document());
    onStoreAnswer(true, "");
    if (document)
        sync_.onStoreRead(*document, now());
    sendMessages();
    const int64_t headRevision = store.headModRevision();
    bool isChanged = false;
    try {
        co_await storeClient_->watch(
            std::string(SettingsStore::headKey), headRevision, now() + watchLifetime, [&isChanged](const StoredValue&) {
                isChanged = true;
                return false;
            });
    } catch (const StoreUnavailableError&) {
        // A watch also ends this way at its deadline; the next read shows whether the service is reachable.
    }
    co_return isChanged;
}

Duration SettingsKeeper::retryDelay(int failures)
{
    const Duration bound = std::min(maxRetryDelay, firstRetryDelay * (1 << std::min(failures, 8)));
    return Duration(std::uniform_int_distribution<int64_t>(bound.count() / 4, bound.count())(random_));
}

asio::awaitable<void> SettingsKeeper::follow(StoreClient& store, std::function<bool()> isWanted)
{
    storeClient_ = std::make_unique<RateLimitedStoreClient>(store);
    int failures = 0;
    while (true) {
        if (!isWanted()) {
            co_await sleepFor(pollInterval);
            continue;
        }
        std::string failure;
        bool isChanged = false;
        try {
            isChanged = co_await readAndWatch();
            failures = 0;
        } catch (const Error& error) {
            failure = error.what();
            ++failures;
        }
        if (failures > 0)
            onStoreAnswer(false, failure);
        if (!isChanged)
            co_await sleepFor(retryDelay(failures));
    }
}

bool SettingsKeeper::isWatcher(const std::string& self, const std::vector<std::string>& liveEntries) const
{
    return sync_.isWatcher(self, liveEntries, now());
}

} // namespace endiveroad::io
