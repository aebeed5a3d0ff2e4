#pragma once

#include "io/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <endiveroad/ContentId.h>
#include <endiveroad/Directory.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Finds out whether a backend server ended while it had a request, as opposed to a lost answer or a broken network.
namespace endiveroad::io {

namespace asio = boost::asio;

/// A request that a server received and did not answer.
struct UnansweredRequest {
    std::string request;
    ContentId content;
    std::string server;
    Address address;

    auto operator<=>(const UnansweredRequest&) const = default;
};

class CrashDetector {
public:
    /// Time for a server's host to accept or refuse a connection.
    static constexpr Duration probeTimeout = std::chrono::milliseconds(100);

    /// Time for which a server whose address does not refuse connections is expected to register again, if it has
    /// ended.
    static constexpr Duration returnTime = std::chrono::seconds(15);

    /// Further requests to servers whose addresses do not refuse connections are not followed up.
    static constexpr size_t maxUndecided = 256;

    /// Called once for each request under which a server ended. `serverStart` names this start of the server; a later
    /// start under the same id has another name.
    using OnCrash = std::function<void(const UnansweredRequest&, const std::string& serverStart)>;

    using DirectorySource = std::function<std::shared_ptr<const Directory>()>;

    CrashDetector(HttpClient&, DirectorySource, OnCrash);

    /// Probes the server's address. A refused connection shows that the server has ended. Otherwise a later start at
    /// the same address shows it: the host may not answer, or something in front of the server may accept connections.
    asio::awaitable<void> inspect(UnansweredRequest);

    void onDirectory(const Directory&);

private:
    struct Undecided {
        UnansweredRequest request;
        /// ServerRecord::startedMs of the server.
        int64_t startedMs = 0;
        Instant expiry = never;
    };

    void reportCrash(const UnansweredRequest&, int64_t startedMs, const char* evidence);

    HttpClient& http_;
    DirectorySource directory_;
    OnCrash onCrash_;
    std::vector<Undecided> undecided_;
};

} // namespace endiveroad::io
