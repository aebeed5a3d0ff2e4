#include "io/hosted/WireOrigins.h"

#include "wire/Codec.h"

#include <algorithm>
#include <chrono>
#include <endiveroad/Error.h>
#include <map>

namespace endiveroad::io {

namespace {

/// Longest lifetime that is accepted from a peer.
constexpr std::chrono::hours maxLifetime { 1 };

int32_t lifetimeMs(const StreamOrigin& origin, Instant now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(origin.expiry - now);
    const std::chrono::milliseconds longest = maxLifetime;
    return static_cast<int32_t>(std::clamp<int64_t>(left.count(), 0, longest.count()));
}

std::string encodeNotice(const std::string& entry, const StreamOrigin* begin, const StreamOrigin* end, Instant now)
{
    std::map<SoftwareVersion, wire::StreamOriginGroup> groups;
    for (const StreamOrigin* origin = begin; origin != end; ++origin) {
        wire::StreamOriginGroup& group = groups[origin->software];
        group.keys += origin->key.encode();
        group.lifetimesMs.push_back(lifetimeMs(*origin, now));
    }
    wire::StreamOriginNotice notice;
    notice.entry = entry;
    for (auto& [software, group] : groups) {
        group.software = toWire(software);
        notice.groups.push_back(std::move(group));
    }
    return wire::encode(notice);
}

} // namespace

wire::SoftwareVersion toWire(const SoftwareVersion& software)
{
    wire::SoftwareVersion encoded;
    encoded.pool = software.service;
    encoded.version = software.version;
    return encoded;
}

SoftwareVersion fromWire(const wire::SoftwareVersion& encoded)
{
    return { encoded.pool, encoded.version };
}

std::vector<std::string> encodeOrigins(const std::string& entry, const std::vector<StreamOrigin>& origins, Instant now)
{
    std::vector<std::string> notices;
    for (size_t first = 0; first < origins.size(); first += maxOriginsPerNotice) {
        const size_t last = std::min(first + maxOriginsPerNotice, origins.size());
        notices.push_back(encodeNotice(entry, origins.data() + first, origins.data() + last, now));
    }
    return notices;
}

std::vector<StreamOrigin> decodeOrigins(const wire::StreamOriginNotice& notice, Instant now)
{
    std::vector<StreamOrigin> origins;
    for (const wire::StreamOriginGroup& group : notice.groups) {
        if (group.keys.size() != group.lifetimesMs.size() * StreamKey::encodedBytes)
            throw FrameInvalidError("a notice has not as many keys of streams as lifetimes");
        for (size_t i = 0; i < group.lifetimesMs.size(); ++i) {
            const std::string_view key = std::string_view(group.keys).substr(i * StreamKey::encodedBytes);
            const std::chrono::milliseconds longest = maxLifetime;
            const int64_t lifetime = std::clamp<int64_t>(group.lifetimesMs[i], 0, longest.count());
            origins.push_back({ StreamKey::decode(key.substr(0, StreamKey::encodedBytes)), fromWire(group.software),
                now + std::chrono::milliseconds(lifetime) });
        }
    }
    return origins;
}

} // namespace endiveroad::io
