#pragma once

#include "io/HttpClient.h"

/// Which headers concern a message, and which only the connection on which it travels.
namespace endiveroad::io {

/// The headers that are handed on with a request or an answer: all but those of the connection, those that Connection
/// names, and the ones that describe how the body was framed.
HeaderList forwardedHeaders(const HeaderList&);

} // namespace endiveroad::io
