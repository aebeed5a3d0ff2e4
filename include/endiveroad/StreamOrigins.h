#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/SoftwareVersion.h>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Which software began which event stream, so that only the same software continues it.
namespace endiveroad {

/// Hash of the id of the caller's request that brought the first event of a stream. Its size does not depend on the id.
struct StreamKey {
    uint64_t high = 0;
    uint64_t low = 0;

    auto operator<=>(const StreamKey&) const = default;

    static constexpr size_t encodedBytes = 16;

    static StreamKey of(std::string_view requestId);

    std::string encode() const;
    /// Throws FrameInvalidError unless there are encodedBytes.
    static StreamKey decode(std::string_view bytes);
};

/// The software that wrote the first event of a stream. An unknown version is recorded too: nobody needs to look
/// further.
struct StreamOrigin {
    StreamKey key;
    SoftwareVersion software;
    /// When no caller takes the stream up any more.
    Instant expiry = never;

    auto operator<=>(const StreamOrigin&) const = default;
};

/// The origins that one process knows, by the entry that began the streams. A record lives as long as its stream and
/// takeUpTime; there are at most maxRecords.
class StreamOrigins {
public:
    /// Time after the end of an answer in which its caller may take the stream up again.
    static constexpr Duration takeUpTime = std::chrono::seconds(30);

    /// Beyond this number, the records that expire first are forgotten.
    static constexpr size_t maxRecords = 100'000;

    /// Of two records of a stream, the one that expires later counts; a known version is never replaced by an unknown
    /// one.
    void add(const std::string& entry, const StreamOrigin&, Instant now);

    /// Nothing if the stream is not known.
    std::optional<SoftwareVersion> find(const StreamKey&, Instant now) const;

    /// The records of the streams that the entry began.
    std::vector<StreamOrigin> ofEntry(const std::string& entry, Instant now) const;

    /// Names of the entries that began streams.
    std::set<std::string> entries() const;

    size_t size() const { return records_.size(); }

private:
    struct Record {
        SoftwareVersion software;
        Instant expiry;
        /// Key in entryCounts_.
        std::string entry;
    };

    void remove(std::map<StreamKey, Record>::iterator);
    void removeExpired(Instant now);

    std::map<StreamKey, Record> records_;
    std::set<std::pair<Instant, StreamKey>> expiries_;
    /// Number of records by entry.
    std::map<std::string, size_t> entryCounts_;
};

} // namespace endiveroad
