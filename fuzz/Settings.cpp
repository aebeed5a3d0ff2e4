#include <cstdlib>
#include <endiveroad/Error.h>
#include <endiveroad/Settings.h>

using namespace endiveroad;

/// A document is refused by its own error type or resolves to the same settings twice.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string_view document(reinterpret_cast<const char*>(data), size);
    try {
        if (Settings::fromDocument(document, 1) != Settings::fromDocument(document, 1))
            std::abort();
    } catch (const SettingsInvalidError&) {
        return 0;
    }
    return 0;
}
