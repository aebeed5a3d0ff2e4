#include <endiveroad/Error.h>

#include <array>

namespace endiveroad {

namespace {

struct CatalogueRow {
    std::string_view text;
    int status;
    std::string_view meaning;
};

constexpr std::array catalogue {
#define ERROR_CODE(type, code, status, meaning) CatalogueRow { code, status, meaning },
#include <endiveroad/ErrorCodes.def>
#undef ERROR_CODE
};

const CatalogueRow& row(ErrorCode code) noexcept
{
    return catalogue[static_cast<size_t>(code)];
}

} // namespace

std::string_view codeText(ErrorCode code) noexcept
{
    return row(code).text;
}

int httpStatus(ErrorCode code) noexcept
{
    return row(code).status;
}

std::string_view meaning(ErrorCode code) noexcept
{
    return row(code).meaning;
}

ErrorCode codeFromText(std::string_view text) noexcept
{
    for (size_t i = 0; i < catalogue.size(); ++i) {
        if (catalogue[i].text == text)
            return static_cast<ErrorCode>(i);
    }
    return ErrorCode::OutcomeUnknown;
}

} // namespace endiveroad
