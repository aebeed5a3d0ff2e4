#pragma once

#include "io/Signal.h"
#include "io/hosted/Protocol.h"
#include "io/hosted/ServerClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

/// Monitors the engine replica on the agent's host and gives it the agent's weight load orders.
namespace endiveroad::io {

namespace asio = boost::asio;

class EngineController {
public:
    static constexpr Duration queryTimeout = std::chrono::milliseconds(400);

    /// Intervals between state queries: during a weight load, while the replica does not answer, and otherwise.
    static constexpr Duration loadingInterval = std::chrono::milliseconds(80);
    static constexpr Duration unreachableInterval = std::chrono::milliseconds(250);
    static constexpr Duration idleInterval = std::chrono::milliseconds(2000);

    /// A replica that names a request limit is not asked for its state more often than once for so many requests that
    /// the limit allows, and while it loads weights once for so many.
    static constexpr int requestsPerQuery = 8;
    static constexpr int requestsPerLoadingQuery = 2;

    /// Priorities of permits for orders and state queries.
    static constexpr int32_t orderPriority = 0;
    static constexpr int32_t queryPriority = 50;

    /// Time after which an unconfirmed order is sent again; also the time limit of the request.
    static constexpr Duration orderTimeout = std::chrono::milliseconds(600);

    /// An order goes out on a connection that has not been used for this long, or on a new one.
    static constexpr Duration orderRestTime = std::chrono::seconds(1);

    /// Time limit of a weight load, repeated orders included.
    static constexpr Duration loadTimeout = std::chrono::seconds(12);

    /// Called when something that is reported to the coordinators has changed.
    using OnChange = std::function<void()>;

    EngineController(
        asio::io_context&, ServerClient&, RequestLimits&, MetadataStore&, Address replica, std::string name, OnChange);

    /// Queries the replica's state at intervals; never returns.
    asio::awaitable<void> monitor();

    /// Sets the server that is registered as ready at the replica's address; nothing if there is none. A load that is
    /// under way ends when it changes.
    void setServer(std::optional<ServerIncarnation>);
    /// Id of the registered server; empty if there is none.
    const std::string& server() const { return server_.id; }

    /// The server that answers at the replica's address, as far as is known; also while it is draining or its
    /// registration is missing.
    const ServerIncarnation& lastServer() const { return lastServer_; }

    /// Whether the replica answered the last query.
    bool isUp() const { return isUp_; }

    /// Queries the state without delay. Called after a run has failed or stalled.
    void queryNow();

    /// Weight version by model, as the replica last reported it.
    const std::map<std::string, int64_t>& versions() const { return state_.versions; }
    /// 0 if the replica does not serve the model.
    int64_t version(const std::string& model) const;

    /// Model whose load is under way; empty if there is none.
    const std::string& loadingModel() const { return loadingModel_; }

    /// Called when an answer of the replica stated a weight version.
    void onVersionSeen(const std::string& model, int64_t version);

    /// Starts a load of a weight version in the background, unless a load is under way or the replica has the version.
    void load(const std::string& model, int64_t version);

private:
    asio::awaitable<bool> query();
    asio::awaitable<HttpResponse> send(ServerPermit, HttpRequest, Instant deadline);
    asio::awaitable<void> executeLoad(std::string model, int64_t version);
    /// Waits for a permit until the deadline.
    asio::awaitable<OrderOutcome> sendOrder(std::string model, int64_t version, Instant deadline);
    /// Pause after a state query.
    Duration queryPause(bool isAnswered) const;
    asio::awaitable<void> obtainFencingToken();

    asio::io_context& context_;
    ServerClient& client_;
    RequestLimits& limits_;
    MetadataStore& store_;
    Address replica_;
    std::string name_;
    OnChange onChange_;
    Signal wake_;
    /// Its id is empty if no server is registered as ready.
    ServerIncarnation server_;
    /// The newest server_ that was not empty.
    ServerIncarnation lastServer_;
    EngineState state_;
    std::string loadingModel_;
    /// Fencing token of this agent process; 0 until obtained. A revision of the store, so a later process has a higher
    /// one.
    int64_t fencingToken_ = 0;
    bool isUp_ = false;
};

} // namespace endiveroad::io
