#pragma once

#include "io/Frame.h"

#include <optional>
#include <span>
#include <string>

namespace endiveroad::io {

/// A frame as received, checked.
struct ReceivedFrame {
    FrameHeader header;
    std::string payload;

    auto operator<=>(const ReceivedFrame&) const = default;
};

/// Cuts a stream of bytes into frames, so that one read from a socket may bring many. Holds at most one frame that is
/// not whole, beside what was read behind it.
class FrameReader {
public:
    static constexpr size_t minRoom = 16U << 10;

    /// Room to read into; never empty. It is valid until the next call of any function.
    std::span<char> room();

    /// Takes the first bytes of the room as read.
    void commit(size_t bytes) { end_ += bytes; }

    /// Next whole frame, if there is one. Throws FrameInvalidError, also for a frame longer than maxLength as soon as
    /// its header is there.
    std::optional<ReceivedFrame> next(uint32_t maxLength = FrameHeader::maxLength);

private:
    size_t available() const { return end_ - begin_; }

    std::string buffer_;
    size_t begin_ = 0;
    size_t end_ = 0;
    /// Bytes of the frame that is being received, as far as its header tells.
    size_t wanted_ = FrameHeader::size;
};

} // namespace endiveroad::io
