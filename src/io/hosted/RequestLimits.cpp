#include "io/hosted/RequestLimits.h"

#include "io/Log.h"

#include <fmt/format.h>

namespace endiveroad::io {

std::optional<ServerPermit> RequestLimits::tryTake(const ServerIncarnation& receiver, RequestPath path)
{
    return ServerPermit(receiver, path, limits_.contains(receiver.id));
}

void RequestLimits::onAnswer(const ReplicaAnswer& answer, const ServerPermit& permit)
{
    const std::string& server = permit.receiver().id;
    if (!answer.unknownLimitValue.empty())
        log(Event::LimitUnclear, { { "server", server }, { "value", answer.unknownLimitValue } });
    const auto known = limits_.find(server);
    const std::optional<double> before = known == limits_.end() ? std::nullopt : std::optional(known->second);
    if (answer.verdict == ReplicaVerdict::ServerMismatch || answer.requestLimit == before)
        return;
    log(Event::ServerLimited,
        { { "server", server }, { "limit", answer.requestLimit ? fmt::format("{}", *answer.requestLimit) : "" } });
    if (answer.requestLimit)
        limits_[server] = *answer.requestLimit;
    else
        limits_.erase(server);
}

} // namespace endiveroad::io
