#include <catch2/catch.hpp>
#include <endiveroad/Cursor.h>
#include <endiveroad/Error.h>

using namespace endiveroad;

TEST_CASE("a decoded cursor equals the encoded one", "[cursor]")
{
    Cursor cursor("job");
    cursor.receive(3, 77, 100, 5);
    cursor.receive(3, 77, 100, 99);
    cursor.receive(4, 78, 1, 0);
    const Cursor copy = Cursor::decode(cursor.encode(), "job");
    CHECK(copy == cursor);
    CHECK(copy.contains(3, 5));
    CHECK_FALSE(copy.contains(3, 6));
    CHECK(copy.isComplete(4));
    CHECK(copy.openSteps() == std::vector<StepNumber> { 3 });
}

TEST_CASE("a cursor that is truncated, altered or from another job is rejected", "[cursor]")
{
    Cursor cursor("job");
    cursor.receive(3, 77, 100, 5);
    const std::string text = cursor.encode();
    CHECK_THROWS_AS(Cursor::decode(text, "other"), CursorInvalidError);
    for (size_t length = 1; length < text.size(); ++length)
        CHECK_THROWS_AS(Cursor::decode(text.substr(0, length), "job"), CursorInvalidError);
    for (size_t i = 0; i < text.size(); ++i) {
        std::string altered = text;
        altered[i] = altered[i] == 'A' ? 'B' : 'A';
        CHECK_THROWS_AS(Cursor::decode(altered, "job"), CursorInvalidError);
    }
}
