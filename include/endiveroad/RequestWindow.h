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

/// Tells the first arrival of a request id from all later ones, for good: ids are remembered for a while, and once one
/// is forgotten every id of its entry up to it counts as too old. State is bounded by the entries' names and by the
/// requests of one retention time.
class RequestWindow {
public:
    enum class Arrival { First, Repeated, TooOld };

    /// Longest time by which an attempt may overtake an earlier one of the same entry.
    static constexpr Duration retention = std::chrono::seconds(30);

    Arrival onArrival(const RequestId&, Instant now);

    /// Ids remembered.
    size_t size() const;

private:
    struct Sender {
        int64_t incarnation = 0;
        uint64_t floor = 0;
        std::unordered_set<uint64_t> seen;
        std::deque<std::pair<Instant, uint64_t>> expiries;
    };

    static void forgetOld(Sender&, Instant now);

    std::map<std::string, Sender> senders_;
};

} // namespace endiveroad
