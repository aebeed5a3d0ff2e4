#pragma once

#include <endiveroad/StreamOrigins.h>
#include <endiveroad_types.h>
#include <string>
#include <vector>

/// Conversion of software versions and origins of streams to and from their wire types.
namespace endiveroad::io {

wire::SoftwareVersion toWire(const SoftwareVersion&);
SoftwareVersion fromWire(const wire::SoftwareVersion&);

/// Origins in one encoded notice; more of them are sent in several.
inline constexpr size_t maxOriginsPerNotice = 4096;

/// Encodes the origins of an entry's streams as notices; empty for the entry that sends them.
std::vector<std::string> encodeOrigins(const std::string& entry, const std::vector<StreamOrigin>&, Instant now);

/// The origins of a notice. Throws FrameInvalidError.
std::vector<StreamOrigin> decodeOrigins(const wire::StreamOriginNotice&, Instant now);

} // namespace endiveroad::io
