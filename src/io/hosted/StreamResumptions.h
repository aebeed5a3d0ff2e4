#pragma once

#include "io/Clock.h"
#include "io/hosted/Protocol.h"
#include "io/hosted/StreamOriginAnnouncer.h"

#include <endiveroad/SoftwareHistory.h>
#include <functional>
#include <string>

/// Which software may continue a stream that a caller takes up again.
namespace endiveroad::io {

class StreamResumptions {
public:
    /// Whether this process has learned of all servers lately.
    using IsFresh = std::function<bool()>;

    StreamResumptions(asio::io_context&, StreamOriginSources&, IsFresh);

    void onDirectory(const Directory& directory) { history_.onDirectory(directory, now()); }
    void onCoordinatorsChanged() { announcer_.onCoordinatorsChanged(); }

    /// The software that began the stream. Throws StreamNotResumableError if it is not known, or if the route leads to
    /// its service no longer. A process that knows no record of the stream concludes only from the registrations.
    asio::awaitable<SoftwareVersion> originOf(RouteDeclaration, CallerRequest, Instant deadline);

    /// The first event of an answer is about to be forwarded. The answer ends by the deadline.
    void onFirstEvent(const CallerRequest&, const SoftwareVersion&, Instant deadline);

    /// Number of streams whose origin this process knows.
    size_t size() const { return announcer_.size(); }

private:
    /// The version that all servers of the route's only service have run as long as a stream may last.
    std::optional<SoftwareVersion> provenBy(const RouteDeclaration&) const;

    StreamOriginAnnouncer announcer_;
    SoftwareHistory history_;
    IsFresh isFresh_;
};

} // namespace endiveroad::io
