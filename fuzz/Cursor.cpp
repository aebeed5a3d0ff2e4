#include <cstdlib>
#include <endiveroad/Cursor.h>
#include <endiveroad/Error.h>

using namespace endiveroad;

/// A text is either refused or a cursor whose own text form reads back as the same cursor.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    try {
        const Cursor cursor = Cursor::decode(text, "job");
        if (Cursor::decode(cursor.encode(), "job") != cursor)
            std::abort();
    } catch (const CursorInvalidError&) {
        return 0;
    }
    return 0;
}
