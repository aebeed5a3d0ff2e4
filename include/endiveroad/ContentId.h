#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace endiveroad {

/// Fingerprint of what a request asks a backend server to do: its method, host, target and body. Two attempts at the
/// same work have the same fingerprint although their request ids, deadlines and other headers differ.
struct ContentId {
    uint64_t high = 0;
    uint64_t low = 0;

    auto operator<=>(const ContentId&) const = default;

    static ContentId of(std::string_view method, std::string_view host, std::string_view target, std::string_view body);

    /// Parses the form that text() gives. Throws BadRequestError.
    static ContentId parse(std::string_view text);

    /// 32 hexadecimal digits.
    std::string text() const;
};

} // namespace endiveroad
