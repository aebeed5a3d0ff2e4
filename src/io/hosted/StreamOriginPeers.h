#pragma once

#include <boost/asio/awaitable.hpp>
#include <endiveroad/Time.h>
#include <string>
#include <vector>

namespace endiveroad::io {

namespace asio = boost::asio;

/// The coordinators that keep the origins of streams for all entries.
class StreamOriginPeers {
public:
    virtual ~StreamOriginPeers() = default;

    /// Name of this process.
    virtual const std::string& ownName() const = 0;

    /// Names of the connected coordinators that stay.
    virtual std::vector<std::string> originKeepers() const = 0;

    /// Sends an encoded wire::StreamOriginNotice.
    virtual void sendOrigins(const std::string& coordinator, const std::string& notice) = 0;
};

/// The same for an entry, which also asks them.
class StreamOriginSources : public StreamOriginPeers {
public:
    /// Sends an encoded wire::StreamOriginQuery and returns the encoded answer. Throws an Error.
    virtual asio::awaitable<std::string> askOrigin(std::string coordinator, std::string query, Instant deadline) = 0;
};

} // namespace endiveroad::io
