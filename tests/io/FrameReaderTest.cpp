#include "io/FrameReader.h"

#include "core/FixedSeed.h"

#include <catch2/catch.hpp>
#include <endiveroad/Error.h>
#include <rapidcheck.h>

using namespace endiveroad;
using namespace endiveroad::io;

namespace {

std::string frameOf(uint64_t correlation, const std::string& payload)
{
    FrameHeader header;
    header.correlation = correlation;
    return encodeFrame(header, payload);
}

void feed(FrameReader& reader, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto space = reader.prepare();
        const size_t size = std::min(space.size(), bytes.size());
        std::copy_n(bytes.begin(), size, space.begin());
        reader.commit(size);
        bytes.remove_prefix(size);
    }
}

} // namespace

TEST_CASE("frames are returned complete and in order, however the byte stream is split", "[frame]")
{
    checkProperty("frames in pieces", 20261203, 2000, [] {
        const auto payloads = *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
        std::string bytes;
        for (size_t i = 0; i < payloads.size(); ++i)
            bytes += frameOf(i, payloads[i]);
        FrameReader reader;
        std::vector<std::string> received;
        std::string_view rest = bytes;
        while (!rest.empty()) {
            const auto size = *rc::gen::inRange<size_t>(1, rest.size() + 1);
            feed(reader, rest.substr(0, size));
            rest.remove_prefix(size);
            while (auto frame = reader.next()) {
                RC_ASSERT(frame->header.correlation == received.size());
                received.push_back(frame->payload);
            }
        }
        RC_ASSERT(received == payloads);
    });
}

TEST_CASE(
    "a frame larger than the read buffer is received, and one over the limit is rejected by its header", "[frame]")
{
    const std::string large(10 * FrameReader::minWritableBytes, 'x');
    FrameReader reader;
    feed(reader, frameOf(1, large) + frameOf(2, "next"));
    CHECK(reader.next()->payload == large);
    CHECK(reader.next()->payload == "next");
    CHECK_FALSE(reader.next());
    feed(reader, frameOf(3, large).substr(0, FrameHeader::size));
    CHECK_THROWS_AS(reader.next(1024), FrameInvalidError);
}

// Guards against peers that take memory by announcing frames that they do not send.
TEST_CASE("an announced frame takes memory only as its bytes arrive", "[frame]")
{
    const std::string payload(8U << 20, 'x');
    const std::string frame = frameOf(1, payload);
    FrameReader reader;
    feed(reader, std::string_view(frame).substr(0, FrameHeader::size));
    CHECK_FALSE(reader.next());
    CHECK(reader.prepare().size() <= 1U << 20);
    feed(reader, std::string_view(frame).substr(FrameHeader::size));
    CHECK(reader.next()->payload == payload);
    feed(reader, frameOf(2, "next"));
    CHECK(reader.next()->payload == "next");
    CHECK(reader.prepare().size() <= 4 * FrameReader::minWritableBytes);
}

TEST_CASE("a frame with one corrupted byte at any position is rejected", "[frame]")
{
    const std::string frame = frameOf(1, "payload");
    for (size_t i = 0; i < frame.size(); ++i) {
        std::string damaged = frame;
        damaged[i] = static_cast<char>(damaged[i] ^ 1);
        // A corrupted length is detected only after that many bytes have arrived.
        const bool isLength = i >= 8 && i < 12;
        FrameReader reader;
        feed(reader, damaged + std::string(isLength ? (1U << 24) + 256 : 256, '\0'));
        CHECK_THROWS_AS(reader.next(), FrameInvalidError);
    }
}
