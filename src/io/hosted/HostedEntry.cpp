#include "io/hosted/HostedEntry.h"

#include "io/CallerBudget.h"
#include "io/Clock.h"
#include "io/Forwarding.h"
#include "io/Log.h"
#include "io/ProcessMetrics.h"
#include "io/Tasks.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad/HttpHead.h>
#include <fmt/format.h>

namespace endiveroad::io {

namespace {

/// Longer waits for results that a caller requests (CallerRequest::maxWait) are cut to this.
constexpr std::chrono::milliseconds maxReadWait { 5000 };

/// Interval at which a process that drains looks whether callers still have connections.
constexpr Duration connectionCheckInterval = std::chrono::milliseconds(20);

wire::BatchOperation::type toWire(CallerOperation operation)
{
    switch (operation) {
    case CallerOperation::ReadJob:
        return wire::BatchOperation::Read;
    case CallerOperation::ReadItem:
        return wire::BatchOperation::ReadItem;
    case CallerOperation::CancelJob:
        return wire::BatchOperation::Cancel;
    case CallerOperation::Call:
        break;
    }
    return wire::BatchOperation::Submit;
}

wire::BatchCall toBatchCall(const CallerRequest& request, const std::string& organisation)
{
    wire::BatchCall call;
    call.operation = toWire(request.operation);
    call.job = request.job;
    call.host = request.host;
    call.firstPosition = request.firstPosition;
    call.item = request.item;
    call.waitMs = static_cast<int32_t>(std::min(request.maxWait, maxReadWait).count());
    call.organisation = organisation;
    return call;
}

/// A submission without the name of a route is accepted only if the job exists already.
wire::BatchCall toSubmission(
    const CallerRequest& request, const RouteDeclaration& route, std::string body, const std::string& organisation)
{
    wire::BatchCall call;
    call.operation = wire::BatchOperation::Submit;
    call.job = request.id;
    call.host = request.host;
    call.route = route.name;
    call.body = std::move(body);
    call.organisation = organisation;
    return call;
}

/// The operation on a job that a request without a matching route for batch jobs asks for.
wire::BatchCall toJobCall(const CallerRequest& request, const HttpQuery& query, const std::string& organisation)
{
    if (request.operation == CallerOperation::Call)
        return toSubmission(request, RouteDeclaration(), query.body, organisation);
    return toBatchCall(request, organisation);
}

/// A body is held as received and as it is sent. Throws NotRunError if there is no room for both.
void holdCopies(const HttpExchange& exchange)
{
    const size_t size = exchange.query().body.size();
    const CallerAccountPtr account = size > CallerMemory::smallBytes ? accountOf(exchange) : nullptr;
    if (account && !account->holdRequest(2 * size))
        throw NotRunError("the process holds too much for callers");
}

/// Throws BadRequestError if the request cannot be written to a server, NotRunError if there is no room for it.
ReplicaRequest forwardedRequest(
    HttpExchange& exchange, const CallerRequest& request, const RoutingTable& routing, const std::string& organisation)
{
    const HttpQuery& query = exchange.query();
    ReplicaRequest forwarded;
    forwarded.method = query.method;
    forwarded.target = query.target;
    forwarded.headers = forwardedHeaders(query.headers);
    if (const auto fault = requestHeadFault({ query.method, query.target, forwarded.headers, query.body.size() }))
        throw BadRequestError(*fault);
    holdCopies(exchange);
    forwarded.body = releaseBody(exchange);
    forwarded.id = request.id;
    forwarded.isIdentityRemoved = routing.organisations.has_value();
    forwarded.organisation = organisation;
    forwarded.priority = routing.organisationPriority(organisation);
    return forwarded;
}

} // namespace

class HostedEntry::ReadinessHandler : public io::HttpHandler {
public:
    explicit ReadinessHandler(HostedEntry& entry)
        : entry_(entry)
    {
    }

    asio::awaitable<void> onHttp(HttpExchange& exchange) override
    {
        const bool isReady = entry_.isReady();
        if (isReady != entry_.wasReady_)
            log(Event::ReadinessChanged, { { "ready", isReady ? "yes" : "no" } });
        entry_.wasReady_ = isReady;
        HttpResponse response;
        response.status = isReady ? 200 : 503;
        co_await exchange.answer(std::move(response));
    }

private:
    HostedEntry& entry_;
};

class HostedEntry::CallerHandler : public io::HttpHandler {
public:
    explicit CallerHandler(HostedEntry& entry)
        : entry_(entry)
    {
    }

    asio::awaitable<void> onHttp(HttpExchange& exchange) override { return entry_.serve(exchange); }

private:
    HostedEntry& entry_;
};

HostedEntry::HostedEntry(std::unique_ptr<Platform> platform, HostedOptions options)
    : HostedNode(std::move(platform), HostedRole::Entry, options)
    , readinessHandler_(std::make_unique<ReadinessHandler>(*this))
    , callerHandler_(std::make_unique<CallerHandler>(*this))
    , serviceCaller_(
          context(), servers(), requestLimits(), crashGuard(), [this] { return directory(); }, randomSeed())
    , resumptions_(context(), *this, [this] { return directorySync().isFresh(); })
    , streamProxy_(context(), servers(), serviceCaller_, resumptions_, crashGuard())
    , gateway_(*this)
{
    const DutySettings& duties = settings().duties;
    if (!duties.api || !duties.reportsUsage)
        return;
    usageReporter_ = std::make_unique<UsageReporter>(
        context(), settings().name, incarnation(), duties.usageWindow, static_cast<UsagePeers&>(*this));
    serviceCaller_.setRunListener(usageReporter_.get());
    streamProxy_.setRunListener(usageReporter_.get());
}

void HostedEntry::start()
{
    requestLimits().setOnPermit([this] { serviceCaller_.onPermit(); });
    if (!settings().callers || !settings().readiness)
        throw SettingsInvalidError(
            "an entry needs the settings of the addresses for callers and for the readiness probe");
    readinessServer_ = std::make_unique<HttpServer>(*readinessHandler_);
    readinessServer_->start(context(), *settings().readiness);
    callerServer_ = std::make_unique<HttpServer>(*callerHandler_);
    callerServer_->start(context(), *settings().callers);
    if (usageReporter_)
        spawnRestarting(context().get_executor(), [this] { return usageReporter_->run(); });
}

bool HostedEntry::isReady() const
{
    // Where no coordinator stands, no other entry could do more than serve calls, which need none.
    const bool hasCoordinator = !coordinators().empty();
    const auto current = directory();
    if (isDraining() || !current->routing || !(hasCoordinator || areNoneRegistered()))
        return false;
    // A process that starts would refuse requests that need a key until its configuration is confirmed for the first
    // time. Later it stays ready, since requests of public routes are served.
    const bool needsConfirmation = settings().isFailClosed && current->routing->organisations && !wasReady_;
    return !needsConfirmation || directorySync().isConfirmedWithin(settings().revocationTime);
}

void HostedEntry::onDirectoryChanged(const Directory& before, const Directory& current)
{
    serviceCaller_.onDirectory(current);
    const bool areKeysChanged
        = before.routing && current.routing && before.routing->organisations != current.routing->organisations;
    if (areKeysChanged)
        serviceCaller_.onAuthorisationsChanged();
    resumptions_.onDirectory(current);
    if (!current.routing || (before.routing && before.routing->limits == current.routing->limits))
        return;
    const CallerLimits& limits = current.routing->limits;
    HttpTimeouts timeouts;
    timeouts.request = limits.headerTimeout;
    timeouts.idle = limits.idleTimeout;
    callerServer_->setLimits({ limits.maxHeaderBytes, limits.maxBodyBytes }, timeouts);
}

void HostedEntry::onNodeNotice(const PeerConnectionPtr&, const PeerMessage& message)
{
    if (message.type == MessageType::DutyHolder && usageReporter_)
        usageReporter_->onHolder(wire::decode<wire::DutyHolderNotice>(message.payload));
    if (message.type != MessageType::JobOwner)
        return;
    const auto notice = wire::decode<wire::JobOwnerNotice>(message.payload);
    gateway_.onOwner(notice);
}

void HostedEntry::onPeerUp(const PeerConnectionPtr& connection)
{
    resumptions_.onCoordinatorsChanged();
    if (usageReporter_)
        usageReporter_->onCoordinatorUp(connection->peerName);
}

void HostedEntry::sendUsage(const std::string& coordinator, const wire::UsageNotice& notice)
{
    if (const PeerConnectionPtr connection = peer(coordinator))
        connection->notify(MessageType::Usage, wire::encode(notice));
}

void HostedEntry::sendOrigins(const std::string& coordinator, const std::string& notice)
{
    if (const PeerConnectionPtr connection = peer(coordinator))
        connection->notify(MessageType::StreamOrigins, notice);
}

asio::awaitable<std::string> HostedEntry::callCoordinator(
    std::string coordinator, std::string payload, Instant deadline, PeerCancellationPtr cancellation)
{
    const PeerConnectionPtr connection = peer(coordinator);
    if (!connection)
        throw PeerUnavailableError("the coordinator is not connected");
    co_return co_await connection->call(MessageType::BatchCall, std::move(payload), deadline, std::move(cancellation));
}

asio::awaitable<std::string> HostedEntry::askOrigin(std::string coordinator, std::string query, Instant deadline)
{
    const PeerConnectionPtr connection = peer(coordinator);
    if (!connection)
        throw PeerUnavailableError("the connection to the coordinator was lost");
    co_return co_await connection->call(MessageType::StreamOriginQuery, std::move(query), deadline);
}

asio::awaitable<void> HostedEntry::serve(HttpExchange& exchange)
{
    const Instant arrivedAt = now();
    const HttpQuery& query = exchange.query();
    auto cancellation = std::make_shared<PeerCancellation>();
    exchange.onAbort([cancellation] { cancellation->cancel(); });
    CallerRequest request;
    HttpResponse response;
    try {
        request = platform().callerProtocol().decode(query);
        const auto current = directory();
        if (!current->routing)
            throw NotReadyError("the process has no configuration yet");
        const RouteDeclaration* matched = current->routing->match(request.host, request.path);
        RouteDeclaration route = matched ? *matched : RouteDeclaration();
        const bool isKeyNeeded = needsKey(request, matched, *current->routing);
        const std::string organisation = isKeyNeeded ? authenticate(request.keyDigest) : std::string();
        Authorisation authorisation;
        if (isKeyNeeded)
            authorisation = authorisationOf(request.keyDigest, organisation);
        route.priority = current->routing->priorityOf(route, organisation);
        const Duration timeout = std::min(request.timeout.value_or(route.timeout), route.timeout);
        const Instant deadline = arrivedAt + timeout - answerMargin;
        const Instant answerDeadline = drainSchedule_ ? drainSchedule_->answerBy(deadline) : deadline;
        std::optional<HttpResponse> jobAnswer;
        if (mayConcernJob(request, query, matched))
            jobAnswer
                = co_await serveJob(request, query, matched, organisation, answerDeadline, cancellation, authorisation);
        if (jobAnswer) {
            response = std::move(*jobAnswer);
        } else if (!matched) {
            throw RouteUnknownError(fmt::format("no route for {}{}", request.host, request.path));
        } else if (request.id.empty()) {
            throw BadRequestError("the request has no id");
        } else if (route.kind == TrafficKind::BatchJobs) {
            holdCopies(exchange);
            wire::BatchCall submission = toSubmission(request, route, releaseBody(exchange), organisation);
            response = co_await serveBatch(submission, answerDeadline, cancellation, authorisation);
        } else if (route.kind == TrafficKind::Streaming) {
            ReplicaRequest forwarded = forwardedRequest(exchange, request, *current->routing, organisation);
            if (const std::optional<Error> refusal = streamRefusal(deadline))
                throw Error(*refusal);
            StreamAuthorisation streamed = streamAuthorisation(std::move(authorisation), deadline);
            co_await streamProxy_.serve(
                exchange, route, request, std::move(forwarded), deadline, cancellation, std::move(streamed));
            co_return;
        } else {
            ReplicaRequest forwarded = forwardedRequest(exchange, request, *current->routing, organisation);
            response
                = co_await serveCall(request, route, std::move(forwarded), answerDeadline, cancellation, authorisation);
        }
    } catch (const ServersFullError& error) {
        response = encodeFailure(request, error, error.retryAt() - now());
    } catch (const ContentBlockedError& error) {
        response = encodeFailure(request, error, error.retryAt() - now());
    } catch (const Error& error) {
        const bool mayRetry = error.code() == ErrorCode::NotReady || error.code() == ErrorCode::NotRun;
        response = encodeFailure(request, error, mayRetry ? retryAfter : Duration::zero());
    }
    processMetrics().count(Counter::ServiceCalls);
    processMetrics().record(Latency::ServiceCall, now() - arrivedAt, now());
    co_await exchange.answer(std::move(response));
}

bool HostedEntry::needsKey(const CallerRequest& request, const RouteDeclaration* matched, const RoutingTable& routing)
{
    const bool isJobOperation = request.operation != CallerOperation::Call;
    return matched ? routing.requiresKey(*matched) : routing.organisations && isJobOperation;
}

std::string HostedEntry::authenticate(const std::string& keyDigest) const
{
    if (settings().isFailClosed && !directorySync().isConfirmedWithin(settings().revocationTime))
        throw NotReadyError("neither the store nor a coordinator has confirmed the configuration recently");
    const auto current = directory();
    const OrganisationDeclaration* organisation = current->routing->organisationOf(keyDigest);
    if (!organisation)
        throw KeyRefusedError(keyDigest.empty()
                ? std::string("the request has no API key, or several")
                : fmt::format("no organisation holds the API key with digest {}", keyDigest.substr(0, 8)));
    return organisation->name;
}

Authorisation HostedEntry::authorisationOf(std::string keyDigest, std::string organisation) const
{
    return [this, keyDigest = std::move(keyDigest), organisation = std::move(organisation)]() -> std::optional<Error> {
        // Where the configuration declares no organisations any more, no request needs a key.
        if (!directory()->routing->organisations)
            return std::nullopt;
        try {
            if (authenticate(keyDigest) == organisation)
                return std::nullopt;
        } catch (const Error& error) {
            return error;
        }
        return KeyRefusedError("the API key belongs to another organisation now");
    };
}

std::optional<Error> HostedEntry::streamRefusal(Instant deadline) const
{
    if (!drainSchedule_ || drainSchedule_->mayBeginStream(now(), deadline))
        return std::nullopt;
    return ProcessStoppingError("the process may end before the stream does");
}

StreamAuthorisation HostedEntry::streamAuthorisation(Authorisation authorisation, Instant deadline) const
{
    StreamAuthorisation streamed;
    streamed.begin = [this, authorisation, deadline]() -> std::optional<Error> {
        const std::optional<Error> refusal = streamRefusal(deadline);
        return refusal || !authorisation ? refusal : authorisation();
    };
    streamed.goOn = std::move(authorisation);
    return streamed;
}

bool HostedEntry::mayConcernJob(
    const CallerRequest& request, const HttpQuery& query, const RouteDeclaration* matched) const
{
    if (request.operation != CallerOperation::Call)
        return true;
    const bool isSubmission = matched && matched->kind == TrafficKind::BatchJobs;
    return !isSubmission && query.method == "POST" && gateway_.knowsJob(request.id);
}

asio::awaitable<std::optional<HttpResponse>> HostedEntry::serveJob(const CallerRequest& request, const HttpQuery& query,
    const RouteDeclaration* matched, const std::string& organisation, Instant deadline,
    PeerCancellationPtr cancellation, Authorisation authorisation)
{
    // A call to a backend server has an id, so one without an id is certainly meant for a job.
    const bool mayBeCall = request.operation == CallerOperation::Call || (matched && !request.id.empty());
    wire::BatchCall call = toJobCall(request, query, organisation);
    // A read that waits for results is answered without any before the process ends.
    if (drainSchedule_)
        call.waitMs = static_cast<int32_t>(std::min<int64_t>(call.waitMs, millisecondsLeft(deadline) / 2));
    wire::BatchAnswer answer = co_await gateway_.perform(call, deadline, cancellation, std::move(authorisation));
    const bool isUnknown = answer.status == httpStatus(ErrorCode::BatchJobUnknown);
    if (mayBeCall && isUnknown)
        co_return std::nullopt;
    const std::string& job = request.operation == CallerOperation::Call ? request.id : request.job;
    co_return encodeAnswer(job, std::move(answer));
}

HttpResponse HostedEntry::encodeFailure(const CallerRequest& request, const Error& error, Duration retryDelay)
{
    processMetrics().count(error.code());
    log(Event::CallGivenUp,
        { { "request", request.id.empty() ? request.job : request.id }, { "target", request.host + request.path },
            { "code", std::string(codeText(error.code())) }, { "reason", error.what() },
            { "configuration", std::to_string(directory()->routing ? directory()->routing->version : 0) } });
    return platform().callerProtocol().encodeError(error, retryDelay);
}

asio::awaitable<HttpResponse> HostedEntry::serveCall(const CallerRequest& request, const RouteDeclaration& route,
    ReplicaRequest forwarded, Instant deadline, PeerCancellationPtr cancellation, Authorisation authorisation)
{
    const Instant startedAt = now();
    ServiceResult result = co_await serviceCaller_.call(
        route, std::move(forwarded), deadline, cancellation, ContentKind::Call, std::move(authorisation));
    if (result.response) {
        log(Event::CallAnswered,
            { { "request", request.id }, { "route", route.name }, { "status", std::to_string(result.response->status) },
                { "attempts", std::to_string(result.attempts) }, { "servers", result.servers },
                { "ms",
                    std::to_string(
                        std::chrono::duration_cast<std::chrono::milliseconds>(now() - startedAt).count()) } });
        HttpResponse response;
        response.status = result.response->status;
        response.headers = forwardedHeaders(result.response->headers);
        response.body = std::move(result.response->body);
        co_return response;
    }
    const std::string tried = result.servers.empty() ? "" : " (tried " + result.servers + ")";
    if (!result.mayHaveRun && result.refusal)
        throw Error(*result.refusal);
    if (!result.mayHaveRun && result.blockedUntil)
        throw ContentBlockedError(result.content, *result.blockedUntil);
    if (!result.mayHaveRun && result.retryAt)
        throw ServersFullError(result.reason + tried, *result.retryAt);
    const bool isEnding = drainSchedule_ && now() >= drainSchedule_->answersDueAt();
    if (!result.mayHaveRun && isEnding)
        throw ProcessStoppingError("the process ends before a server has taken the request" + tried);
    if (!result.mayHaveRun)
        throw NotRunError((result.reason.empty() ? "no server of the route is ready" : result.reason) + tried);
    if (now() >= deadline)
        throw DeadlineUnknownError((result.reason.empty() ? "the time ran out" : result.reason) + tried);
    if (isEnding && result.reason.empty())
        result.reason = "the process ends before the server's answer";
    throw OutcomeUnknownError(result.reason + tried);
}

asio::awaitable<HttpResponse> HostedEntry::serveBatch(
    wire::BatchCall& call, Instant deadline, PeerCancellationPtr cancellation, Authorisation authorisation)
{
    const std::string job = call.job;
    wire::BatchAnswer answer = co_await gateway_.perform(call, deadline, cancellation, std::move(authorisation));
    co_return encodeAnswer(job, std::move(answer));
}

HttpResponse HostedEntry::encodeAnswer(const std::string& job, wire::BatchAnswer answer) const
{
    HttpResponse response;
    response.status = answer.status;
    response.body = std::move(answer.body);
    const bool isError = response.status >= 400;
    if (isError) {
        const ErrorCode code = codeFromText(response.body);
        const std::string detail = answer.__isset.detail ? ": " + answer.detail : std::string();
        const Error error(code, fmt::format("batch job {}{}", job, detail));
        return platform().callerProtocol().encodeError(error, std::chrono::milliseconds(answer.retryAfterMs));
    }
    response.headers.emplace_back("Content-Type", "application/json");
    return response;
}

std::vector<Gauge> HostedEntry::gauges() const
{
    return { { "endiveroad_ready", "", "1 while the process wants callers.", isReady() ? 1.0 : 0.0 },
        { "endiveroad_in_flight", "", "Callers' requests under way.", static_cast<double>(callerServer_->inFlight()) },
        { "endiveroad_known_streams", "", "Streams whose first software version this process knows.",
            static_cast<double>(resumptions_.size()) },
        { "endiveroad_caller_connections", "", "Open connections of callers.",
            static_cast<double>(callerServer_->connections()) } };
}

asio::awaitable<void> HostedEntry::drain()
{
    const DrainSchedule schedule = DrainSchedule::within(now(), settings().graceTime);
    drainSchedule_ = schedule;
    callerServer_->startDraining();
    co_await sleepFor(schedule.streamsUntil() - now());
    // Streams that still wait for a server are refused.
    serviceCaller_.onAuthorisationsChanged();
    co_await sleepFor(schedule.connectionsUntil() - now());
    callerServer_->stopAccepting();
    co_await awaitNoConnections(schedule.answersDueAt());
    co_await callerServer_->endUnanswered(schedule.endsAt() - lastAnswerTime);
    co_await awaitNoConnections(schedule.endsAt());
    callerServer_->abortStreams();
    if (usageReporter_)
        usageReporter_->send();
}

asio::awaitable<void> HostedEntry::awaitNoConnections(Instant until)
{
    while (callerServer_->connections() > 0 && now() < until)
        co_await sleepFor(std::min<Duration>(connectionCheckInterval, until - now()));
}

} // namespace endiveroad::io
