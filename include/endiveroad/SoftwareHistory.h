#pragma once

#include <endiveroad/Directory.h>
#include <endiveroad/SoftwareVersion.h>
#include <endiveroad/Time.h>
#include <map>
#include <optional>
#include <string>

namespace endiveroad {

/// Since when all registered servers of a service have run one and the same software. That proves what wrote a stream
/// that is younger, also to a process that has no record of it.
class SoftwareHistory {
public:
    /// Called with each new directory, and at once for the first one.
    void onDirectory(const Directory&, Instant now);

    /// The one version that the service's servers have run since `since`; nothing if there were others, if one is not
    /// known, or if this process has known the service for a shorter time.
    std::optional<SoftwareVersion> onlyVersion(const std::string& service, Instant since) const;

private:
    struct Uniform {
        SoftwareVersion software;
        Instant since;

        auto operator<=>(const Uniform&) const = default;
    };

    /// By service; a service with several or unknown versions is absent.
    std::map<std::string, Uniform> uniform_;
};

} // namespace endiveroad
