#pragma once

#include "io/Signal.h"
#include "io/hosted/StreamOriginPeers.h"

#include <boost/asio/io_context.hpp>
#include <endiveroad/StreamOrigins.h>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// What an entry knows of the origins of streams. It has coordinators keep the origins of the streams that it begins,
/// so that other entries can continue them when this one is gone, and asks them for those of other entries.
namespace endiveroad::io {

class StreamOriginAnnouncer {
public:
    /// Number of coordinators that keep the origins of one entry's streams.
    static constexpr size_t keeperCount = 2;

    /// Notices are sent at once, but no more often than one in this time after a burst; until the next one, origins are
    /// gathered.
    static constexpr Duration noticeInterval = std::chrono::milliseconds(60);
    static constexpr int noticeBurst = 25;

    /// Time for the coordinators to tell the origin of a stream.
    static constexpr Duration lookUpTimeout = std::chrono::milliseconds(200);

    StreamOriginAnnouncer(asio::io_context&, StreamOriginSources&);

    /// Records the origins of streams, and announces them.
    void announce(const std::vector<StreamOrigin>&);

    /// What this process or a coordinator knows; nothing if none of them knows the stream. Coordinators that do not are
    /// asked once more, since the notice of another entry may be on its way.
    asio::awaitable<std::optional<SoftwareVersion>> find(StreamKey, Instant deadline);

    /// Tells coordinators that become keepers of this entry's streams. Called when the connected coordinators change.
    void onCoordinatorsChanged();

    size_t size() const { return origins_.size(); }

private:
    struct LookUp;

    asio::awaitable<std::optional<SoftwareVersion>> askAll(StreamKey, Instant deadline);
    asio::awaitable<void> ask(std::shared_ptr<LookUp>, std::string coordinator, StreamKey, Instant deadline);
    std::vector<std::string> keepers() const;
    /// Sends what has been gathered once a notice may be sent.
    asio::awaitable<void> sendLater();
    void sendPending();

    asio::io_context& context_;
    StreamOriginSources& peers_;
    StreamOrigins origins_;
    std::vector<StreamOrigin> pending_;
    /// When the next notice is due if notices are sent at a steady rate.
    Instant nextNoticeAt_ = Instant::min();
    bool isSendScheduled_ = false;
    /// Coordinators that have all origins of this entry.
    std::set<std::string> informed_;
};

} // namespace endiveroad::io
