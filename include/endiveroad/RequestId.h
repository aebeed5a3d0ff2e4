#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace endiveroad {

/// Identity of one attempt that an entry sends to an agent. An entry numbers its attempts upwards within an incarnation
/// and sends each at most once, so a second arrival of the same id is a copy.
struct RequestId {
    std::string entry;
    int64_t incarnation = 0;
    uint64_t sequence = 0;

    auto operator<=>(const RequestId&) const = default;

    /// Reads "entry/incarnation/sequence". Throws BadRequestError.
    static RequestId parse(std::string_view text);

    std::string text() const;
};

} // namespace endiveroad
