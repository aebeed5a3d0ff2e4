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
/// the same or a lower sequence number counts as too old, so a duplicate is never taken for a first arrival. Ids of
/// an earlier incarnation of the entry than the latest one seen are too old as well. Memory grows with the number of
/// entry processes and with the requests that each sends in one retention time.
class DuplicateDetector {
public:
    enum class Arrival { First, Duplicate, TooOld };

    /// Must exceed the longest time by which an attempt may arrive after a later one of the same entry. An attempt that
    /// arrives later than that may count as too old, although it is no duplicate.
    static constexpr Duration retention = std::chrono::seconds(30);

    Arrival onArrival(const RequestId&, Instant now);

    /// Number of ids that are remembered.
    size_t size() const;

private:
    /// What is known of one entry process.
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
