#pragma once

#include "io/Frame.h"

#include <optional>
#include <span>
#include <string>

namespace endiveroad::io {

/// A received frame whose checksum was verified.
struct ReceivedFrame {
    FrameHeader header;
    std::string payload;

    auto operator<=>(const ReceivedFrame&) const = default;
};

/// Splits a byte stream into frames; one read from a socket may contain many. Buffers the bytes from the first frame
/// that next() has not returned yet.
class FrameReader {
public:
    static constexpr size_t minWritableBytes = 16U << 10;

    /// Writable memory to read into; never empty. It is valid until the next call of any member function.
    std::span<char> prepare();

    /// Adds the first bytes of the memory that prepare() returned last to the buffered data.
    void commit(size_t bytes) { end_ += bytes; }

    /// Returns the next complete frame, or nothing if more bytes are needed. Throws FrameInvalidError for an invalid
    /// frame, and as soon as the header is complete for a payload longer than maxLength.
    std::optional<ReceivedFrame> next(uint32_t maxLength = FrameHeader::maxLength);

private:
    size_t available() const { return end_ - begin_; }

    std::string buffer_;
    size_t begin_ = 0;
    size_t end_ = 0;
    /// Size of the frame being received; the header's size until the header is complete.
    size_t frameSize_ = FrameHeader::size;
};

} // namespace endiveroad::io
