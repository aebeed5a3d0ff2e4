#include "io/entry/CallRouter.h"

#include "io/Clock.h"
#include "io/Log.h"
#include "wire/Codec.h"

#include <charconv>
#include <endiveroad/Error.h>
#include <endiveroad/Rendezvous.h>
#include <endiveroad_types.h>
#include <fmt/format.h>
#include <xxhash.h>

namespace endiveroad::io {

struct CallRouter::Call {
    wire::CallRequest request;
    /// Names the call towards its caller; each attempt has a request id of its own.
    std::string callerRequest;
};

namespace {

/// Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1).
bool isHopHeader(std::string_view name)
{
    constexpr std::string_view hops[] { "Connection", "Keep-Alive", "Transfer-Encoding", "TE", "Trailer", "Upgrade",
        "Host", "Content-Length", "Expect", "Proxy-Authorization", "Proxy-Authenticate", CallRouter::requestIdHeader };
    for (std::string_view hop : hops) {
        if (boost::beast::iequals(name, hop))
            return true;
    }
    return false;
}

std::vector<wire::Header> toWire(const HeaderList& headers)
{
    std::vector<wire::Header> result;
    for (const auto& [name, value] : headers) {
        if (isHopHeader(name))
            continue;
        wire::Header header;
        header.name = name;
        header.value = value;
        result.push_back(std::move(header));
    }
    return result;
}

int64_t integerHeader(const HttpQuery& query, std::string_view name, int64_t otherwise)
{
    const std::string_view text = query.header(name);
    if (text.empty())
        return otherwise;
    int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size() || value <= 0)
        throw BadRequestError(fmt::format("header {} is not a positive integer", name));
    return value;
}

int64_t fingerprint(const wire::CallRequest& request)
{
    const std::string head = request.method + " " + request.target + "\n";
    const uint64_t seed = XXH3_64bits(head.data(), head.size());
    return static_cast<int64_t>(XXH3_64bits_withSeed(request.body.data(), request.body.size(), seed));
}

/// The caller's own id for its request if it is fit to be logged, else nothing.
std::string callerRequestId(const HttpQuery& query)
{
    constexpr size_t maxLength = 128;
    const std::string_view id = query.header(CallRouter::requestIdHeader);
    const bool isPrintable
        = std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < 127 && c != '"' && c != '\\'; });
    return std::string(isPrintable && id.size() <= maxLength ? id : std::string_view());
}

HttpResponse toResponse(wire::CallAnswer answer)
{
    HttpResponse response;
    response.status = answer.status;
    for (wire::Header& header : answer.headers)
        response.headers.emplace_back(std::move(header.name), std::move(header.value));
    response.body = std::move(answer.body);
    return response;
}

} // namespace

CallRouter::CallRouter(AgentDirectory& agents, std::string entryName, std::string failureDomain)
    : agents_(agents)
    , entryName_(std::move(entryName))
    , failureDomain_(std::move(failureDomain))
{
}

std::string CallRouter::nextRequestId()
{
    return fmt::format("{}-{}-{}", entryName_, wallMs(), nextRequest_++);
}

asio::awaitable<void> CallRouter::route(HttpExchange& exchange, std::string poolName, std::string target)
{
    const HttpQuery& query = exchange.query();
    HttpResponse response;
    std::string callerRequest = callerRequestId(query);
    if (callerRequest.empty())
        callerRequest = nextRequestId();
    try {
        const PoolDeclaration pool = agents_.settings().pool(poolName);
        if (query.body.size() > pool.call.maxBodyBytes)
            throw BodyTooLargeError(
                fmt::format("the body has {} bytes, allowed are {}", query.body.size(), pool.call.maxBodyBytes));
        const Duration timeout = std::min<Duration>(pool.call.timeout,
            std::chrono::milliseconds(integerHeader(
                query, timeoutHeader, std::chrono::ceil<std::chrono::milliseconds>(pool.call.timeout).count())));
        Call call;
        call.request.requestId = nextRequestId();
        call.callerRequest = callerRequest;
        call.request.pool = poolName;
        call.request.method = query.method;
        call.request.target = std::move(target);
        call.request.headers = toWire(query.headers);
        call.request.body = query.body;
        call.request.idempotencyKey = std::string(query.header(keyHeader));
        call.request.keyCreatedMs = integerHeader(query, keyCreatedHeader, 0);
        call.request.isIdempotent = pool.isIdempotent || query.method == "GET" || query.method == "HEAD";
        call.request.fingerprint = fingerprint(call.request);
        const bool isKeyed = !call.request.idempotencyKey.empty();
        if (!call.request.isIdempotent && !isKeyed)
            throw KeyMissingError(fmt::format("pool {} takes {} only with an Idempotency-Key", poolName, query.method));
        const Instant deadline = now() + timeout;
        if (isKeyed && !call.request.isIdempotent)
            response = co_await callHome(pool, std::move(call), deadline);
        else
            response = co_await callReplicas(pool, std::move(call), deadline);
    } catch (const Error& error) {
        const bool hasRetry = httpStatus(error.code()) == 503;
        response = errorResponse(error, hasRetry ? retryAfter : Duration::zero());
    }
    std::erase_if(
        response.headers, [](const auto& header) { return boost::beast::iequals(header.first, requestIdHeader); });
    response.headers.emplace_back(requestIdHeader, std::move(callerRequest));
    co_await exchange.answer(std::move(response));
}

asio::awaitable<HttpResponse> CallRouter::callAny(std::string poolName, HttpRequest request, Instant deadline)
{
    const PoolDeclaration pool = agents_.settings().pool(poolName);
    Call call;
    call.request.requestId = nextRequestId();
    call.request.pool = poolName;
    call.request.method = request.method;
    call.request.target = request.target;
    call.request.headers = toWire(request.headers);
    call.request.body = std::move(request.body);
    call.request.isIdempotent = true;
    call.request.fingerprint = fingerprint(call.request);
    co_return co_await callReplicas(pool, std::move(call), deadline);
}

asio::awaitable<HttpResponse> CallRouter::callHome(const PoolDeclaration& pool, Call call, Instant deadline)
{
    std::vector<std::string> names;
    for (const auto& [name, replica] : pool.replicas)
        names.push_back(name);
    const auto homes = rendezvousOwners(call.request.idempotencyKey, names, 1);
    if (homes.empty())
        throw NotRunError(fmt::format("pool {} declares no replica", pool.name));
    // Only the key's home agent knows whether the key ran before, so without it nothing can be promised.
    if (!agents_.connection(homes.front()))
        throw OutcomeUnknownError("the key's home agent cannot be reached; an earlier attempt may have run");
    co_return co_await callAgent(homes.front(), std::move(call), deadline);
}

asio::awaitable<HttpResponse> CallRouter::callReplicas(const PoolDeclaration& pool, Call call, Instant deadline)
{
    std::string refusal = "no replica has free capacity";
    ReplicaDemand demand;
    demand.failureDomain = failureDomain_;
    for (int attempt = 0; attempt < maxAttempts && now() < deadline; ++attempt) {
        const auto agent = agents_.table(pool.name).acquire(now(), demand);
        if (!agent)
            break;
        std::exception_ptr failure;
        try {
            HttpResponse response = co_await callAgent(*agent, call, deadline);
            agents_.table(pool.name).release(*agent);
            co_return response;
        } catch (const Error& error) {
            agents_.table(pool.name).release(*agent);
            const bool mayRepeat = error.code() == ErrorCode::NotRun || error.code() == ErrorCode::PeerUnavailable
                || (error.code() == ErrorCode::OutcomeUnknown && call.request.isIdempotent);
            if (!mayRepeat)
                throw;
            refusal = error.what();
            if (error.code() == ErrorCode::OutcomeUnknown && now() >= deadline)
                throw;
            call.request.requestId = nextRequestId();
        }
    }
    throw NotRunError(refusal);
}

asio::awaitable<HttpResponse> CallRouter::callAgent(std::string agent, Call call, Instant deadline)
{
    const PeerConnectionPtr peer = agents_.connection(agent);
    if (!peer)
        throw PeerUnavailableError(fmt::format("agent {} is not connected", agent));
    log(Event::CallDispatched,
        { { "request", call.request.requestId }, { "callerRequest", call.callerRequest }, { "agent", agent } });
    const std::string payload = co_await peer->call(MessageType::Call, wire::encode(call.request), deadline);
    auto answer = wire::decode<wire::CallAnswer>(payload);
    if (answer.outcome != wire::Outcome::Done) {
        log(answer.outcome == wire::Outcome::NotRun ? Event::CallRefused : Event::CallOutcomeUnknown,
            { { "request", call.request.requestId }, { "agent", agent }, { "code", answer.errorCode } });
        throw Error(codeFromText(answer.errorCode), answer.detail);
    }
    log(Event::CallFinished, { { "request", call.request.requestId }, { "agent", agent } });
    co_return toResponse(std::move(answer));
}

} // namespace endiveroad::io
