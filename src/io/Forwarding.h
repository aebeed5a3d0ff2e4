#pragma once

#include "io/HttpClient.h"

/// Removal of hop-by-hop headers.
namespace endiveroad::io {

/// The headers that a proxy forwards: all but the hop-by-hop ones, those that the Connection header names, and those
/// that describe the framing of the body.
HeaderList forwardedHeaders(const HeaderList&);

} // namespace endiveroad::io
