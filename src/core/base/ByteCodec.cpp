#include "core/base/ByteCodec.h"

#include <array>

namespace endiveroad {

namespace {

constexpr std::string_view base64Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Value of each character; -1 for one that is no digit. Padding has the value 0.
constexpr std::array<int, 256> makeBase64Values()
{
    std::array<int, 256> values {};
    values.fill(-1);
    for (size_t i = 0; i < base64Digits.size(); ++i)
        values[static_cast<uint8_t>(base64Digits[i])] = static_cast<int>(i);
    values[static_cast<uint8_t>('=')] = 0;
    return values;
}

constexpr std::array<int, 256> base64Values = makeBase64Values();

} // namespace

void ByteWriter::integer(uint64_t value, int width)
{
    for (int i = 0; i < width; ++i)
        bytes_.push_back(static_cast<char>(value >> (8 * i)));
}

std::string_view ByteReader::raw(size_t size)
{
    if (remaining() < size)
        throw ByteCodecError("unexpected end of input");
    const std::string_view result = bytes_.substr(position_, size);
    position_ += size;
    return result;
}

uint64_t ByteReader::integer(int width)
{
    const std::string_view source = raw(static_cast<size_t>(width));
    uint64_t value = 0;
    for (int i = width - 1; i >= 0; --i)
        value = value << 8 | static_cast<uint8_t>(source[static_cast<size_t>(i)]);
    return value;
}

std::string toBase64(std::string_view bytes)
{
    std::string result;
    result.reserve((bytes.size() * 8 + 5) / 6);
    uint32_t buffer = 0;
    int bits = 0;
    for (const char byte : bytes) {
        buffer = buffer << 8 | static_cast<uint8_t>(byte);
        for (bits += 8; bits >= 6; bits -= 6)
            result.push_back(base64Digits[buffer >> (bits - 6) & 0x3f]);
    }
    if (bits > 0)
        result.push_back(base64Digits[buffer << (6 - bits) & 0x3f]);
    return result;
}

std::string fromBase64(std::string_view text)
{
    if (text.size() % 4 == 1)
        throw ByteCodecError("invalid length of a base64 text");
    std::string result;
    result.reserve(text.size() * 6 / 8);
    uint32_t buffer = 0;
    int bits = 0;
    for (const char digit : text) {
        const int value = base64Values[static_cast<uint8_t>(digit)];
        if (value < 0)
            throw ByteCodecError("invalid character in a base64 text");
        buffer = buffer << 6 | static_cast<uint32_t>(value);
        bits += 6;
        if (bits < 8)
            continue;
        bits -= 8;
        result.push_back(static_cast<char>(buffer >> bits & 0xff));
    }
    return result;
}

} // namespace endiveroad
