#include "io/hosted/EngineController.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"
#include "io/Tasks.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

/// Key that an agent process writes once: the revision of that write is its fencing token, higher than all earlier
/// ones.
std::string fencingTokenKey(const std::string& agent)
{
    return "endiveroad/agents/" + agent;
}

constexpr Duration storeTimeout = std::chrono::milliseconds(1500);
constexpr Duration retryPause = std::chrono::milliseconds(150);

std::string outcomeName(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::AlreadyLoaded:
        return "already holds";
    case OrderOutcome::Busy:
        return "busy";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::Refused:
        return "refused";
    }
    return {};
}

} // namespace

EngineController::EngineController(asio::io_context& context, ServerClient& client, RequestLimits& limits,
    MetadataStore& store, Address replica, std::string name, OnChange onChange)
    : context_(context)
    , client_(client)
    , limits_(limits)
    , store_(store)
    , replica_(std::move(replica))
    , name_(std::move(name))
    , onChange_(std::move(onChange))
    , wake_(context)
{
}

asio::awaitable<void> EngineController::monitor()
{
    while (true) {
        const bool isAnswered = co_await query();
        co_await wake_.wait(now() + queryPause(isAnswered));
    }
}

Duration EngineController::queryPause(bool isAnswered) const
{
    const bool isLoading = !loadingModel_.empty();
    Duration pause = isAnswered ? idleInterval : unreachableInterval;
    if (isLoading)
        pause = loadingInterval;
    if (!limits_.isLimited(lastServer_))
        return pause;
    const int requests = isLoading ? requestsPerLoadingQuery : requestsPerQuery;
    return std::max(pause, limits_.outlook(lastServer_).interval * requests);
}

void EngineController::setServer(std::optional<ServerIncarnation> server)
{
    ServerIncarnation current = server.value_or(ServerIncarnation());
    if (current == server_)
        return;
    server_ = std::move(current);
    if (!server_.id.empty())
        lastServer_ = server_;
    wake_.notifyAll();
    onChange_();
}

void EngineController::queryNow()
{
    wake_.notifyAll();
}

int64_t EngineController::version(const std::string& model) const
{
    const auto found = state_.versions.find(model);
    return found == state_.versions.end() ? 0 : found->second;
}

void EngineController::onVersionSeen(const std::string& model, int64_t version)
{
    int64_t& current = state_.versions[model];
    if (current == version)
        return;
    current = version;
    onChange_();
}

asio::awaitable<HttpResponse> EngineController::send(ServerPermit permit, HttpRequest request, Instant deadline)
{
    request.connectDeadline = now() + queryTimeout / 2;
    co_return co_await client_.request(std::move(permit), replica_, std::move(request), deadline);
}

asio::awaitable<bool> EngineController::query()
{
    bool isAnswered = false;
    try {
        auto permit
            = co_await limits_.obtain(lastServer_, RequestPath::StateQuery, queryPriority, now() + queryTimeout);
        // Without a permit nothing new is known.
        if (!permit)
            co_return isUp_;
        const HttpResponse response
            = co_await send(*permit, client_.protocol().encodeStateQuery(), now() + queryTimeout);
        if (response.status == 200) {
            EngineState state = client_.protocol().decodeState(response.body);
            isAnswered = true;
            const bool isChanged = state.versions != state_.versions;
            state_ = std::move(state);
            if (isChanged)
                onChange_();
        }
    } catch (const std::exception& error) {
        if (isUp_)
            log(Event::ServerDown, { { "server", server_.id }, { "reason", error.what() } });
    }
    if (isAnswered != isUp_) {
        isUp_ = isAnswered;
        if (isUp_)
            log(Event::ServerUp,
                { { "server", server_.id }, { "startedMs", std::to_string(state_.startedMs) },
                    { "registeredStartMs", std::to_string(server_.startedMs) } });
        onChange_();
    }
    co_return isAnswered;
}

void EngineController::load(const std::string& model, int64_t version)
{
    if (server_.id.empty() || !loadingModel_.empty() || this->version(model) >= version)
        return;
    loadingModel_ = model;
    onChange_();
    spawn(context_.get_executor(), [this, model, version] { return executeLoad(model, version); });
}

asio::awaitable<void> EngineController::obtainFencingToken()
{
    StoreTransaction transaction;
    transaction.puts.push_back({ fencingTokenKey(name_), "{}", 0 });
    const CommitResult result = co_await store_.commit(std::move(transaction), now() + storeTimeout);
    fencingToken_ = result.revision;
}

asio::awaitable<OrderOutcome> EngineController::sendOrder(std::string model, int64_t version, Instant deadline)
{
    auto permit = co_await limits_.obtain(server_, RequestPath::Order, orderPriority, deadline);
    if (!permit)
        throw NotRunError("the replica's request limit leaves no room for the order");
    if (permit->receiver() != server_)
        throw NotRunError("the replica is leaving or was replaced");
    WeightLoadOrder order;
    order.model = model;
    order.version = version;
    order.holder = name_;
    order.fencingToken = fencingToken_;
    order.expectedOrders = state_.acceptedOrders;
    order.server = server_.id;
    HttpRequest request = client_.protocol().encodeOrder(order);
    request.latestUse = now() - orderRestTime;
    const HttpResponse response = co_await send(*permit, std::move(request), now() + orderTimeout);
    co_return client_.protocol().decodeOrderOutcome(response);
}

asio::awaitable<void> EngineController::executeLoad(std::string model, int64_t version)
{
    const Instant deadline = now() + loadTimeout;
    const Instant startedAt = now();
    Instant orderAgainAt = now();
    const ServerIncarnation receiver = server_;
    std::string reason = "timed out";
    while (now() < deadline && this->version(model) < version) {
        if (server_ != receiver) {
            reason = "the replica is leaving or was replaced";
            break;
        }
        bool isPauseDue = true;
        try {
            if (fencingToken_ == 0)
                co_await obtainFencingToken();
            co_await query();
            const bool mayOrder
                = this->version(model) < version && !state_.isLoading && now() >= orderAgainAt && server_ == receiver;
            if (mayOrder) {
                orderAgainAt = now() + orderTimeout;
                const OrderOutcome outcome = co_await sendOrder(model, version, deadline);
                log(Event::WeightLoadOrdered,
                    { { "model", model }, { "version", std::to_string(version) }, { "server", server_.id },
                        { "fence", std::to_string(fencingToken_) },
                        { "expectedOrders", std::to_string(state_.acceptedOrders) },
                        { "outcome", outcomeName(outcome) } });
                if (outcome == OrderOutcome::Refused || outcome == OrderOutcome::Fenced) {
                    reason = outcomeName(outcome);
                    break;
                }
                isPauseDue = outcome != OrderOutcome::AlreadyLoaded;
                if (outcome == OrderOutcome::AlreadyLoaded)
                    onVersionSeen(model, version);
            }
        } catch (const std::exception& error) {
            // If an order was sent, the replica may still carry it out. Repeating it is safe: once the replica has
            // accepted one, its count of accepted orders no longer equals expectedOrders and it rejects the other.
            log(Event::WeightLoadFailed,
                { { "model", model }, { "version", std::to_string(version) }, { "server", server_.id },
                    { "reason", error.what() }, { "final", "no" } });
        }
        if (isPauseDue)
            co_await sleepFor(queryPause(true));
    }
    const bool isLoaded = this->version(model) >= version;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now() - startedAt).count();
    if (isLoaded)
        processMetrics().record(Latency::WeightLoad, now() - startedAt, now());
    if (isLoaded)
        log(Event::WeightLoadDone,
            { { "model", model }, { "version", std::to_string(version) }, { "server", server_.id },
                { "ms", std::to_string(elapsed) } });
    else
        log(Event::WeightLoadFailed,
            { { "model", model }, { "version", std::to_string(version) }, { "server", server_.id },
                { "reason", reason }, { "final", "yes" } });
    if (!isLoaded)
        co_await sleepFor(retryPause);
    loadingModel_.clear();
    onChange_();
}

} // namespace endiveroad::io
