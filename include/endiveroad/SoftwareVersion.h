#pragma once

#include <compare>
#include <string>

namespace endiveroad {

/// The software that a backend server runs. Pieces of one answer that two versions wrote do not fit together. Not to be
/// confused with the version of the weights that a replica has loaded.
struct SoftwareVersion {
    /// The same version of two services is different software.
    std::string service;
    /// As the server's registration states it; empty if it is not known.
    std::string version;

    auto operator<=>(const SoftwareVersion&) const = default;

    bool isKnown() const { return !version.empty(); }

    /// "service version", or "unknown".
    std::string text() const { return isKnown() ? service + " " + version : "unknown"; }
};

} // namespace endiveroad
