#include <cstring>
#include <endiveroad/Error.h>
#include <endiveroad/StreamOrigins.h>
#include <xxhash.h>

namespace endiveroad {

StreamKey StreamKey::of(std::string_view requestId)
{
    const XXH128_hash_t hash = XXH3_128bits(requestId.data(), requestId.size());
    return { hash.high64, hash.low64 };
}

std::string StreamKey::encode() const
{
    std::string bytes(encodedBytes, '\0');
    std::memcpy(bytes.data(), &high, sizeof high);
    std::memcpy(bytes.data() + sizeof high, &low, sizeof low);
    return bytes;
}

StreamKey StreamKey::decode(std::string_view bytes)
{
    if (bytes.size() != encodedBytes)
        throw FrameInvalidError("the key of a stream has the wrong length");
    StreamKey key;
    std::memcpy(&key.high, bytes.data(), sizeof key.high);
    std::memcpy(&key.low, bytes.data() + sizeof key.high, sizeof key.low);
    return key;
}

void StreamOrigins::add(const std::string& entry, const StreamOrigin& origin, Instant now)
{
    removeExpired(now);
    if (origin.expiry <= now)
        return;
    Record record { origin.software, origin.expiry, entry };
    const auto known = records_.find(origin.key);
    if (known != records_.end()) {
        if (known->second.software.isKnown() && !record.software.isKnown())
            return;
        record.expiry = std::max(record.expiry, known->second.expiry);
        remove(known);
    }
    expiries_.emplace(record.expiry, origin.key);
    ++entryCounts_[entry];
    records_.emplace(origin.key, std::move(record));
    while (records_.size() > maxRecords)
        remove(records_.find(expiries_.begin()->second));
}

std::optional<SoftwareVersion> StreamOrigins::find(const StreamKey& key, Instant now) const
{
    const auto found = records_.find(key);
    if (found == records_.end() || found->second.expiry <= now)
        return std::nullopt;
    return found->second.software;
}

std::vector<StreamOrigin> StreamOrigins::ofEntry(const std::string& entry, Instant now) const
{
    std::vector<StreamOrigin> origins;
    for (const auto& [key, record] : records_) {
        if (record.entry == entry && record.expiry > now)
            origins.push_back({ key, record.software, record.expiry });
    }
    return origins;
}

std::set<std::string> StreamOrigins::entries() const
{
    std::set<std::string> names;
    for (const auto& [entry, count] : entryCounts_)
        names.insert(entry);
    return names;
}

void StreamOrigins::remove(std::map<StreamKey, Record>::iterator position)
{
    const auto count = entryCounts_.find(position->second.entry);
    if (--count->second == 0)
        entryCounts_.erase(count);
    expiries_.erase({ position->second.expiry, position->first });
    records_.erase(position);
}

void StreamOrigins::removeExpired(Instant now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now)
        remove(records_.find(expiries_.begin()->second));
}

} // namespace endiveroad
