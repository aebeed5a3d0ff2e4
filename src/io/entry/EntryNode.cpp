#include "io/entry/EntryNode.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "io/WireValues.h"
#include "wire/Codec.h"

#include <algorithm>
#include <endiveroad/Error.h>
#include <endiveroad/JobBody.h>
#include <endiveroad/Rendezvous.h>
#include <endiveroad_types.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endiveroad::io {

using Json = nlohmann::json;

namespace {

constexpr Duration forwardTimeout = std::chrono::seconds(25);
constexpr Duration drainPollInterval = std::chrono::milliseconds(20);
/// Time for which a draining entry still accepts connections, so that the load balancer can see that it is not ready.
constexpr Duration readinessPropagationTime = std::chrono::milliseconds(1000);
/// Time after which an entry is ready even if the agents of a pool have not reported.
constexpr Duration maxReportWait = std::chrono::seconds(3);
constexpr Duration maxDrainTime = std::chrono::seconds(60);
/// Time at the end of a drain for requests that are still under way to be given up and answered.
constexpr Duration lastAnswerTime = std::chrono::milliseconds(300);

/// Response for an error, with the headers that its status requires.
HttpResponse toResponse(const Error& error, const HttpQuery& query)
{
    const bool hasRetry = httpStatus(error.code()) == 503;
    HttpResponse response = errorResponse(error, hasRetry ? CallRouter::retryAfter : Duration::zero());
    if (error.code() == ErrorCode::MethodNotAllowed)
        response.headers.emplace_back("Allow", Route::allowedMethod(query.target));
    return response;
}

HttpResponse metricsResponse(std::string text)
{
    HttpResponse response;
    response.status = 200;
    response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
    response.body = std::move(text);
    return response;
}

/// Metrics under which a request is recorded; no latency for minor requests.
struct RequestMetrics {
    Counter counter;
    std::optional<Latency> latency;
};

RequestMetrics metricsOf(RouteKind kind)
{
    switch (kind) {
    case RouteKind::ServiceCall:
        return { Counter::ServiceCalls, Latency::ServiceCall };
    case RouteKind::SubmitStep:
        return { Counter::StepSubmissions, Latency::StepSubmission };
    case RouteKind::Fetch:
        return { Counter::Fetches, Latency::Fetch };
    default:
        return { Counter::OtherRequests, std::nullopt };
    }
}

std::vector<wire::Header> headersToWire(const HeaderList& headers)
{
    std::vector<wire::Header> result;
    for (const auto& [name, value] : headers) {
        wire::Header header;
        header.name = name;
        header.value = value;
        result.push_back(std::move(header));
    }
    return result;
}

} // namespace

EntryNode::EntryNode(NodeOptions options)
    : Node(std::move(options))
    , agents_(mesh())
{
}

std::optional<Address> EntryNode::peerAddress(const Settings& settings) const
{
    const auto found = settings.entries.find(name());
    if (found == settings.entries.end())
        return std::nullopt;
    return found->second.peer;
}

std::map<std::string, Address> EntryNode::peerTargets(const Settings& settings) const
{
    std::map<std::string, Address> targets;
    for (const auto& [entryName, entry] : settings.entries) {
        if (entryName != name())
            targets.emplace(entryName, entry.peer);
    }
    const std::string& region = settings.entries.at(name()).region;
    for (const auto& [poolName, pool] : settings.pools) {
        if (pool.region != region)
            continue;
        for (const auto& [replicaName, replica] : pool.replicas)
            targets.emplace(replicaName, replica.peer);
    }
    return targets;
}

void EntryNode::onSettings(std::shared_ptr<const Settings>, std::shared_ptr<const Settings> inForce)
{
    agents_.onSettings(inForce);
    const auto self = inForce->entries.find(name());
    if (self == inForce->entries.end())
        return;
    if (!calls_) {
        calls_ = std::make_unique<CallRouter>(agents_, crashGuard(), name(), incarnation(), self->second.failureDomain);
        weightRollout_ = std::make_unique<WeightRollout>(context(), agents_);
        server_ = std::make_unique<HttpServer>(*this);
        server_->start(context(), self->second.http);
        readyWithoutReportsAt_ = now() + maxReportWait;
    }
    for (const auto& [jobName, runner] : runners_) {
        const auto job = inForce->jobs.find(jobName);
        if (job != inForce->jobs.end())
            runner->onDeclaration(job->second);
    }
}

asio::awaitable<void> EntryNode::onHttp(HttpExchange& exchange)
{
    const Instant start = now();
    // A request whose route cannot be parsed is counted as Counter::OtherRequests.
    RequestMetrics metrics = metricsOf(RouteKind::Health);
    HttpResponse response;
    bool isHandled = false;
    try {
        const Route route = Route::parse(exchange.query().method, exchange.query().target);
        metrics = metricsOf(route.kind);
        co_await handle(exchange, route);
        isHandled = true;
    } catch (const Error& error) {
        response = toResponse(error, exchange.query());
    }
    if (!isHandled)
        co_await exchange.answer(std::move(response));
    processMetrics().count(metrics.counter);
    if (metrics.latency)
        processMetrics().record(*metrics.latency, now() - start, now());
}

asio::awaitable<void> EntryNode::handle(HttpExchange& exchange, const Route& route)
{
    if (route.kind == RouteKind::ServiceCall) {
        co_await calls_->route(exchange, route.name, route.serviceTarget);
        co_return;
    }
    HttpResponse response = co_await respond(exchange.query(), route);
    co_await exchange.answer(std::move(response));
}

asio::awaitable<HttpResponse> EntryNode::respond(HttpQuery query, Route route)
{
    switch (route.kind) {
    case RouteKind::Health:
        co_return jsonResponse(200, R"({"status":"alive"})");
    case RouteKind::Readiness:
        if (isDraining())
            throw NotReadyError("the entry is draining");
        if (!hasReportFromEachPool() && now() < readyWithoutReportsAt_)
            throw NotReadyError("the agents of a pool have not reported yet");
        co_return jsonResponse(200, fmt::format(R"({{"status":"ready","revision":{}}})", settings()->revision));
    case RouteKind::Metrics:
        co_return metricsResponse(metricsText());
    default:
        co_return co_await handleJobRequest(std::move(query), std::move(route), false);
    }
}

bool EntryNode::hasReportFromEachPool() const
{
    const std::string& region = settings()->entries.at(name()).region;
    const auto& tables = agents_.tables();
    return std::all_of(settings()->pools.begin(), settings()->pools.end(), [&](const auto& named) {
        const PoolDeclaration& pool = named.second;
        const auto table = tables.find(pool.name);
        return pool.region != region || pool.replicas.empty()
            || (table != tables.end() && !table->second.reports().empty());
    });
}

std::string EntryNode::coordinatingEntry(const std::string& job) const
{
    std::vector<std::string> liveEntries;
    for (const auto& [entryName, entry] : settings()->entries) {
        if (entryName == name() ? !isDraining() : agents_.connection(entryName) != nullptr)
            liveEntries.push_back(entryName);
    }
    const auto owners = rendezvousOwners(job, liveEntries, 1);
    return owners.empty() ? name() : owners.front();
}

JobRunner& EntryNode::runner(const JobDeclaration& job)
{
    auto& runner = runners_[job.name];
    if (!runner)
        runner = std::make_unique<JobRunner>(context(), agents_, *calls_, job);
    return *runner;
}

asio::awaitable<HttpResponse> EntryNode::handleJobRequest(HttpQuery query, Route route, bool isForwarded)
{
    settings()->job(route.name);
    const std::string coordinator = coordinatingEntry(route.name);
    if (!isForwarded && coordinator != name()) {
        // All requests about jobs are idempotent, so this entry answers one itself if forwarding fails.
        try {
            HttpResponse response = co_await forward(agents_.connection(coordinator), query);
            const auto runner = runners_.find(route.name);
            if (runner != runners_.end())
                runner->second->onCoordinatedElsewhere();
            co_return response;
        } catch (const Error& error) {
            log(Event::PeerLost, { { "peer", coordinator }, { "reason", error.what() } });
        }
    }
    co_return co_await handleJobRequestLocally(query, route);
}

asio::awaitable<HttpResponse> EntryNode::forward(PeerConnectionPtr peer, const HttpQuery& query)
{
    wire::CallRequest request;
    request.method = query.method;
    request.target = query.target;
    request.body = query.body;
    const std::string payload
        = co_await peer->call(MessageType::Forward, wire::encode(request), now() + forwardTimeout);
    auto answer = wire::decode<wire::CallAnswer>(payload);
    HttpResponse response;
    response.status = answer.status;
    for (wire::Header& header : answer.headers)
        response.headers.emplace_back(std::move(header.name), std::move(header.value));
    response.body = std::move(answer.body);
    co_return response;
}

asio::awaitable<HttpResponse> EntryNode::handleJobRequestLocally(const HttpQuery& query, const Route& route)
{
    const JobDeclaration job = settings()->job(route.name);
    JobRunner& runner = this->runner(job);
    switch (route.kind) {
    case RouteKind::SubmitStep:
        co_return co_await runner.submit(route.step, query.body);
    case RouteKind::Fetch: {
        HttpResponse response = co_await runner.fetch(query.body);
        weightRollout_->announce(job.pool, { runner.policy(), {} });
        co_return response;
    }
    case RouteKind::AnnouncePolicy:
        co_return announce(job, query.body);
    default:
        co_return runner.state();
    }
}

HttpResponse EntryNode::announce(const JobDeclaration& job, const std::string& body)
{
    const PolicyBody announced = PolicyBody::parse(body);
    const AnnouncedPolicy policy { { announced.version, announced.order.value_or(announced.version) },
        announced.weights };
    runner(job).onPolicy(policy.policy);
    if (weightRollout_->announce(job.pool, policy)) {
        for (const auto& [entryName, entry] : settings()->entries) {
            if (const auto peer = agents_.connection(entryName))
                sendPolicies(peer);
        }
    }
    return jsonResponse(200, Json { { "version", policy.policy.version } }.dump());
}

void EntryNode::sendPolicies(const PeerConnectionPtr& peer)
{
    for (const auto& [pool, policy] : weightRollout_->policies()) {
        wire::PolicyNotice notice;
        notice.model = pool;
        notice.version = policy.policy.version;
        notice.weights = policy.weights;
        notice.order = policy.policy.order;
        peer->notify(MessageType::Policy, wire::encode(notice));
    }
}

asio::awaitable<std::string> EntryNode::onNodeRequest(PeerConnectionPtr, PeerMessage message)
{
    if (message.type != MessageType::Forward)
        throw BadRequestError("an entry does not accept this type of message");
    auto request = wire::decode<wire::CallRequest>(message.payload);
    HttpQuery query { request.method, request.target, {}, std::move(request.body) };
    HttpResponse response;
    try {
        response = co_await handleJobRequest(query, Route::parse(query.method, query.target), true);
    } catch (const Error& error) {
        response = toResponse(error, query);
    }
    wire::CallAnswer answer;
    answer.outcome = wire::Outcome::Done;
    answer.status = response.status;
    answer.headers = headersToWire(response.headers);
    answer.body = std::move(response.body);
    co_return wire::encode(answer);
}

void EntryNode::onNodeNotice(const PeerConnectionPtr& peer, const PeerMessage& message)
{
    if (message.type == MessageType::AgentReport) {
        const auto report = wire::decode<wire::AgentReport>(message.payload);
        if (report.agent == peer->peerName)
            onReport(report.pool, fromWire(report));
    } else if (message.type == MessageType::Policy && weightRollout_) {
        const auto notice = wire::decode<wire::PolicyNotice>(message.payload);
        if (settings()->pools.contains(notice.model))
            weightRollout_->announce(notice.model, { { notice.version, notice.order }, notice.weights });
    }
}

void EntryNode::onReport(const std::string& pool, const ReplicaReport& report)
{
    agents_.onReport(pool, report);
    for (const auto& [job, runner] : runners_) {
        if (runner->declaration().pool == pool)
            runner->onCapacity();
    }
}

void EntryNode::onPeerHello(const PeerConnectionPtr& peer, const std::string& role)
{
    if (role == "entry" && weightRollout_)
        sendPolicies(peer);
}

void EntryNode::onPeerClosed(const PeerConnectionPtr& peer)
{
    agents_.onLost(peer->peerName);
}

bool EntryNode::wantsStore() const
{
    const auto inForce = settings();
    if (!inForce)
        return true;
    const auto self = inForce->entries.find(name());
    if (self == inForce->entries.end())
        return true;
    std::vector<std::string> liveEntries { name() };
    for (const auto& [entryName, entry] : inForce->entries) {
        if (entry.region == self->second.region && agents_.connection(entryName))
            liveEntries.push_back(entryName);
    }
    return keeper().isWatcher(name(), liveEntries);
}

asio::awaitable<void> EntryNode::drain()
{
    if (server_)
        server_->startDraining();
    co_await sleepFor(readinessPropagationTime);
    if (server_)
        server_->stopAccepting();
    const Instant endsAt = now() + maxDrainTime;
    while (server_ && server_->connections() > 0 && now() < endsAt - lastAnswerTime)
        co_await sleepFor(drainPollInterval);
    if (server_)
        co_await server_->endUnanswered(endsAt);
    for (const auto& [jobName, runner] : runners_)
        runner->stop();
}

std::vector<SurveyTarget> EntryNode::surveyTargets(SurveyScope scope) const
{
    std::vector<SurveyTarget> targets;
    const auto self = settings()->entries.find(name());
    if (self == settings()->entries.end())
        return targets;
    const std::string& region = self->second.region;
    // This entry has no connections to agents of other regions: one connected entry of each region queries those there.
    // Agents of a region without a connected entry are listed without a connection.
    std::set<std::string> coveredRegions { region };
    for (const auto& [entryName, entry] : settings()->entries) {
        if (entryName == name() || (entry.region != region && scope != SurveyScope::All))
            continue;
        SurveyTarget target { entryName, "entry", agents_.connection(entryName), SurveyScope::Self };
        if (target.connection && coveredRegions.insert(entry.region).second)
            target.scope = SurveyScope::Region;
        targets.push_back(std::move(target));
    }
    for (const auto& [poolName, pool] : settings()->pools) {
        if (coveredRegions.contains(pool.region) && pool.region != region)
            continue;
        for (const auto& [replicaName, replica] : pool.replicas)
            targets.push_back({ replicaName, "agent", agents_.connection(replicaName), SurveyScope::Self });
    }
    return targets;
}

std::string EntryNode::statusJson() const
{
    Json status { { "name", name() }, { "role", "entry" }, { "state", "live" }, { "incarnation", incarnation() },
        { "revision", keeper().revision() }, { "storeCalls", keeper().storeCalls() }, { "isDraining", isDraining() },
        { "pools", Json::object() }, { "jobs", Json::array() } };
    for (const auto& [jobName, runner] : runners_)
        status["jobs"].push_back(Json::parse(runner->state().body));
    for (const auto& [pool, table] : agents_.tables()) {
        Json replicas = Json::array();
        for (const ReplicaReport& report : table.reports()) {
            replicas.push_back({ { "agent", report.agent }, { "version", report.version },
                { "freeSlots", report.freeSlots }, { "running", report.running }, { "isDraining", report.isDraining },
                { "isServerUp", report.isServerUp } });
        }
        status["pools"][pool] = replicas;
    }
    return status.dump();
}

std::vector<Gauge> EntryNode::nodeGauges() const
{
    std::vector<Gauge> gauges;
    const auto add = [&](const char* name, std::string labels, const char* help, double value) {
        gauges.push_back({ name, std::move(labels), help, value });
    };
    for (const auto& [pool, table] : agents_.tables()) {
        const auto reports = table.reports();
        const auto up = std::count_if(
            reports.begin(), reports.end(), [](const ReplicaReport& report) { return report.isServerUp; });
        add("endiveroad_replicas_up", fmt::format("pool=\"{}\"", escapeLabelValue(pool)),
            "Replicas whose backend server answers.", static_cast<double>(up));
    }
    for (const auto& [pool, table] : agents_.tables()) {
        double freeSlots = 0;
        for (const ReplicaReport& report : table.reports())
            freeSlots += report.freeSlots;
        add("endiveroad_pool_free_slots", fmt::format("pool=\"{}\"", escapeLabelValue(pool)),
            "Free slots that the agents of a pool reported.", freeSlots);
    }
    for (const auto& [job, runner] : runners_) {
        StepProgress sum;
        for (const StepProgress& step : runner->progress()) {
            sum.wanted += step.wanted;
            sum.finished += step.finished;
            sum.received += step.received;
        }
        const std::string label = escapeLabelValue(job);
        constexpr const char* help = "Samples of the open steps coordinated here.";
        add("endiveroad_samples", fmt::format("job=\"{}\",state=\"wanted\"", label), help, sum.wanted);
        add("endiveroad_samples", fmt::format("job=\"{}\",state=\"finished\"", label), help, sum.finished);
        add("endiveroad_samples", fmt::format("job=\"{}\",state=\"received\"", label), help, sum.received);
    }
    return gauges;
}

} // namespace endiveroad::io
