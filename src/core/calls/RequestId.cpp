#include <endiveroad/RequestId.h>

#include <charconv>
#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad {

namespace {

template <typename Number>
bool readNumber(std::string_view text, Number& number)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

} // namespace

RequestId RequestId::parse(std::string_view text)
{
    const size_t second = text.rfind('/');
    const size_t first = second == std::string_view::npos || second == 0 ? second : text.rfind('/', second - 1);
    RequestId id;
    const bool isWhole = first != std::string_view::npos && first < second
        && readNumber(text.substr(first + 1, second - first - 1), id.incarnation)
        && readNumber(text.substr(second + 1), id.sequence);
    if (!isWhole)
        throw BadRequestError("the request id does not have the form entry/incarnation/sequence");
    id.entry = std::string(text.substr(0, first));
    return id;
}

std::string RequestId::text() const
{
    return fmt::format("{}/{}/{}", entry, incarnation, sequence);
}

} // namespace endiveroad
