#include <algorithm>
#include <array>
#include <endiveroad/HttpHead.h>

namespace endiveroad {

namespace {

constexpr size_t byteValues = 256;

using ByteSet = std::array<bool, byteValues>;

/// ASCII letters and digits, and the bytes of the text.
constexpr ByteSet lettersDigitsAnd(std::string_view others)
{
    ByteSet bytes {};
    for (char character = 'a'; character <= 'z'; ++character)
        bytes[static_cast<unsigned char>(character)] = true;
    for (char character = 'A'; character <= 'Z'; ++character)
        bytes[static_cast<unsigned char>(character)] = true;
    for (char character = '0'; character <= '9'; ++character)
        bytes[static_cast<unsigned char>(character)] = true;
    for (char character : others)
        bytes[static_cast<unsigned char>(character)] = true;
    return bytes;
}

constexpr ByteSet visibleBytes(size_t end)
{
    ByteSet bytes {};
    for (size_t byte = '!'; byte < end; ++byte)
        bytes[byte] = byte != 0x7f;
    return bytes;
}

constexpr ByteSet withSpace(ByteSet bytes)
{
    bytes[' '] = true;
    bytes['\t'] = true;
    return bytes;
}

constexpr ByteSet without(ByteSet bytes, char character)
{
    bytes[static_cast<unsigned char>(character)] = false;
    return bytes;
}

/// RFC 9110, section 5.6.2.
constexpr ByteSet tokenBytes = lettersDigitsAnd("!#$%&'*+-.^_`|~");
/// RFC 9110, section 5.5, with the bytes from 0x80 on (obs-text), which recipients treat as opaque.
constexpr ByteSet valueBytes = withSpace(visibleBytes(byteValues));
/// Wider than RFC 3986 allows: clients send brackets, braces and bars unencoded, and those end no target.
constexpr ByteSet targetBytes = without(visibleBytes(0x7f), '#');
/// RFC 3986, section 3.2.2, with the colon of the port.
constexpr ByteSet hostBytes = lettersDigitsAnd("-._~%!$&'()*+;=:[]");

bool consistsOf(std::string_view text, const ByteSet& bytes) noexcept
{
    return std::all_of(
        text.begin(), text.end(), [&bytes](char character) { return bytes[static_cast<unsigned char>(character)]; });
}

bool isBlank(char character) noexcept
{
    return character == ' ' || character == '\t';
}

char lowerCase(char character) noexcept
{
    const bool isUpper = character >= 'A' && character <= 'Z';
    return isUpper ? static_cast<char>(character - 'A' + 'a') : character;
}

/// `name` is in lower case.
bool isNamed(std::string_view header, std::string_view name) noexcept
{
    return header.size() == name.size()
        && std::equal(header.begin(), header.end(), name.begin(), [](char a, char b) { return lowerCase(a) == b; });
}

/// Transfer-Encoding and Content-Length say where a body ends.
bool isFramingHeader(std::string_view name) noexcept
{
    return isNamed(name, "transfer-encoding") || isNamed(name, "content-length");
}

constexpr const char* framingFault
    = "a header states the framing of the body, which only the writer of the message knows";

} // namespace

bool isToken(std::string_view text) noexcept
{
    return !text.empty() && consistsOf(text, tokenBytes);
}

bool isFieldValue(std::string_view text) noexcept
{
    if (text.empty())
        return true;
    return !isBlank(text.front()) && !isBlank(text.back()) && consistsOf(text, valueBytes);
}

bool isOriginForm(std::string_view text) noexcept
{
    return text.starts_with('/') && consistsOf(text, targetBytes);
}

bool isHost(std::string_view text) noexcept
{
    return !text.empty() && consistsOf(text, hostBytes);
}

std::optional<std::string> headerFault(std::string_view name, std::string_view value)
{
    if (!isToken(name))
        return "the name of a header is empty or has a character that no name may have";
    if (!isFieldValue(value))
        return "the value of a header has a control character, or space at one of its ends";
    if (name.size() > maxHeaderNameBytes || value.size() > maxHeaderValueBytes)
        return "a header is too long";
    if (isNamed(name, "host") && !isHost(value))
        return "the header Host names no host";
    return std::nullopt;
}

std::optional<std::string> answerHeadFault(const HeaderFields& headers)
{
    for (const auto& [name, value] : headers) {
        auto fault = headerFault(name, value);
        if (!fault && isFramingHeader(name))
            fault = framingFault;
        if (fault)
            return fault;
    }
    return std::nullopt;
}

std::optional<std::string> requestHeadFault(const RequestHead& head)
{
    if (!isToken(head.method))
        return "the method is no token";
    if (!isOriginForm(head.target))
        return "the path does not begin with a slash, or has a fragment or a character other than visible ASCII";
    // RFC 9110, section 9.3.8.
    if (head.method == "TRACE" && head.bodyBytes > 0)
        return "a request with the method TRACE has a body";
    // RFC 9112, section 3.2.
    const auto hosts = std::count_if(
        head.headers.begin(), head.headers.end(), [](const auto& header) { return isNamed(header.first, "host"); });
    if (hosts > 1)
        return "there are several headers Host";
    return answerHeadFault(head.headers);
}

} // namespace endiveroad
