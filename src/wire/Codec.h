#pragma once

#include <endiveroad/Error.h>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

/// Thrift compact encoding of the structs in endiveroad.thrift.
namespace endiveroad::wire {

/// Largest string and container in a decoded message; limits how much memory a malformed one can allocate.
inline constexpr int32_t maxStringBytes = 64 << 20;
inline constexpr int32_t maxContainerElements = 1 << 20;

template <typename Struct>
std::string encode(const Struct& value)
{
    using namespace apache::thrift;
    auto buffer = std::make_shared<transport::TMemoryBuffer>();
    protocol::TCompactProtocolT<transport::TMemoryBuffer> protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes a struct; skips unknown fields. Throws FrameInvalidError if the bytes are cut short or malformed.
template <typename Struct>
Struct decode(std::string_view bytes)
{
    using namespace apache::thrift;
    try {
        auto* data = reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data()));
        auto buffer = std::make_shared<transport::TMemoryBuffer>(data, static_cast<uint32_t>(bytes.size()));
        protocol::TCompactProtocolT<transport::TMemoryBuffer> protocol(buffer, maxStringBytes, maxContainerElements);
        Struct value;
        value.read(&protocol);
        return value;
    } catch (const std::exception& error) {
        throw FrameInvalidError(std::string("message cannot be decoded: ") + error.what());
    }
}

} // namespace endiveroad::wire
