#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

/// Every failure has a code of one catalogue (ErrorCodes.def, docs/ERRORS.md) and a type of its own.
namespace endiveroad {

/// The catalogue of failures.
enum class ErrorCode {
#define ERROR_CODE(type, code, status, meaning) type,
#include <endiveroad/ErrorCodes.def>
#undef ERROR_CODE
};

/// Stable text of a code, as callers see it in JSON.
std::string_view codeText(ErrorCode) noexcept;

/// HTTP status that goes with a code.
int httpStatus(ErrorCode) noexcept;

/// One-sentence meaning of a code, as in docs/ERRORS.md.
std::string_view meaning(ErrorCode) noexcept;

/// Code for a stable text; OutcomeUnknown for a text that is not in the catalogue, since it promises nothing.
ErrorCode codeFromText(std::string_view) noexcept;

/// Base of all exceptions of this project: a code and a detail for people.
class Error : public std::runtime_error {
public:
    Error(ErrorCode code, const std::string& detail)
        : std::runtime_error(detail)
        , code_(code)
    {
    }

    ErrorCode code() const noexcept { return code_; }

private:
    ErrorCode code_;
};

/// The distinct exception type of one code.
template <ErrorCode errorCode>
class CodedError : public Error {
public:
    explicit CodedError(const std::string& detail)
        : Error(errorCode, detail)
    {
    }
};

#define ERROR_CODE(type, code, status, meaning) using type##Error = CodedError<ErrorCode::type>;
#include <endiveroad/ErrorCodes.def>
#undef ERROR_CODE

} // namespace endiveroad
