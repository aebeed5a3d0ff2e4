#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Grammar of the heads of HTTP/1.1 messages (RFC 9110, RFC 9112). Text that did not come through an HTTP parser, from
/// JSON, the store, the settings or another process, may hold anything; written into a head without a check, it can end
/// the message and begin another, or give it another framing.
namespace endiveroad {

/// Method, name of a header.
bool isToken(std::string_view) noexcept;

/// Value of a header; may be empty. Space at its ends is no part of a value, so a value with it would arrive changed.
bool isFieldValue(std::string_view) noexcept;

/// Path with an optional query: visible ASCII from a slash on, without a fragment.
bool isOriginForm(std::string_view) noexcept;

/// Host with an optional port.
bool isHost(std::string_view) noexcept;

/// Longest name and value of a header that are written, in bytes.
inline constexpr size_t maxHeaderNameBytes = 1000;
inline constexpr size_t maxHeaderValueBytes = 64000;

/// Names and values in their order.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// What a request is about to be written with. Whoever writes it adds the framing headers, and Host if there is none.
struct RequestHead {
    std::string_view method;
    std::string_view target;
    const HeaderFields& headers;
    size_t bodyBytes = 0;
};

/// Why a header cannot be written; nothing if it can. Like the other reasons it quotes no text of the message. A header
/// that states the framing of a body is no fault here.
std::optional<std::string> headerFault(std::string_view name, std::string_view value);

/// Why a request cannot be written; nothing if it can.
std::optional<std::string> requestHeadFault(const RequestHead&);

/// Why an answer cannot be written with these headers; nothing if it can.
std::optional<std::string> answerHeadFault(const HeaderFields&);

} // namespace endiveroad
