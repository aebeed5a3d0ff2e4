#include "io/hosted/StreamOriginAnnouncer.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Tasks.h"
#include "io/hosted/WireOrigins.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad/Rendezvous.h>

namespace endiveroad::io {

/// A question to all coordinators; the first answer that knows the stream counts.
struct StreamOriginAnnouncer::LookUp {
    explicit LookUp(asio::io_context& context)
        : changed(context)
    {
    }

    Signal changed;
    size_t openQueries = 0;
    std::optional<SoftwareVersion> found;
};

StreamOriginAnnouncer::StreamOriginAnnouncer(asio::io_context& context, StreamOriginSources& peers)
    : context_(context)
    , peers_(peers)
{
}

std::vector<std::string> StreamOriginAnnouncer::keepers() const
{
    return rendezvousOwners(peers_.ownName(), peers_.originKeepers(), keeperCount);
}

void StreamOriginAnnouncer::announce(const std::vector<StreamOrigin>& origins)
{
    for (const StreamOrigin& origin : origins)
        origins_.add(peers_.ownName(), origin, now());
    pending_.insert(pending_.end(), origins.begin(), origins.end());
    const bool isWithinBurst = nextNoticeAt_ <= now() + noticeInterval * (noticeBurst - 1);
    if (isWithinBurst) {
        sendPending();
    } else if (!isSendScheduled_) {
        isSendScheduled_ = true;
        spawn(context_.get_executor(), [this] { return sendLater(); });
    }
}

asio::awaitable<void> StreamOriginAnnouncer::sendLater()
{
    co_await sleepFor(nextNoticeAt_ - noticeInterval * (noticeBurst - 1) - now());
    isSendScheduled_ = false;
    sendPending();
}

void StreamOriginAnnouncer::sendPending()
{
    nextNoticeAt_ = std::max(nextNoticeAt_, now()) + noticeInterval;
    const std::vector<std::string> notices = encodeOrigins({}, pending_, now());
    pending_.clear();
    for (const std::string& keeper : keepers()) {
        for (const std::string& notice : notices)
            peers_.sendOrigins(keeper, notice);
    }
}

void StreamOriginAnnouncer::onCoordinatorsChanged()
{
    const std::vector<std::string> current = keepers();
    const std::set<std::string> before = std::move(informed_);
    informed_ = std::set<std::string>(current.begin(), current.end());
    std::vector<std::string> notices;
    for (const std::string& keeper : current) {
        if (before.contains(keeper))
            continue;
        if (notices.empty())
            notices = encodeOrigins({}, origins_.ofEntry(peers_.ownName(), now()), now());
        for (const std::string& notice : notices)
            peers_.sendOrigins(keeper, notice);
    }
}

asio::awaitable<std::optional<SoftwareVersion>> StreamOriginAnnouncer::find(StreamKey key, Instant deadline)
{
    auto known = origins_.find(key, now());
    if (known)
        co_return known;
    const Instant end = std::min(deadline, now() + lookUpTimeout);
    known = co_await askAll(key, end);
    if (known || now() + noticeInterval >= end)
        co_return known;
    co_await sleepFor(noticeInterval);
    known = co_await askAll(key, end);
    co_return known;
}

asio::awaitable<std::optional<SoftwareVersion>> StreamOriginAnnouncer::askAll(StreamKey key, Instant end)
{
    auto lookUp = std::make_shared<LookUp>(context_);
    for (const std::string& coordinator : peers_.originKeepers()) {
        ++lookUp->openQueries;
        spawn(context_.get_executor(),
            [this, lookUp, coordinator, key, end] { return ask(lookUp, coordinator, key, end); });
    }
    while (!lookUp->found && lookUp->openQueries > 0 && now() < end)
        co_await lookUp->changed.wait(end);
    co_return lookUp->found;
}

asio::awaitable<void> StreamOriginAnnouncer::ask(
    std::shared_ptr<LookUp> lookUp, std::string coordinator, StreamKey key, Instant deadline)
{
    wire::StreamOriginQuery query;
    query.key = key.encode();
    try {
        std::string payload = wire::encode(query);
        const std::string answered = co_await peers_.askOrigin(coordinator, std::move(payload), deadline);
        const auto answer = wire::decode<wire::StreamOriginAnswer>(answered);
        if (answer.isKnown && !lookUp->found)
            lookUp->found = fromWire(answer.software);
    } catch (const Error& error) {
        log(Event::StreamOriginUnavailable, { { "peer", coordinator }, { "reason", error.what() } });
    }
    --lookUp->openQueries;
    lookUp->changed.notifyAll();
}

} // namespace endiveroad::io
