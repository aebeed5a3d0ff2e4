#include "core/base/ByteCodec.h"

#include <cstdlib>
#include <endiveroad/Cursor.h>
#include <endiveroad/Error.h>
#include <xxhash.h>

using namespace endiveroad;

namespace {

constexpr std::string_view job = "job";

/// The text of a cursor that has the given content behind a right head and before a right checksum.
std::string sealed(std::string_view content)
{
    ByteWriter writer;
    writer.u8(1);
    writer.u64(XXH3_64bits(job.data(), job.size()));
    writer.raw(content);
    writer.u64(XXH3_64bits(writer.bytes().data(), writer.bytes().size()));
    return toBase64(writer.bytes());
}

void check(const std::string& text)
{
    try {
        const Cursor cursor = Cursor::decode(text, std::string(job));
        if (Cursor::decode(cursor.encode(), std::string(job)) != cursor)
            std::abort();
    } catch (const CursorInvalidError&) {
        return;
    }
}

} // namespace

/// A text is either refused or a cursor whose own text form reads back as the same cursor.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    check(text);
    check(sealed(text));
    return 0;
}
