#include "core/FixedSeed.h"
#include "core/base/ByteCodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endiveroad;

TEST_CASE("base64 texts have the digits of RFC 4648 without padding", "[base64]")
{
    CHECK(toBase64("").empty());
    CHECK(toBase64("f") == "Zg");
    CHECK(toBase64("fo") == "Zm8");
    CHECK(toBase64("foo") == "Zm9v");
    CHECK(toBase64("foobar") == "Zm9vYmFy");
    CHECK(toBase64("\xfb\xff\xbf") == "+/+/");
}

TEST_CASE("any bytes are the same after encoding and decoding", "[base64]")
{
    checkProperty("base64 round trip", 20261206, 500, [] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        RC_ASSERT(fromBase64(toBase64(bytes)) == bytes);
    });
}

TEST_CASE("a character that is no digit and an impossible length are rejected", "[base64]")
{
    for (const std::string_view text : { "Zm9-", "Zm 9", "Zg\n", "Z", "Zm9vY", "\xff\xff" })
        CHECK_THROWS_AS(fromBase64(text), ByteCodecError);
}
