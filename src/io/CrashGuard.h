#pragma once

#include "io/CrashDetector.h"
#include "io/PeerConnection.h"

#include <endiveroad/CrashRegister.h>
#include <endiveroad/Error.h>
#include <endiveroad_types.h>
#include <optional>
#include <random>
#include <set>
#include <string>

/// Keeps requests that crash backend servers from reaching more of them, together with all other processes.
namespace endiveroad::io {

/// The request's content crashed servers and is not sent to any before retryAt.
class ContentBlockedError : public PoisonRequestError {
public:
    ContentBlockedError(const ContentId& content, Instant retryAt);

    Instant retryAt() const { return retryAt_; }

private:
    Instant retryAt_;
};

/// What a process does with news of crashes.
class CrashListener {
public:
    virtual ~CrashListener() = default;

    /// Sends an encoded wire::CrashNotice to the connected peers, without the one that it came from; null if it came
    /// from none.
    virtual void publishCrashes(const std::string& notice, const PeerConnection* origin) = 0;

    /// A record has changed, here or in another process.
    virtual void onCrashRecord(const CrashRecord&) { }
};

class CrashGuard {
public:
    /// Pause, drawn at random, before a suspect is sent to another server. Requests that were hit by the same crashes
    /// finish elsewhere meanwhile.
    static constexpr Duration minSuspectPause = std::chrono::milliseconds(50);
    static constexpr Duration maxSuspectPause = std::chrono::milliseconds(150);

    /// Interval at which a request looks for the outcome of a trial.
    static constexpr Duration trialCheckInterval = std::chrono::milliseconds(25);

    CrashGuard(HttpClient&, CrashDetector::DirectorySource, CrashListener&, uint64_t seed);

    /// Asked before each attempt at a server. True if the content may be sent now. Otherwise this process may have
    /// announced a trial, which a later call sends.
    bool admit(const ContentId&, const std::string& server);

    /// admit() that waits until the deadline while a trial is announced here or decides on the content.
    asio::awaitable<bool> admitUntil(ContentId, std::string server, Instant deadline);

    /// Server for which this process has announced a trial of the content; admit() admits it for no other.
    std::optional<std::string> announcedServer(const ContentId&) const;

    /// When a request that is not admitted yet should ask again.
    Instant nextCheckAt(const ContentId&) const;

    /// End of the content's block; nothing if it is not blocked. A content whose first trial is due or under way is
    /// not.
    std::optional<Instant> blockedUntil(const ContentId&) const;

    /// True while the content is held back until the outcome of its first trial is known.
    bool isPending(const ContentId&) const;

    /// When a request whose last server has ended may be sent to the next one.
    Instant nextAttemptAt(const ContentId&);

    /// Servers that a suspect should not be sent to, because they have another one; empty if the content is none.
    std::set<std::string> serversToAvoid(const ContentId&) const;

    /// True if the server has another content that may end it while the content is a suspect.
    bool isTakenByOther(const ContentId&, const std::string& server) const;

    /// Servers that may end under a trial of another content; other requests keep away from them if they can.
    std::set<std::string> serversOnTrial(const ContentId&) const;

    bool isSuspect(const ContentId& content) const { return register_.isSuspect(content); }

    /// The start of the server that is registered at the address.
    ServerStart startAt(const Address& address) const { return detector_.startAt(address); }

    /// An attempt was sent; onEnd() follows once the server can no longer end under it.
    void onStart(const ServerAttempt& attempt) { register_.onStart(attempt.content, attempt.server); }
    void onEnd(const ServerAttempt& attempt) { register_.onEnd(attempt.content, attempt.server); }

    /// The server answered the attempt, whatever the status.
    void onAnswered(const ServerAttempt&);

    /// The server has not run the attempt and said so.
    void onRefused(const ServerAttempt&);

    /// Another server answered the attempt.
    void onMisdirected(const ServerAttempt&);

    /// The attempt has not reached the server.
    void onNotSent(const ServerAttempt&);

    /// The server broke the attempt off before its answer began. Finds out whether it has ended, and counts the crash
    /// if it has. Call before onEnd().
    asio::awaitable<void> inspect(ServerAttempt attempt) { return detector_.inspect(std::move(attempt)); }

    /// A connection to the server was refused.
    void onConnectionRefused(const ServerAttempt& attempt) { detector_.onConnectionRefused(attempt.start); }

    void onDirectory(const Directory& directory) { detector_.onDirectory(directory); }

    /// Applies an encoded wire::CrashNotice of a peer, and sends what it changes here on to the other peers.
    void onNotice(const PeerConnection& origin, const std::string& payload);

    CrashRecord record(const ContentId& content) const { return register_.record(content); }

    /// Applies a record from the store.
    void restore(const CrashRecord&);

    /// All records as an encoded wire::CrashNotice for a peer that has just connected; nothing if there are none.
    std::optional<std::string> encodeAll() const;

    size_t blockedCount() const;

private:
    void onCrash(const ServerAttempt&);
    void endTrial(const ServerAttempt&, bool wasReceived);
    /// Tells the listener that the record of the content has changed here.
    void publish(const ContentId&);
    void tellPeers(const CrashRecord&, const PeerConnection* origin);

    CrashListener& listener_;
    CrashRegister register_;
    CrashDetector detector_;
    std::mt19937_64 random_;
};

} // namespace endiveroad::io
