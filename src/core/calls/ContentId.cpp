#include <charconv>
#include <endiveroad/ContentId.h>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <xxhash.h>

namespace endiveroad {

namespace {

constexpr size_t digitsPerHalf = 16;
constexpr int hexadecimal = 16;

uint64_t parseHalf(std::string_view text)
{
    uint64_t half = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), half, hexadecimal);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size())
        throw BadRequestError("the content id is not a hexadecimal number");
    return half;
}

} // namespace

ContentId ContentId::of(std::string_view method, std::string_view host, std::string_view target, std::string_view body)
{
    const std::string head = fmt::format("{} {}{}", method, host, target);
    const uint64_t seed = XXH3_64bits(head.data(), head.size());
    const XXH128_hash_t hash = XXH3_128bits_withSeed(body.data(), body.size(), seed);
    return { hash.high64, hash.low64 };
}

ContentId ContentId::parse(std::string_view text)
{
    if (text.size() != 2 * digitsPerHalf)
        throw BadRequestError("the content id does not have 32 digits");
    return { parseHalf(text.substr(0, digitsPerHalf)), parseHalf(text.substr(digitsPerHalf)) };
}

std::string ContentId::text() const
{
    return fmt::format("{:016x}{:016x}", high, low);
}

} // namespace endiveroad
