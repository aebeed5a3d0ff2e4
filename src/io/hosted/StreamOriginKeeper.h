#pragma once

#include "io/hosted/StreamOriginPeers.h"

#include <endiveroad/StreamOrigins.h>
#include <string>

/// Keeps at a coordinator what entries announce of the origins of their streams, and tells it to other entries.
namespace endiveroad::io {

class StreamOriginKeeper {
public:
    explicit StreamOriginKeeper(StreamOriginPeers&);

    /// Applies an encoded wire::StreamOriginNotice. Throws FrameInvalidError.
    void onNotice(const std::string& sender, const std::string& payload);

    /// Answers an encoded wire::StreamOriginQuery. Throws FrameInvalidError.
    std::string answer(const std::string& query) const;

    /// A coordinator has connected, perhaps without memory: it gets the origins that it is to keep.
    void onCoordinatorUp(const std::string& coordinator);

    size_t size() const { return origins_.size(); }

private:
    StreamOriginPeers& peers_;
    StreamOrigins origins_;
};

} // namespace endiveroad::io
