#pragma once

#include "io/hosted/Protocol.h"

#include <endiveroad/Directory.h>
#include <endiveroad/Time.h>

namespace endiveroad::io {

/// Told of the callers' requests that backend servers began to run. A request that is sent several times may be told
/// several times.
class ServerRunListener {
public:
    virtual ~ServerRunListener() = default;

    /// A server answered a call that was sent to it at `sentAt`, and has run it.
    virtual void onCallAnswered(const RouteDeclaration&, const ReplicaRequest&, Instant sentAt) = 0;

    /// A server began a request at this instant, or may have: it was sent, and its answer was lost.
    virtual void onBegun(const ReplicaRequest&, Instant beganAt) = 0;
};

} // namespace endiveroad::io
