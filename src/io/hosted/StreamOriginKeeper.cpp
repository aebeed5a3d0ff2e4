#include "io/hosted/StreamOriginKeeper.h"

#include "io/Clock.h"
#include "io/hosted/StreamOriginAnnouncer.h"
#include "io/hosted/WireOrigins.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Rendezvous.h>

namespace endiveroad::io {

StreamOriginKeeper::StreamOriginKeeper(StreamOriginPeers& peers)
    : peers_(peers)
{
}

void StreamOriginKeeper::onNotice(const std::string& sender, const std::string& payload)
{
    const auto notice = wire::decode<wire::StreamOriginNotice>(payload);
    const std::string& entry = notice.entry.empty() ? sender : notice.entry;
    for (const StreamOrigin& origin : decodeOrigins(notice, now()))
        origins_.add(entry, origin, now());
}

std::string StreamOriginKeeper::answer(const std::string& payload) const
{
    const auto query = wire::decode<wire::StreamOriginQuery>(payload);
    const auto software = origins_.find(StreamKey::decode(query.key), now());
    wire::StreamOriginAnswer answer;
    answer.isKnown = software.has_value();
    if (software)
        answer.software = toWire(*software);
    return wire::encode(answer);
}

void StreamOriginKeeper::onCoordinatorUp(const std::string& coordinator)
{
    std::vector<std::string> keepers = peers_.originKeepers();
    keepers.push_back(peers_.ownName());
    for (const std::string& entry : origins_.entries()) {
        const auto owners = rendezvousOwners(entry, keepers, StreamOriginAnnouncer::keeperCount);
        if (std::find(owners.begin(), owners.end(), coordinator) == owners.end())
            continue;
        for (const std::string& notice : encodeOrigins(entry, origins_.ofEntry(entry, now()), now()))
            peers_.sendOrigins(coordinator, notice);
    }
}

} // namespace endiveroad::io
