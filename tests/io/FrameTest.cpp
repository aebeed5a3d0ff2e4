#include "io/Frame.h"

#include <catch2/catch.hpp>
#include <endiveroad/Error.h>

using namespace endiveroad;
using namespace endiveroad::io;

TEST_CASE("a frame with a wrong checksum, protocol version or length is rejected", "[frame]")
{
    FrameHeader header;
    header.kind = FrameKind::Request;
    header.type = MessageType::Call;
    header.correlation = 7;
    header.timestamp = { 1'700'000'000'123, 9 };
    const std::string frame = encodeFrame(header, "payload");
    const std::string head = frame.substr(0, FrameHeader::size);
    CHECK(decodeHeader(head).correlation == 7);
    CHECK(decodeHeader(head).timestamp == header.timestamp);
    CHECK_NOTHROW(checkPayload(head, "payload"));
    CHECK_THROWS_AS(checkPayload(head, "paylaod"), FrameInvalidError);
    std::string otherVersion = head;
    otherVersion[2] = 9;
    CHECK_THROWS_AS(decodeHeader(otherVersion), FrameInvalidError);
    std::string tooLong = head;
    tooLong[11] = '\x7f';
    CHECK_THROWS_AS(decodeHeader(tooLong), FrameInvalidError);
}
