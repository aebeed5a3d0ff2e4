#pragma once

#include <endiveroad/Error.h>
#include <functional>
#include <optional>

namespace endiveroad::io {

/// Asked before each attempt at a caller's request. Returns the error with which the request is refused if it may not
/// be sent any more, such as KeyRefused once its API key is revoked. An empty function authorises every attempt.
using Authorisation = std::function<std::optional<Error>()>;

} // namespace endiveroad::io
