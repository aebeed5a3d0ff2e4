#pragma once

#include "io/hosted/Protocol.h"

#include <endiveroad/LeavingServers.h>
#include <map>
#include <optional>
#include <string>

/// The limits on requests that backend servers name in their answers.
namespace endiveroad::io {

/// What a request to a backend server is for. Calls include scoring.
enum class RequestPath { Call, Stream, Item, StateQuery, Order };

/// The right to send one request to a server.
class ServerPermit {
public:
    const ServerIncarnation& receiver() const { return receiver_; }
    RequestPath path() const { return path_; }
    /// True if the server had named a limit.
    bool isLimited() const { return isLimited_; }

private:
    friend class RequestLimits;

    ServerPermit(ServerIncarnation receiver, RequestPath path, bool isLimited)
        : receiver_(std::move(receiver))
        , path_(path)
        , isLimited_(isLimited)
    {
    }

    ServerIncarnation receiver_;
    RequestPath path_;
    bool isLimited_;
};

class RequestLimits {
public:
    /// A permit for one request to the server; nothing if its limit leaves none now.
    std::optional<ServerPermit> tryTake(const ServerIncarnation&, RequestPath);

    /// The head of an answer to the permit's request has arrived.
    void onAnswer(const ReplicaAnswer&, const ServerPermit&);

private:
    /// By server id.
    std::map<std::string, double> limits_;
};

} // namespace endiveroad::io
