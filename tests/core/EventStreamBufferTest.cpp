#include "core/FixedSeed.h"

#include <catch2/catch.hpp>
#include <endiveroad/Error.h>
#include <endiveroad/EventStreamBuffer.h>

using namespace endiveroad;

// Guards against parts of events that reach callers, who can't go on with a stream that ends inside one.
TEST_CASE("whole events are taken as they came, with their number and last id", "[stream]")
{
    EventStreamBuffer buffer;
    const std::string whole = ": hello\n\nid: 3\ndata: a\n\ndata: b\r\n\r\n";
    buffer.append(whole + "id: 4\ndata: c");
    CHECK(buffer.takeWhole() == WholeEvents { whole, 2, 3 });
    CHECK(buffer.takeWhole() == WholeEvents {});
    CHECK(buffer.size() == 13);
    buffer.append("\n\n");
    CHECK(buffer.takeWhole() == WholeEvents { "id: 4\ndata: c\n\n", 1, 4 });
    CHECK(buffer.isEmpty());
}

// Guards against two readers of one format: one that looked for pairs of line ends did not know that these lines end an
// event, so that a piece that was passed on ended elsewhere than the events that were counted.
TEST_CASE("an empty line ends an event whatever the line ends before it are", "[stream]")
{
    for (const std::string event : { "id: 1\ndata: a\n\r\n", "id: 1\r\ndata: a\r\n\n", "id: 1\ndata: a\n\n" }) {
        EventStreamBuffer buffer;
        buffer.append(event + "id: 2");
        CHECK(buffer.takeWhole() == WholeEvents { event, 1, 1 });
    }
}

TEST_CASE("what is taken does not depend on how a stream is split into pieces", "[stream]")
{
    const std::string text = "id: 1\ndata: one\n\n\r\nx: y\nid: 2\r\ndata: two\r\n\r\n: end\n\nid: 3";
    EventStreamBuffer all;
    all.append(text);
    const WholeEvents expected = all.takeWhole();
    checkProperty("pieces of a buffer", 20261207, 500, [&](const std::vector<uint8_t>& sizes) {
        EventStreamBuffer buffer;
        WholeEvents taken;
        size_t position = 0;
        const auto append = [&](size_t size) {
            buffer.append(std::string_view(text).substr(position, size));
            position = std::min(text.size(), position + size);
            const WholeEvents more = buffer.takeWhole();
            taken.bytes += more.bytes;
            taken.count += more.count;
            taken.lastId = more.lastId ? more.lastId : taken.lastId;
        };
        for (const uint8_t size : sizes)
            append(size % 9);
        append(text.size());
        RC_ASSERT(taken == expected);
        RC_ASSERT(buffer.size() == text.size() - expected.bytes.size());
    });
}

// Guards against a server whose event never ends and that takes a process's core for the whole time of its stream: all
// bytes that were held were searched again for each piece.
TEST_CASE("each byte of a stream is looked at once", "[stream]")
{
    constexpr size_t pieceBytes = 1024;
    for (const char* end : { "", "\n" }) {
        EventStreamBuffer buffer;
        const std::string piece = std::string(pieceBytes, 'x') + end;
        size_t appendedBytes = 0;
        while (appendedBytes + piece.size() < EventStreamReader::maxEventBytes) {
            buffer.append(piece);
            appendedBytes += piece.size();
            REQUIRE(buffer.takeWhole().bytes.empty());
        }
        CHECK(buffer.inspectedBytes() == appendedBytes);
    }
}

// Guards against sound events that are lost with the one that is too long.
TEST_CASE("whole events before one that is too long can still be taken", "[stream]")
{
    EventStreamBuffer buffer;
    const std::string sound = "id: 7\ndata: a\n\n";
    CHECK_THROWS_AS(buffer.append(sound + std::string(EventStreamReader::maxEventBytes + 1, 'x')), AnswerBrokenError);
    CHECK(buffer.takeWhole() == WholeEvents { sound, 1, 7 });
    CHECK_FALSE(buffer.isEmpty());
}
