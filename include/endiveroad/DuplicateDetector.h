#pragma once

#include <cstdint>
#include <deque>
#include <endiveroad/RequestId.h>
#include <endiveroad/Time.h>
#include <map>
#include <string>
#include <unordered_set>
#include <utility>

namespace endiveroad {

/// Detects duplicate requests. Each id is remembered for the retention time; after that every id of the same entry with
/// the same or a lower sequence number counts as too old, so a duplicate is never taken for a first arrival. Memory is
/// bounded by the number of entries and by the requests of one retention time.
class DuplicateDetector {
public:
    enum class Arrival { First, Repeated, TooOld };

    /// Longest time by which an attempt may arrive after a later one of the same entry.
    static constexpr Duration retention = std::chrono::seconds(30);

    Arrival onArrival(const RequestId&, Instant now);

    /// Number of ids that are remembered.
    size_t size() const;

private:
    struct Sender {
        int64_t incarnation = 0;
        /// Highest sequence number whose id is no longer remembered; ids up to it are TooOld.
        uint64_t highestForgotten = 0;
        std::unordered_set<uint64_t> seen;
        std::deque<std::pair<Instant, uint64_t>> expiries;
    };

    static void removeExpired(Sender&, Instant now);

    std::map<std::string, Sender> senders_;
};

} // namespace endiveroad
