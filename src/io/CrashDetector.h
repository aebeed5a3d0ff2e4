#pragma once

#include "io/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <endiveroad/ContentId.h>
#include <endiveroad/CrashRegister.h>
#include <endiveroad/Directory.h>
#include <endiveroad/LeavingServers.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Finds out whether a backend server ended while it had a request, as opposed to a lost answer or a broken network.
namespace endiveroad::io {

namespace asio = boost::asio;

/// One start of a server. A later start at the same address is another.
struct ServerStart {
    Address address;
    /// ServerRecord::startedMs; 0 if it is not known.
    int64_t startedMs = 0;

    auto operator<=>(const ServerStart&) const = default;

    static ServerStart of(const ServerRecord& server) { return { server.address, server.startedMs }; }
    std::string text() const;
};

/// A request that was sent to a server.
struct ServerAttempt {
    std::string request;
    ContentId content;
    /// Id of the server.
    std::string server;
    ServerStart start;
    Instant sentAt;
    ContentKind kind = ContentKind::Call;

    auto operator<=>(const ServerAttempt&) const = default;

    ServerIncarnation receiver() const { return { server, start.startedMs }; }
};

class CrashDetector {
public:
    /// Time for a server's host to accept or refuse a connection.
    static constexpr Duration probeTimeout = std::chrono::milliseconds(100);

    /// Time for which a server whose address does not refuse connections is expected to register again, if it has
    /// ended.
    static constexpr Duration returnTime = std::chrono::seconds(15);

    /// Further attempts at a server whose address does not refuse connections are not followed up.
    static constexpr size_t maxUndecided = 256;

    /// Called once for each attempt under which a server ended.
    using OnCrash = std::function<void(const ServerAttempt&)>;

    using DirectorySource = std::function<std::shared_ptr<const Directory>()>;

    CrashDetector(HttpClient&, DirectorySource, OnCrash);

    /// The server broke the attempt off without an answer. Only attempts that the server had when it broke off the
    /// first one after its last answer are taken for causes of its end; later ones found it gone. Probes the server's
    /// address. A refused connection shows that the server has ended. Otherwise a later start at the same address shows
    /// it, since something in front of the server may accept connections; or an answer of another server there; or, if
    /// the host does not answer, the removal of the registration.
    asio::awaitable<void> inspect(ServerAttempt);

    /// The server's address refused a connection, which shows the same as a probe.
    void onConnectionRefused(const ServerStart&);

    /// The server answered something, so it has not ended under the attempts that it broke off before.
    void onServerAnswered(const ServerStart& start) { breaks_.erase(start); }

    /// The start of the server that is registered at the address.
    ServerStart startAt(const Address&) const;

    void onDirectory(const Directory&);

private:
    /// An attempt under which a server may have ended.
    struct Undecided {
        ServerAttempt attempt;
        bool isHostSilent = false;
    };

    /// What a server has broken off since its last answer.
    struct Breaks {
        Instant firstAt;
        Instant expiry;
        std::vector<Undecided> undecided;
    };

    /// What shows that the server has ended under the attempt; null if nothing does.
    static const char* evidenceOf(const Undecided&, const Directory&);
    /// Reports the attempts under which the directory shows that their servers have ended.
    void decide(Breaks&, const Directory&);
    void removeExpired();
    void reportCrash(const ServerAttempt&, const char* evidence);

    HttpClient& http_;
    DirectorySource directory_;
    OnCrash onCrash_;
    std::map<ServerStart, Breaks> breaks_;
};

} // namespace endiveroad::io
