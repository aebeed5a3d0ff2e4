#include "core/base/ByteCodec.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace endiveroad {

namespace iterators = boost::archive::iterators;

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
    using Encoder = iterators::base64_from_binary<iterators::transform_width<const char*, 6, 8>>;
    return std::string(Encoder(bytes.data()), Encoder(bytes.data() + bytes.size()));
}

std::string fromBase64(std::string_view text)
{
    using Decoder = iterators::transform_width<iterators::binary_from_base64<const char*>, 8, 6>;
    if (text.size() % 4 == 1)
        throw ByteCodecError("invalid length of a base64 text");
    const size_t size = text.size() * 6 / 8;
    std::string result;
    result.reserve(size);
    try {
        Decoder decoder(text.data());
        for (size_t i = 0; i < size; ++i)
            result.push_back(*decoder++);
    } catch (const std::exception&) {
        throw ByteCodecError("invalid character in a base64 text");
    }
    return result;
}

} // namespace endiveroad
