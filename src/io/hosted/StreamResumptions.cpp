#include "io/hosted/StreamResumptions.h"

#include "io/Clock.h"
#include "io/ProcessMetrics.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <vector>

namespace endiveroad::io {

StreamResumptions::StreamResumptions(asio::io_context& context, StreamOriginSources& peers, IsFresh isFresh)
    : announcer_(context, peers)
    , isFresh_(std::move(isFresh))
{
}

asio::awaitable<SoftwareVersion> StreamResumptions::originOf(
    RouteDeclaration route, CallerRequest request, Instant deadline)
{
    processMetrics().count(Counter::StreamsTakenUp);
    std::optional<SoftwareVersion> origin;
    if (!request.resumedRequest.empty()) {
        const StreamKey key = StreamKey::of(request.resumedRequest);
        origin = co_await announcer_.find(key, deadline);
    }
    if (!origin)
        origin = provenBy(route);
    if (!origin) {
        processMetrics().count(Counter::StreamsUnknown);
        throw StreamNotResumableError("no process knows what began the stream");
    }
    if (!origin->isKnown()) {
        processMetrics().count(Counter::StreamsUnknownVersion);
        throw StreamNotResumableError("the version of the server that began the stream is not known");
    }
    const bool isRouted = std::any_of(route.services.begin(), route.services.end(),
        [&origin](const WeightedService& weighted) { return weighted.service == origin->service; });
    if (!isRouted) {
        processMetrics().count(Counter::StreamsWithoutServer);
        throw StreamNotResumableError("the route no longer leads to the service that began the stream");
    }
    co_return *origin;
}

std::optional<SoftwareVersion> StreamResumptions::provenBy(const RouteDeclaration& route) const
{
    if (route.services.size() != 1 || !isFresh_())
        return std::nullopt;
    return history_.onlyVersion(route.services.front().service, now() - route.timeout - StreamOrigins::takeUpTime);
}

void StreamResumptions::onFirstEvent(const CallerRequest& request, const SoftwareVersion& software, Instant deadline)
{
    const Instant expiry = deadline + StreamOrigins::takeUpTime;
    std::vector<StreamOrigin> origins { { StreamKey::of(request.id), software, expiry } };
    // A further request names the one that brought the first event, so that record has to last.
    if (!request.resumedRequest.empty())
        origins.push_back({ StreamKey::of(request.resumedRequest), software, expiry });
    announcer_.announce(origins);
}

} // namespace endiveroad::io
