#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

/// Little-endian binary encoding and base64, for compact opaque values such as the cursor.
namespace endiveroad {

/// Thrown for input that is truncated or no valid base64.
class ByteCodecError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Appends fixed-width little-endian integers and raw bytes.
class ByteWriter {
public:
    void u8(uint8_t value) { integer(value, 1); }
    void u32(uint32_t value) { integer(value, 4); }
    void u64(uint64_t value) { integer(value, 8); }
    void raw(std::string_view bytes) { bytes_.append(bytes); }

    const std::string& bytes() const { return bytes_; }

private:
    void integer(uint64_t value, int width);

    std::string bytes_;
};

/// Reads what ByteWriter wrote. Reading past the end throws ByteCodecError.
class ByteReader {
public:
    explicit ByteReader(std::string_view bytes)
        : bytes_(bytes)
    {
    }

    uint8_t u8() { return static_cast<uint8_t>(integer(1)); }
    uint32_t u32() { return static_cast<uint32_t>(integer(4)); }
    uint64_t u64() { return integer(8); }
    std::string_view raw(size_t size);

    size_t position() const { return position_; }
    size_t remaining() const { return bytes_.size() - position_; }

private:
    uint64_t integer(int width);

    std::string_view bytes_;
    size_t position_ = 0;
};

/// Base64 without padding.
std::string toBase64(std::string_view bytes);

/// Decodes what toBase64() returned. Throws ByteCodecError.
std::string fromBase64(std::string_view text);

} // namespace endiveroad
