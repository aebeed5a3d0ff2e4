#include "io/FrameReader.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

/// Memory that is reserved for a long frame before its bytes arrive.
constexpr size_t maxUnreceivedBytes = 1U << 20;

} // namespace

std::span<char> FrameReader::prepare()
{
    if (begin_ > 0) {
        std::copy(buffer_.begin() + static_cast<std::ptrdiff_t>(begin_),
            buffer_.begin() + static_cast<std::ptrdiff_t>(end_), buffer_.begin());
        end_ -= begin_;
        begin_ = 0;
    }
    // A sender that announces a long frame takes memory only for the bytes that it sends.
    const size_t grown = std::min(frameSize_, std::max(2 * end_, maxUnreceivedBytes));
    const size_t needed = std::max(grown, end_ + minWritableBytes);
    if (buffer_.size() < needed) {
        buffer_.resize(needed);
    } else if (buffer_.size() > 4 * needed) {
        buffer_.resize(needed);
        buffer_.shrink_to_fit();
    }
    return { buffer_.data() + end_, buffer_.size() - end_ };
}

std::optional<ReceivedFrame> FrameReader::next(uint32_t maxLength)
{
    if (available() < FrameHeader::size)
        return std::nullopt;
    const std::string_view bytes(buffer_.data() + begin_, available());
    const std::string_view head = bytes.substr(0, FrameHeader::size);
    const FrameHeader header = decodeHeader(head);
    if (header.length > maxLength)
        throw FrameInvalidError(
            fmt::format("the frame has a payload of {} bytes; at most {} are allowed here", header.length, maxLength));
    frameSize_ = FrameHeader::size + header.length;
    if (available() < frameSize_)
        return std::nullopt;
    const std::string_view payload = bytes.substr(FrameHeader::size, header.length);
    checkPayload(head, payload);
    ReceivedFrame frame { header, std::string(payload) };
    begin_ += frameSize_;
    frameSize_ = FrameHeader::size;
    return frame;
}

} // namespace endiveroad::io
