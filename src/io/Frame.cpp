#include "io/Frame.h"

#include "core/base/ByteCodec.h"

#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <xxhash.h>

namespace endiveroad::io {

namespace {

constexpr size_t checkedHeaderBytes = FrameHeader::size - sizeof(uint64_t);

uint64_t checksum(std::string_view header, std::string_view payload)
{
    const uint64_t seed = XXH3_64bits(header.data(), checkedHeaderBytes);
    return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

} // namespace

std::string encodeFrame(FrameHeader header, std::string_view payload)
{
    ByteWriter writer;
    writer.u8(FrameHeader::magic & 0xff);
    writer.u8(FrameHeader::magic >> 8);
    writer.u8(FrameHeader::protocolVersion);
    writer.u8(static_cast<uint8_t>(header.kind));
    writer.u32(static_cast<uint32_t>(header.type));
    writer.u32(static_cast<uint32_t>(payload.size()));
    writer.u32(header.budgetMs);
    writer.u64(header.correlation);
    writer.u64(static_cast<uint64_t>(header.timestamp.wallMs));
    writer.u32(header.timestamp.counter);
    writer.u32(header.echoMs);
    writer.u64(checksum(writer.bytes(), payload));
    std::string frame;
    frame.reserve(FrameHeader::size + payload.size());
    frame.append(writer.bytes());
    frame.append(payload);
    return frame;
}

FrameHeader decodeHeader(std::string_view bytes)
{
    ByteReader reader(bytes);
    const auto low = reader.u8();
    const auto high = reader.u8();
    if ((low | high << 8) != FrameHeader::magic)
        throw FrameInvalidError("not an endiveroad frame");
    const int version = reader.u8();
    if (version != FrameHeader::protocolVersion)
        throw FrameInvalidError(
            fmt::format("protocol version is {}; expected {}", version, FrameHeader::protocolVersion));
    FrameHeader header;
    const uint8_t kind = reader.u8();
    if (kind < static_cast<uint8_t>(FrameKind::Request) || kind > static_cast<uint8_t>(FrameKind::Part))
        throw FrameInvalidError(fmt::format("unknown frame kind {}", kind));
    header.kind = static_cast<FrameKind>(kind);
    header.type = static_cast<MessageType>(reader.u32());
    header.length = reader.u32();
    if (header.length > FrameHeader::maxLength)
        throw FrameInvalidError(fmt::format(
            "the frame has a payload of {} bytes; at most {} are allowed", header.length, FrameHeader::maxLength));
    header.budgetMs = reader.u32();
    header.correlation = reader.u64();
    header.timestamp.wallMs = static_cast<int64_t>(reader.u64());
    header.timestamp.counter = reader.u32();
    header.echoMs = reader.u32();
    header.checksum = reader.u64();
    return header;
}

void checkPayload(std::string_view headerBytes, std::string_view payload)
{
    if (decodeHeader(headerBytes).checksum != checksum(headerBytes, payload))
        throw FrameInvalidError("the frame's checksum does not match");
}

} // namespace endiveroad::io
