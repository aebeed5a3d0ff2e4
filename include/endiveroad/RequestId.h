#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace endiveroad {

/// Identifies one attempt that an entry process sends to an agent. Within an incarnation an entry numbers its attempts
/// in ascending order and sends each at most once, so a second arrival of an id is a copy made in transit.
struct RequestId {
    std::string entry;
    int64_t incarnation = 0;
    uint64_t sequence = 0;

    auto operator<=>(const RequestId&) const = default;

    /// Parses "entry/incarnation/sequence", the form that text() gives. Throws BadRequestError.
    static RequestId parse(std::string_view text);

    std::string text() const;
};

} // namespace endiveroad
