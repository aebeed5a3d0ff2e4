#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

/// Error codes (ErrorCodes.def, docs/ERRORS.md), with one exception type for each.
namespace endiveroad {

/// All error codes.
enum class ErrorCode {
#define ERROR_CODE(type, code, status, meaning) type,
#include <endiveroad/ErrorCodes.def>
#undef ERROR_CODE
};

/// Stable text of a code, as sent to callers in JSON.
std::string_view codeText(ErrorCode) noexcept;

/// HTTP status of an answer with this code.
int httpStatus(ErrorCode) noexcept;

/// One-sentence meaning of a code, as in docs/ERRORS.md.
std::string_view meaning(ErrorCode) noexcept;

/// Code of a stable text. An unlisted text gives OutcomeUnknown, which promises nothing about whether the request was
/// run.
ErrorCode codeFromText(std::string_view) noexcept;

/// Base of all exceptions of this project: a code, and a detail message for people.
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

/// The exception type of one code.
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
