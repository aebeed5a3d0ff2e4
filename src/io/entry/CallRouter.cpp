#include "io/entry/CallRouter.h"

#include "io/Clock.h"
#include "io/Forwarding.h"
#include "io/Log.h"
#include "wire/Codec.h"

#include <charconv>
#include <endiveroad/CallAttempts.h>
#include <endiveroad/Error.h>
#include <endiveroad/HttpHead.h>
#include <endiveroad/Rendezvous.h>
#include <endiveroad/RequestId.h>
#include <endiveroad_types.h>
#include <fmt/format.h>
#include <xxhash.h>

namespace endiveroad::io {

struct CallRouter::Call {
    wire::CallRequest request;
    /// Id of the call for its caller; each attempt has a request id of its own.
    std::string callerRequest;
    /// Cancelled when the caller disconnects; null for a call that always runs to its end.
    PeerCancellationPtr cancellation;
};

/// Result of one attempt: the response, or an error. If failure is set, CallAttempts decides whether to retry; if
/// neither response nor failure is set, the error in code is final.
struct CallRouter::AttemptResult {
    std::optional<HttpResponse> response;
    std::optional<AttemptFailure> failure;
    ErrorCode code = ErrorCode::OutcomeUnknown;
    std::string detail;
    Duration retryAfter = CallRouter::retryAfter;
};

namespace {

/// A final error, with the time after which the caller may retry.
class CallFailure : public Error {
public:
    CallFailure(ErrorCode code, const std::string& detail, Duration retryAfter)
        : Error(code, detail)
        , retryAfter_(retryAfter)
    {
    }

    Duration retryAfter() const { return retryAfter_; }

private:
    Duration retryAfter_;
};

/// Whether a header is set anew for the server, or is meant for a proxy.
bool isReplaced(std::string_view name)
{
    constexpr std::string_view headersNotForwarded[] { "Host", "Proxy-Authorization", CallRouter::requestIdHeader };
    for (std::string_view header : headersNotForwarded) {
        if (boost::beast::iequals(name, header))
            return true;
    }
    return false;
}

std::vector<wire::Header> toWire(const HeaderList& headers)
{
    std::vector<wire::Header> result;
    for (const auto& [name, value] : headers) {
        if (isReplaced(name))
            continue;
        wire::Header header;
        header.name = name;
        header.value = value;
        result.push_back(std::move(header));
    }
    return result;
}

/// Value of a header that has to be a positive integer, or the fallback if the caller did not send it. Throws
/// BadRequestError.
int64_t integerHeader(const HttpQuery& query, std::string_view name, int64_t fallback)
{
    const std::string_view text = query.header(name);
    if (text.empty())
        return fallback;
    int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size() || value <= 0)
        throw BadRequestError(fmt::format("header {} is not a positive integer", name));
    return value;
}

int64_t fingerprint(const wire::CallRequest& request)
{
    const std::string requestLine = request.method + " " + request.target + "\n";
    const uint64_t seed = XXH3_64bits(requestLine.data(), requestLine.size());
    return static_cast<int64_t>(XXH3_64bits_withSeed(request.body.data(), request.body.size(), seed));
}

/// The caller's id for its request if it can be logged safely; else an empty text.
std::string callerRequestId(const HttpQuery& query)
{
    constexpr size_t maxLength = 128;
    const std::string_view id = query.header(CallRouter::requestIdHeader);
    const bool isPrintable
        = std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < 127 && c != '"' && c != '\\'; });
    return std::string(isPrintable && id.size() <= maxLength ? id : std::string_view());
}

constexpr const char* blockedDetail = "servers have ended under requests with this content";

ContentId contentOf(const wire::CallRequest& request)
{
    return ContentId::of(request.method, request.pool, request.target, request.body);
}

HttpResponse toResponse(wire::CallAnswer answer)
{
    HttpResponse response;
    response.status = answer.status;
    for (wire::Header& header : answer.headers)
        response.headers.emplace_back(std::move(header.name), std::move(header.value));
    response.headers = forwardedHeaders(response.headers);
    response.body = std::move(answer.body);
    return response;
}

} // namespace

CallRouter::CallRouter(AgentDirectory& agents, CrashGuard& crashGuard, std::string entryName, int64_t incarnation,
    std::string failureDomain)
    : agents_(agents)
    , crashGuard_(crashGuard)
    , entryName_(std::move(entryName))
    , failureDomain_(std::move(failureDomain))
    , incarnation_(incarnation)
{
}

std::string CallRouter::nextRequestId()
{
    return RequestId { entryName_, incarnation_, nextRequest_++ }.text();
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
                fmt::format("the body has {} bytes; the limit is {}", query.body.size(), pool.call.maxBodyBytes));
        const Duration timeout = std::min<Duration>(pool.call.timeout,
            std::chrono::milliseconds(integerHeader(
                query, timeoutHeader, std::chrono::ceil<std::chrono::milliseconds>(pool.call.timeout).count())));
        Call call;
        call.request.requestId = nextRequestId();
        call.callerRequest = callerRequest;
        call.request.pool = poolName;
        call.request.method = query.method;
        call.request.target = std::move(target);
        const HeaderList headers = forwardedHeaders(query.headers);
        if (const auto fault = requestHeadFault({ query.method, call.request.target, headers, query.body.size() }))
            throw BadRequestError(*fault);
        call.request.headers = toWire(headers);
        call.request.body = query.body;
        call.request.idempotencyKey = std::string(query.header(keyHeader));
        call.request.keyCreatedMs = integerHeader(query, keyCreatedHeader, 0);
        call.request.isIdempotent = pool.isIdempotent || query.method == "GET" || query.method == "HEAD";
        call.request.fingerprint = fingerprint(call.request);
        const bool isKeyed = !call.request.idempotencyKey.empty();
        if (!call.request.isIdempotent && !isKeyed)
            throw KeyMissingError(
                fmt::format("pool {} accepts {} only with an Idempotency-Key header", poolName, query.method));
        const Instant deadline = now() + timeout;
        if (isKeyed && !call.request.isIdempotent)
            response = co_await callHomeAgent(pool, std::move(call), deadline);
        else
            response = co_await callCancellable(exchange, pool, std::move(call), deadline);
    } catch (const CallFailure& error) {
        response = errorResponse(error, error.retryAfter());
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

void CallRouter::recordAnswer(wire::CallAnswer answer, AttemptResult& result)
{
    if (answer.outcome == wire::Outcome::Done) {
        result.response = toResponse(std::move(answer));
        return;
    }
    result.code = codeFromText(answer.errorCode);
    result.detail = answer.detail;
    if (answer.retryAfterMs > 0)
        result.retryAfter = std::chrono::milliseconds(answer.retryAfterMs);
    if (answer.outcome == wire::Outcome::NotRun)
        result.failure
            = result.code == ErrorCode::DeadlineExceeded ? AttemptFailure::DeadlinePassed : AttemptFailure::NotRun;
    else if (result.code == ErrorCode::OutcomeUnknown)
        result.failure = AttemptFailure::Unknown;
    else
        result.failure = std::nullopt;
}

asio::awaitable<HttpResponse> CallRouter::callHomeAgent(const PoolDeclaration& pool, Call call, Instant deadline)
{
    std::vector<std::string> names;
    for (const auto& [name, replica] : pool.replicas)
        names.push_back(name);
    const auto homes = rendezvousOwners(call.request.idempotencyKey, names, 1);
    CallAttempts attempts(CallAttempts::Kind::Keyed, deadline);
    if (homes.empty())
        throw CallFailure(
            attempts.errorWithoutAgent(), fmt::format("pool {} declares no replica", pool.name), retryAfter);
    // An attempt under this key may have crashed a server, so a blocked call is not said to be not run.
    const bool isAdmitted = co_await crashGuard_.admitUntil(contentOf(call.request), homes.front(), deadline);
    if (!isAdmitted)
        throw CallFailure(ErrorCode::OutcomeUnknown, blockedDetail, remainingBlock(contentOf(call.request)));
    AttemptResult result = co_await callAgent(homes.front(), std::move(call), deadline);
    if (result.response)
        co_return std::move(*result.response);
    const ErrorCode code
        = result.failure ? attempts.onFailure(*result.failure, now()).value_or(result.code) : result.code;
    throw CallFailure(code, result.detail, result.retryAfter);
}

asio::awaitable<HttpResponse> CallRouter::callCancellable(
    HttpExchange& exchange, const PoolDeclaration& pool, Call call, Instant deadline)
{
    auto cancellation = std::make_shared<PeerCancellation>();
    call.cancellation = cancellation;
    exchange.onAbort([cancellation] { cancellation->cancel(); });
    co_return co_await callReplicas(pool, std::move(call), deadline);
}

asio::awaitable<HttpResponse> CallRouter::callReplicas(const PoolDeclaration& pool, Call call, Instant deadline)
{
    ReplicaDemand demand;
    demand.failureDomain = failureDomain_;
    CallAttempts attempts(CallAttempts::Kind::Idempotent, deadline);
    std::string detail = "no replica has free capacity";
    const ContentId content = contentOf(call.request);
    while (true) {
        if (crashGuard_.blockedUntil(content)) {
            const bool hasNotRun = attempts.errorWithoutAgent() == ErrorCode::NotRun;
            throw CallFailure(hasNotRun ? ErrorCode::PoisonRequest : ErrorCode::OutcomeUnknown, blockedDetail,
                remainingBlock(content));
        }
        const auto agent = agents_.table(pool.name).acquire(now(), demand);
        if (!agent)
            throw CallFailure(attempts.errorWithoutAgent(), detail, retryAfter);
        const bool isAdmitted = co_await crashGuard_.admitUntil(content, *agent, deadline);
        if (!isAdmitted) {
            agents_.table(pool.name).release(*agent);
            if (now() >= deadline)
                throw CallFailure(attempts.errorWithoutAgent(), detail, retryAfter);
            continue;
        }
        AttemptResult result = co_await callAgent(*agent, call, deadline);
        agents_.table(pool.name).release(*agent);
        if (result.response)
            co_return std::move(*result.response);
        if (!result.failure)
            throw CallFailure(result.code, result.detail, result.retryAfter);
        if (call.cancellation && call.cancellation->isCancelled())
            throw CallFailure(ErrorCode::OutcomeUnknown,
                "the request was given up: its caller disconnected, or this process ends", retryAfter);
        if (const auto code = attempts.onFailure(*result.failure, now()))
            throw CallFailure(*code, result.detail, result.retryAfter);
        detail = result.detail;
        call.request.requestId = nextRequestId();
    }
}

Duration CallRouter::remainingBlock(const ContentId& content) const
{
    return crashGuard_.blockedUntil(content).value_or(now() + retryAfter) - now();
}

asio::awaitable<CallRouter::AttemptResult> CallRouter::callAgent(std::string agent, Call call, Instant deadline)
{
    AttemptResult result;
    result.failure = AttemptFailure::NotSent;
    const PeerConnectionPtr peer = agents_.connection(agent);
    if (!peer) {
        result.detail = fmt::format("agent {} is not connected", agent);
        co_return result;
    }
    log(Event::CallDispatched,
        { { "request", call.request.requestId }, { "callerRequest", call.callerRequest }, { "agent", agent } });
    try {
        const std::string payload
            = co_await peer->call(MessageType::Call, wire::encode(call.request), deadline, call.cancellation);
        recordAnswer(wire::decode<wire::CallAnswer>(payload), result);
        if (result.response)
            crashGuard_.onAnswered({ call.request.requestId, contentOf(call.request), agent, {}, now() });
    } catch (const Error& error) {
        result.detail = error.what();
        result.failure = error.code() == ErrorCode::PeerUnavailable ? AttemptFailure::NotSent : AttemptFailure::Unknown;
    }
    const Event event = result.response ? Event::CallFinished
        : result.failure == AttemptFailure::NotRun || result.failure == AttemptFailure::NotSent
        ? Event::CallRefused
        : Event::CallOutcomeUnknown;
    log(event, { { "request", call.request.requestId }, { "agent", agent }, { "detail", result.detail } });
    co_return result;
}

} // namespace endiveroad::io
