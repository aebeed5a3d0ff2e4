#pragma once

#include "io/PeerConnection.h"
#include "io/Signal.h"
#include "io/hosted/Protocol.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <endiveroad/LimitedServers.h>
#include <endiveroad_types.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// Keeps the limits on requests that backend servers name in their answers, for all processes together. The permits for
/// the requests to one limited server are issued by one coordinator, to whichever process asks.
namespace endiveroad::io {

namespace asio = boost::asio;

/// What a request to a backend server is for. Calls include scoring.
enum class RequestPath { Call, Stream, Item, StateQuery, Order };

/// The right to send one request to a server.
class ServerPermit {
public:
    const ServerIncarnation& receiver() const { return receiver_; }
    RequestPath path() const { return path_; }
    /// True if the server had named a limit.
    bool isLimited() const { return number_.has_value(); }
    /// Number of the limit under which the permit was issued.
    const std::optional<LimitNumber>& number() const { return number_; }

private:
    friend class RequestLimits;

    ServerPermit(ServerIncarnation receiver, RequestPath path, std::optional<LimitNumber> number)
        : receiver_(std::move(receiver))
        , path_(path)
        , number_(number)
    {
    }

    ServerIncarnation receiver_;
    RequestPath path_;
    std::optional<LimitNumber> number_;
};

/// Finds out which process issues permits, and reaches it.
class PermitPeers {
public:
    virtual ~PermitPeers() = default;

    virtual const std::string& processName() const = 0;
    /// Name of the process that issues the permits for the server; empty if no coordinator can be reached.
    virtual std::string permitIssuer(const std::string& server) const = 0;
    /// Share of the limits that this process may issue: that of the registered coordinators which it is connected to,
    /// itself included. Coordinators that are cut off from each other do not know of each other's permits.
    virtual double issuerShare() const = 0;
    /// Sends a MessageType::PermitRequest to another process and returns its answer.
    virtual asio::awaitable<std::string> askIssuer(std::string issuer, std::string request, Instant deadline) = 0;
    /// Sends a MessageType::LimitsHeard to another process.
    virtual void reportToIssuer(const std::string& issuer, const std::string& notice) = 0;
    /// Sends an encoded wire::LimitNotice of limits that this process issues permits for to all connected peers.
    virtual void publishLimits(const std::string& notice) = 0;
};

class RequestLimits {
public:
    /// Pause before a process that issues permits is asked again after a failure.
    static constexpr Duration failurePause = std::chrono::milliseconds(50);

    /// Time beyond the latest start of a request for which the answer to a demand may be under way.
    static constexpr Duration answerMargin = std::chrono::milliseconds(250);

    /// Part of the interval between two permits for which a process that was denied one does not ask again.
    static constexpr int deniedIntervalDivisor = 8;

    /// Called when this process may have got permits, or a server's limit has ended.
    using OnPermit = std::function<void()>;

    /// `issuer` is for LimitNumber.
    RequestLimits(asio::io_context&, PermitPeers&, int64_t issuer);

    void setOnPermit(OnPermit onPermit) { onPermit_ = std::move(onPermit); }

    /// A permit for one request to the server; nothing if its limit leaves none now.
    std::optional<ServerPermit> tryTake(const ServerIncarnation&, RequestPath);

    /// Waits for a permit until the deadline.
    asio::awaitable<std::optional<ServerPermit>> obtain(
        ServerIncarnation, RequestPath, int32_t priority, Instant deadline);

    /// Asks for permits in the background, unless as urgent a demand is under way or it is too early.
    void demand(const ServerIncarnation&, int32_t priority, size_t count, Instant latestStart);

    bool isLimited(const ServerIncarnation& server) const { return limited_.isLimited(server); }
    bool mayTake(const ServerIncarnation&) const;
    /// Number of permits that this process holds for a limited server.
    size_t permits(const ServerIncarnation&) const;
    PermitOutlook outlook(const ServerIncarnation&) const;
    size_t limitedCount() const { return limited_.all().size(); }

    /// The head of an answer to the permit's request has arrived.
    void onAnswer(const ReplicaAnswer&, const ServerPermit&);

    /// Forgets limits of servers that have started again since.
    void onDirectory(const Directory&);

    /// A peer heard of limits (MessageType::LimitsHeard). Returns a notice that corrects the peer, if it has to be.
    std::optional<std::string> onHeardNotice(const std::string& payload);
    /// A peer that issues permits published limits (MessageType::LimitsInForce).
    void onInForceNotice(const std::string& payload);
    /// Answers a peer's MessageType::PermitRequest, or has the process answer it that issues the permits.
    asio::awaitable<std::string> onRequest(std::string payload, Instant deadline, PeerCancellationPtr);
    /// All known limits as a notice for a peer that has just connected; nothing if there are none.
    std::optional<std::string> encodeAll() const;

private:
    /// The demands that wait for permits of one server at the issuer.
    struct Waiters {
        explicit Waiters(asio::io_context& context)
            : changed(context)
        {
        }

        Signal changed;
        std::map<uint64_t, PermitDecision> decisions;
        /// The limit has ended.
        bool hasEnded = false;
    };
    using WaitersPtr = std::shared_ptr<Waiters>;

    /// A demand that is under way.
    struct Ask {
        std::string server;
        int32_t priority = 0;

        auto operator<=>(const Ask&) const = default;
    };

    asio::awaitable<void> ask(ServerIncarnation, wire::PermitRequest, Instant latestStart);
    /// Has the process that issues the server's permits decide on the demand.
    asio::awaitable<wire::PermitAnswer> decide(wire::PermitRequest, Instant latestStart);
    /// Decides on the demand in this process.
    asio::awaitable<wire::PermitAnswer> issue(wire::PermitRequest, Instant latestStart, PeerCancellationPtr);
    void applyAnswer(const ServerIncarnation&, const wire::PermitAnswer&);
    void decideWaiting(const ServerIncarnation&, Waiters&);
    WaitersPtr waitersOf(const ServerIncarnation&);
    /// This process issues the permits, and an answer has named the limit.
    void hear(const LimitRecord&);
    /// Tells the issuer what an answer has named.
    void report(const LimitRecord&);
    void publish(const LimitRecord&);
    void onRecord(const LimitRecord&);
    void notifyPermit();

    asio::io_context& context_;
    PermitPeers& peers_;
    LimitedServers limited_;
    PermitIssuer issuer_;
    std::set<Ask> asks_;
    std::map<ServerIncarnation, WaitersPtr> waiters_;
    Signal permitted_;
    OnPermit onPermit_;
};

} // namespace endiveroad::io
