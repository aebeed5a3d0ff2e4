#include "core/FixedSeed.h"

#include <catch2/catch.hpp>
#include <endiveroad/Error.h>
#include <endiveroad/EventStream.h>

using namespace endiveroad;

TEST_CASE("an event's id, data and other lines are parsed, and an incomplete event is not returned", "[stream]")
{
    EventStreamReader reader;
    const auto events = reader.feed("version: 7\nid: 3\ndata: a\ndata: b\n\nid:4\r\ndata:c\r\n\r\nid: 5\ndata: cut");
    REQUIRE(events.size() == 2);
    CHECK(events[0].id == 3);
    CHECK(events[0].data == "a\nb");
    CHECK(events[0].otherLines == std::vector<std::string> { "version: 7" });
    CHECK(events[1] == StreamEvent { 4, "c", {} });
    CHECK(reader.hasIncompleteEvent());
    CHECK(reader.feed("\n\n").size() == 1);
    CHECK_FALSE(reader.hasIncompleteEvent());
}

TEST_CASE("the events do not depend on how the stream is split into pieces", "[stream]")
{
    const std::string text = "id: 1\ndata: one\n\nx: y\nid: 2\ndata: two\ndata: three\n\n";
    EventStreamReader whole;
    const auto expected = whole.feed(text);
    checkProperty("pieces", 20261206, 500, [&](const std::vector<uint8_t>& sizes) {
        EventStreamReader reader;
        std::vector<StreamEvent> events;
        size_t position = 0;
        for (uint8_t size : sizes) {
            for (StreamEvent& event : reader.feed(std::string_view(text).substr(position, size % 9)))
                events.push_back(event);
            position = std::min(text.size(), position + size % 9);
        }
        for (StreamEvent& event : reader.feed(std::string_view(text).substr(position)))
            events.push_back(event);
        RC_ASSERT(events == expected);
    });
}

TEST_CASE("an event that never ends is given up, whether in one line or in many", "[stream]")
{
    const std::string filler(EventStreamReader::maxEventBytes / 4, 'x');
    for (const char* end : { "", "\n" }) {
        EventStreamReader reader;
        const std::string piece = "data: " + filler + end;
        for (int i = 0; i < 3; ++i)
            CHECK(reader.feed(piece).empty());
        CHECK_THROWS_AS(reader.feed(piece), AnswerBrokenError);
    }
    EventStreamReader reader;
    for (int i = 0; i < 8; ++i)
        CHECK(reader.feed("data: " + filler + "\n\n").size() == 1);
}
