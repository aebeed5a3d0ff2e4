#include "io/hosted/ServiceCaller.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/Signal.h"
#include "io/Tasks.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <list>

namespace endiveroad::io {

namespace {

constexpr int statusServerError = 500;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

/// One call with all its attempts.
class ServiceCaller::Race {
public:
    Race(asio::io_context& context, RouteDeclaration declaration, ReplicaRequest call, Instant end)
        : route(std::move(declaration))
        , request(std::move(call))
        , deadline(end)
        , changed(context)
    {
    }

    void cancelAttempts()
    {
        for (HttpCancellation& attempt : attempts)
            attempt.cancel();
    }

    /// Servers that may still be sent this request. Refusals do not count, since they ran nothing.
    bool hasAttemptsLeft() const { return runs < std::max(route.maxAttempts, 1); }

    RouteDeclaration route;
    ReplicaRequest request;
    Instant deadline;
    Signal changed;
    std::list<HttpCancellation> attempts;
    std::set<std::string> tried;
    int32_t underWay = 0;
    /// Attempts that ran or may have run.
    int32_t runs = 0;
    bool isDone = false;
    ServiceResult result;
};

ServiceCaller::ServiceCaller(asio::io_context& context, HttpClient& http, const ReplicaProtocol& protocol,
    DirectorySource directory, uint64_t seed)
    : context_(context)
    , http_(http)
    , protocol_(protocol)
    , directory_(std::move(directory))
    , loads_(seed)
    , random_(static_cast<uint32_t>(seed) | 1U)
{
}

void ServiceCaller::onDirectory(const Directory& directory)
{
    std::set<std::string> ids;
    for (const auto& [id, server] : directory.servers)
        ids.insert(id);
    loads_.retain(ids);
}

const std::string& ServiceCaller::chooseService(const RouteDeclaration& route)
{
    int64_t total = 0;
    for (const WeightedService& part : route.services)
        total += std::max(part.weight, 0);
    if (total <= 0)
        return route.services.front().service;
    int64_t point = std::uniform_int_distribution<int64_t>(0, total - 1)(random_);
    for (const WeightedService& part : route.services) {
        point -= std::max(part.weight, 0);
        if (point < 0)
            return part.service;
    }
    return route.services.back().service;
}

std::optional<ServerRecord> ServiceCaller::chooseServer(
    const RouteDeclaration& route, const std::set<std::string>& tried)
{
    const auto directory = directory_();
    std::vector<std::string> ids;
    for (const ServerRecord* server : directory->readyServers(chooseService(route)))
        ids.push_back(server->id);
    const auto chosen = loads_.choose(ids, tried, now());
    if (!chosen)
        return std::nullopt;
    return directory->servers.at(*chosen);
}

asio::awaitable<ServiceResult> ServiceCaller::call(
    RouteDeclaration route, ReplicaRequest request, Instant deadline, PeerCancellationPtr cancellation)
{
    auto race = std::make_shared<Race>(context_, std::move(route), std::move(request), deadline);
    if (cancellation)
        cancellation->onCancel([race] {
            race->result.isCancelled = true;
            race->isDone = true;
            race->changed.notifyAll();
        });
    const bool isIdempotent = race->route.kind == TrafficKind::Idempotent;
    Instant hedgeAt = now();
    while (!race->isDone && now() < deadline) {
        const bool mayHedge = race->underWay == 0 || (isIdempotent && now() >= hedgeAt);
        std::optional<ServerRecord> server;
        if (mayHedge && race->hasAttemptsLeft())
            server = chooseServer(race->route, race->tried);
        if (server) {
            startAttempt(race, *server);
            hedgeAt = now() + race->route.latencyObjective / hedgeDivisor;
        } else if (race->underWay == 0) {
            // Every server refused or is gone, or the attempts are used up.
            if (!race->hasAttemptsLeft())
                break;
            race->tried.clear();
            co_await race->changed.wait(std::min(deadline, now() + refusedPause));
            continue;
        }
        const bool canHedgeLater = isIdempotent && race->hasAttemptsLeft() && hedgeAt > now();
        co_await race->changed.wait(canHedgeLater ? std::min(deadline, hedgeAt) : deadline);
    }
    race->isDone = true;
    race->result.mayHaveRun = race->result.mayHaveRun || race->runs > 0;
    race->cancelAttempts();
    if (cancellation)
        cancellation->onCancel(nullptr);
    co_return std::move(race->result);
}

void ServiceCaller::startAttempt(const std::shared_ptr<Race>& race, const ServerRecord& server)
{
    race->tried.insert(server.id);
    race->result.servers += (race->result.servers.empty() ? "" : " ") + server.id;
    race->attempts.emplace_back();
    ++race->underWay;
    ++race->runs;
    ++race->result.attempts;
    loads_.onStart(server.id);
    HttpCancellation* cancellation = &race->attempts.back();
    spawn(context_.get_executor(), [this, race, server, cancellation] { return attempt(race, server, cancellation); });
}

asio::awaitable<void> ServiceCaller::attempt(
    std::shared_ptr<Race> race, ServerRecord server, HttpCancellation* cancellation)
{
    const Instant startedAt = now();
    ReplicaRequest call = race->request;
    call.server = server.id;
    call.patience = race->deadline - startedAt;
    HttpRequest request = protocol_.encode(std::move(call));
    request.isCloseDelimitedBodyAllowed = true;
    request.connectDeadline = startedAt + connectTimeout;
    std::string failure;
    bool isSent = true;
    try {
        HttpResponse response
            = co_await http_.request(server.address, std::move(request), race->deadline, cancellation);
        finishAttempt(*race, server, std::move(response), startedAt);
    } catch (const ServerUnavailableError& error) {
        failure = error.what();
        isSent = false;
    } catch (const std::exception& error) {
        failure = error.what();
    }
    --race->underWay;
    if (!failure.empty()) {
        if (race->isDone && now() < race->deadline)
            loads_.onAbandoned(server.id);
        else
            loads_.onFailure(server.id, now());
        if (!isSent)
            --race->runs;
        if (!race->isDone) {
            race->result.reason = failure;
            const bool mayRepeat = !isSent || race->route.kind == TrafficKind::Idempotent;
            log(Event::CallAttemptFailed,
                { { "request", race->request.id }, { "server", server.id }, { "sent", isSent ? "yes" : "no" },
                    { "reason", failure } });
            if (!mayRepeat)
                race->isDone = true;
        }
    }
    race->changed.notifyAll();
}

void ServiceCaller::finishAttempt(Race& race, const ServerRecord& server, HttpResponse response, Instant startedAt)
{
    const ReplicaAnswer answer = protocol_.decode(response);
    if (answer.load)
        loads_.onLoadReport(server.id, answer.load->running, answer.load->waiting, now());
    if (answer.verdict != ReplicaVerdict::Ran) {
        --race.runs;
        if (answer.verdict == ReplicaVerdict::OtherServer)
            loads_.onFailure(server.id, now());
        else
            loads_.onAbandoned(server.id);
        race.result.reason = fmt::format("{} refused with {}", server.id, response.status);
        return;
    }
    if (isSuccess(response.status) && answer.stamp.empty())
        throw AnswerBrokenError("a success came without the server's stamp");
    loads_.onAnswer(server.id, now() - startedAt, now());
    if (race.isDone)
        return;
    if (response.status == statusServerError)
        ++race.result.serverErrors;
    race.result.stamp = answer.stamp;
    const bool isFailure = response.status >= statusServerError;
    race.result.response = std::move(response);
    const bool mayRepeat = race.route.kind == TrafficKind::Idempotent && race.hasAttemptsLeft();
    if (!isFailure || !mayRepeat)
        race.isDone = true;
}

} // namespace endiveroad::io
